"""Choice of prefill engine, decode engine, link and plain upstream."""
