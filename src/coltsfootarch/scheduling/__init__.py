"""Scheduling of requests: choice of engines, transfer links and upstreams."""
