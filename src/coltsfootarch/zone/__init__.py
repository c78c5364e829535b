"""Sessions, zone membership, shard leases and home placement of gateway hosts.

Used by `gateway`: each shard of a zone has at most one holder at a time, fenced
by an epoch. `fleet` is the counterpart for `forwarding`, whose hosts have no
shards and exchange reports instead.
"""
