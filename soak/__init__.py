"""Soak test: injects faults into real processes and checks the system's promises from outside."""
