"""Stand-ins on loopback sockets for what a gateway speaks with: hosts, discovery and the counter."""
