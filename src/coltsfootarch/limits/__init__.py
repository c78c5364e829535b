"""Rate and burst of client accounts over all hosts."""
