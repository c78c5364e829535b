"""Register, rules and their versions."""
