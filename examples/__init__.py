"""Example deployments, requests and a demonstration on loopback."""
