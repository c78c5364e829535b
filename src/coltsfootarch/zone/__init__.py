"""Sessions, membership, shard leases and home placement."""
