"""Messages between hosts, their codec and transport."""
