"""Tenants: which caller a key identifies, and its share of the load."""
