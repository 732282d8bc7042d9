"""The time for which a datagram has waited at the hosts that passed it on, stated at its end.

What a datagram states of the present is as old as it is; a host that passes it on adds the time
for which it lay there. Decoders ignore what follows the compressed fields, so that builds without
this module read the content.
"""

import struct
from typing import Final

# Waits below this are left out: about a tick at each host on the way.
MIN_STATED_WAIT_MS: Final = 50
MAX_STATED_WAIT_MS: Final = 10**8
_MARK: Final = b"\x00wait_ms"
_WAIT_MS: Final = struct.Struct(">I")
_TRAILER_BYTES: Final = len(_MARK) + _WAIT_MS.size


def add_wait(data: bytes, wait_ms: int) -> bytes:
    """Returns a datagram that states a wait in milliseconds, or as it was if that is short."""
    if wait_ms < MIN_STATED_WAIT_MS:
        return data
    return data + _MARK + _WAIT_MS.pack(min(wait_ms, MAX_STATED_WAIT_MS))


def split_wait(data: bytes) -> tuple[bytes, int]:
    """Returns a datagram without the wait that it states, and that wait in milliseconds, or 0."""
    content, trailer = data[:-_TRAILER_BYTES], data[-_TRAILER_BYTES:]
    if len(trailer) < _TRAILER_BYTES or not trailer.startswith(_MARK):
        return data, 0
    (wait_ms,) = _WAIT_MS.unpack_from(trailer, len(_MARK))
    return content, wait_ms
