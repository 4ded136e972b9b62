"""Distribution of the configuration to gateways that learn and hold a lease, but do not vote. Pure."""
