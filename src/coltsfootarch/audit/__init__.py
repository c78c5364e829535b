"""Audit trail of changes."""
