"""API keys of callers: format, verification, issue and withdrawal."""
