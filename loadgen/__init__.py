"""Load generator: paired runs through one entry host and directly against a stand-in."""
