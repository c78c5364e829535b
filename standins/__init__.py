"""Simulated platform services and upstreams for tests, demo and benchmarks.

They are not part of the product.
"""
