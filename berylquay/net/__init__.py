"""Sockets and the clock: the components under every other package that talks to a network."""
