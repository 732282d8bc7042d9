"""Software versions at which event streams began, and which hosts keep them.

What servers of two versions write does not fit together, and servers do not check it, so a caller
that takes up a stream must be sent to a server of the version that began it. The host that began
the stream may be gone by then. It therefore tells a few keepers, which any host can determine from
the id of the caller's attempt.
"""

from collections.abc import Iterable
from typing import Final

from attrs import define, field

from berylquay.decisions.rendezvous import rendezvous_weight

# Time for which the version of a stream is kept; callers give a stream up long before.
STREAM_RETENTION_S: Final = 60.0
# Most streams whose versions are kept; the oldest are dropped first.
MAX_KEPT_STREAMS: Final = 50_000
# Age of the list of servers from which on it may lack a version that has begun to serve.
MAX_LIST_AGE_S: Final = 2.0
# Stand for the version of a stream as long as it is not known which start of its engine sent it,
# and once another start than the listed one has. No server has them, so that hosts of earlier
# builds don't continue such a stream either.
PENDING_VERSION: Final = "\x00pending"
UNLISTED_VERSION: Final = "\x00unlisted"
# Hosts that keep the version of a stream, besides the one that began it.
KEEPERS: Final = 3


@define
class StreamVersions:
    """Versions of the streams that this host has begun, or that it keeps for other hosts."""

    # Version, and monotonic time at which it was recorded, by the id of the caller's attempt; the
    # oldest is first.
    _versions: dict[str, tuple[str, float]] = field(factory=dict, init=False)

    def record(self, call_id: str, software_version: str, now_s: float) -> None:
        """Records the version at which a stream began, unless more is known of it already."""
        known = self._versions.pop(call_id, (PENDING_VERSION, now_s))[0]
        software_version = choose_version(known, software_version)
        self._versions[call_id] = software_version, now_s
        while len(self._versions) > MAX_KEPT_STREAMS:
            del self._versions[next(iter(self._versions))]

    def find(self, call_id: str) -> str | None:
        """Returns the version at which a stream began, or None if it is not known."""
        found = self._versions.get(call_id)
        return None if found is None else found[0]

    def expire(self, now_s: float) -> None:
        """Forgets streams that callers do not take up any more."""
        while self._versions:
            call_id, (_version, recorded_s) = next(iter(self._versions.items()))
            if now_s - recorded_s < STREAM_RETENTION_S:
                return
            del self._versions[call_id]


def choose_version(known: str, told: str) -> str:
    """Returns which of two versions that were recorded of one stream counts."""
    if UNLISTED_VERSION in (known, told):
        return UNLISTED_VERSION
    return known if told == PENDING_VERSION else told


def choose_keepers(call_id: str, hosts: Iterable[str], count: int) -> list[str]:
    """Returns the hosts that keep the version of a stream; all hosts choose the same ones.

    Args:
        call_id: Id of the caller's attempt that began the stream.
        hosts: Names of the hosts.
        count: Number of hosts to return, if there are as many.
    """
    return sorted(hosts, key=lambda host: rendezvous_weight(call_id, host), reverse=True)[:count]
