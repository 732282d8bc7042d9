"""Prefixes: which engine is the home of a prompt's leading part, the same on every host.

Homes come from a hash alone, so that hosts agree without a message and a lookup costs no directory.
"""

import zlib
from typing import Final

from berylquay.decisions.calls import Call

PREFIX_CHARACTERS: Final = 1024
_MULTIPLIER: Final = 2862933555777941757
_MASK: Final = (1 << 64) - 1


def prefix_key(call: Call) -> int:
    """Returns a hash of what calls with a common cached prefix have in common."""
    text = f"{call.model}|{call.adapter}|{call.prompt[:PREFIX_CHARACTERS]}"
    return zlib.crc32(text.encode())


def jump_consistent_hash(key: int, buckets: int) -> int:
    """Returns the bucket of the key by jump consistent hashing.

    One more bucket moves only its own part of the keys, and the cost is logarithmic.
    """
    bucket, next_bucket = -1, 0
    state = key
    while next_bucket < buckets:
        bucket = next_bucket
        state = (state * _MULTIPLIER + 1) & _MASK
        next_bucket = int((bucket + 1) * ((1 << 31) / ((state >> 33) + 1)))
    return bucket
