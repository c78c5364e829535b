"""Benchmarks of `make bench` and simulations of `make experiment`."""
