"""State that an entry host follows: active policy, upstreams, other hosts.

Its platform's store and reports between hosts are the sources. The stand-alone
gateway uses `zone` instead, with sessions and shard leases of its own.
"""
