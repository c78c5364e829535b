"""Entry host that shares a register: HTTP interface, pipelines, components.

It runs for settings with a table `[gateway]`. `forwarding` is its counterpart
for settings with a table `[edge]`, on hosts attached to a platform.
"""
