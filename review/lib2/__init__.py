"""Programs, clients and stand-ins of the cases of the second review."""
