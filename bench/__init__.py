"""Bench of the decision core in virtual time against small fakes; not shipped."""
