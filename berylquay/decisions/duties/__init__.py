"""Duties that one host at a time carries out for the fleet."""
