"""Request path of an entry host attached to a platform: caller to upstream.

The stand-alone gateway, which needs no platform, has its own in `gateway`.
"""
