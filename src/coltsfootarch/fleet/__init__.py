"""What a host knows: the policy in force, upstreams and other hosts."""
