"""Entry host: HTTP interface for callers, pipelines and their components.

It places each request through the scheduler that holds its pool's shard;
`forwarding` is the gateway of settings with a table `[edge]`.
"""
