"""Structured logs, and metrics for statsd and Prometheus."""
