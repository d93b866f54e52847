"""A soak: real gateways between stand-ins, under restarts and troubles whose order is drawn from a seed."""
