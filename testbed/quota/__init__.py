"""A discrete-event model of a fleet's quotas: the real decision code of every gateway, without sockets.

Customers, the front, hosts, the shared counter and the usage meter are simulated; each gateway is one
instance of the decision module. The model answers how well quotas are held and how much is refused
without need.
"""
