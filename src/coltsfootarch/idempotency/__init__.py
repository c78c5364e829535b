"""Claims on idempotency keys, which run non-idempotent requests at most once.

Unlike `zone.claims`, which assigns shards to hosts, a claim here gives one
attempt the right to send one request.
"""
