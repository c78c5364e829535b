"""Soak test with random faults, run against real processes on loopback."""
