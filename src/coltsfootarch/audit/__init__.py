"""Audit trail of operators' changes: who changed what, and when."""
