"""Load generator: the same load through an entry host and directly against stand-ins."""
