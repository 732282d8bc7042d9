"""Scaling: how many servers of which kind a pool has in each data centre, by its demand."""
