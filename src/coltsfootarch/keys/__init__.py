"""Caller keys: format, digests, issue and withdrawal."""
