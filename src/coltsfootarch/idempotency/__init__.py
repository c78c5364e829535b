"""Claims on idempotency keys, which run non-idempotent requests at most once.

Unlike the claims in `zone`, by which hosts claim shards, a claim here gives one
attempt the right to send one request.
"""
