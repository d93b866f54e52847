"""Network side of the gateway: connects the decision module to clients, hosts, discovery and the counter."""
