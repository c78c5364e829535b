"""Stand-ins for the platform and the upstreams; not in the product."""
