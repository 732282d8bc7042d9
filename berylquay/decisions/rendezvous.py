"""Rendezvous hashing: all hosts choose the same place for a key without asking each other."""

from hashlib import blake2b


def rendezvous_weight(key: str, place: str) -> int:
    """Returns the weight of a place for a key; the place with the highest one is preferred."""
    return int.from_bytes(blake2b(f"{key}|{place}".encode(), digest_size=6).digest(), "big")
