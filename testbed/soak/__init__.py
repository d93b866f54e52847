"""A soak test: real gateways between fake hosts, discovery and counter, with faults drawn from a seed."""
