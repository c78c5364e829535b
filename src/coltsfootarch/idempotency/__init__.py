"""Claims that make non-idempotent requests run at most once."""
