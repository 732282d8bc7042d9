"""Prefix affinity: maps the prefix of a prompt to a preferred engine, the same on every host.

The mapping is a consistent hash, so hosts agree without messages, and a lookup needs no directory.
"""

import zlib
from typing import Final

from berylquay.decisions.calls import Call

PREFIX_CHARACTERS: Final = 1024
_MULTIPLIER: Final = 2862933555777941757
_MASK: Final = (1 << 64) - 1


def prefix_key(call: Call) -> int:
    """Returns a hash of the model, the adapter and the start of the prompt."""
    text = f"{call.model}|{call.adapter}|{call.prompt[:PREFIX_CHARACTERS]}"
    return zlib.crc32(text.encode())


def jump_consistent_hash(key: int, buckets: int) -> int:
    """Returns the bucket of the key by jump consistent hashing.

    Adding a bucket moves only the keys that it takes over, and the cost is logarithmic in the
    number of buckets. With no buckets the result is -1.
    """
    bucket, next_bucket = -1, 0
    state = key
    while next_bucket < buckets:
        bucket = next_bucket
        state = (state * _MULTIPLIER + 1) & _MASK
        next_bucket = int((bucket + 1) * ((1 << 31) / ((state >> 33) + 1)))
    return bucket
