"""Randomized fault soak with real processes on loopback."""
