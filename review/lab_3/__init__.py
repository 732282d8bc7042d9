"""Tools of the cases 11 to 14: a small deployment of separate processes on loopback addresses."""
