"""Fake hosts, discovery and counter on loopback sockets, for gateways under test."""
