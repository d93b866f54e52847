"""Discrete-event simulation of quota enforcement by a fleet of gateways, without sockets.

Each gateway is one instance of the real decision module (`coralvale.Gateway`). Customers, the load balancer
in front of the gateways, hosts, the shared counter and the usage meter are simulated. The result tells how
much is admitted in excess of quotas and how much is refused although quota was left.
"""
