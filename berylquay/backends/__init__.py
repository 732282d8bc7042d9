"""Clients of the backend servers: send attempts, probes and orders and report the outcomes."""
