"""Request router for language models with prefill and decode engine pools.

It also routes requests to plain HTTP services.
"""
