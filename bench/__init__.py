"""Benchmarks of the decision core in virtual time against simulated engines; not packaged."""
