"""Clients that press on one gateway: stalled uploads, floods on one connection, answers that are not read."""
