"""Software versions at which event streams began, and which hosts keep them.

What servers of two versions write does not fit together, and servers do not check it, so a caller
that takes up a stream must be sent to a server of the version that began it. The host that began
the stream may be gone by then. It therefore tells a few keepers, which any host can determine from
the id of the caller's attempt.
"""

from collections.abc import Iterable
from typing import Final

from attrs import define, field

from berylquay.decisions.backend_registry import BackendEntry
from berylquay.decisions.rendezvous import rendezvous_weight

# Time for which the version of a stream is kept; callers give a stream up long before.
STREAM_RETENTION_S: Final = 60.0
# Most streams whose versions are kept; the oldest are dropped first.
MAX_KEPT_STREAMS: Final = 50_000
# Age of the list of servers from which on it may lack a version that has begun to serve.
MAX_LIST_AGE_S: Final = 2.0
# Hosts that keep the version of a stream, besides the one that began it.
KEEPERS: Final = 3


@define
class StreamVersions:
    """Versions of the streams that this host has begun, or that it keeps for other hosts."""

    # Version, and monotonic time at which it was recorded, by the id of the caller's attempt; the
    # oldest is first.
    _versions: dict[str, tuple[str, float]] = field(factory=dict, init=False)

    def record(self, call_id: str, software_version: str, now_s: float) -> None:
        """Records the version at which a stream began."""
        self._versions.pop(call_id, None)
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


class PoolVersions:
    """Versions of the servers that each pool has had of late."""

    # Monotonic time since which this host knows the list of servers without a gap, or None.
    _known_since_s: float | None
    # Monotonic time at which a server was last known to have a version, by pool and version.
    _last_listed_s: dict[tuple[str, str], float]

    def __init__(self) -> None:
        self._known_since_s = None
        self._last_listed_s = {}

    def on_list_confirmed(self, confirmed_s: float, now_s: float) -> None:
        """Records when the list of servers was last known to be current."""
        if now_s - confirmed_s > MAX_LIST_AGE_S:
            self._known_since_s = None
        elif self._known_since_s is None:
            self._known_since_s = now_s

    def on_entry_replaced(self, entry: BackendEntry, now_s: float) -> None:
        """Records the version of an entry that was changed or removed."""
        self._last_listed_s[entry.pool, entry.software_version] = now_s

    def only_version(self, pool: str, listed: Iterable[BackendEntry], now_s: float) -> str | None:
        """Returns the one version that a stream of the pool can have begun at, or None.

        Args:
            pool: Name of the pool.
            listed: Entries of the pool's servers.
            now_s: Present time.
        """
        since_s = now_s - STREAM_RETENTION_S
        if self._known_since_s is None or self._known_since_s > since_s:
            return None
        versions = {entry.software_version for entry in listed}
        versions |= {
            version
            for (listed_pool, version), last_s in self._last_listed_s.items()
            if listed_pool == pool and last_s > since_s
        }
        return versions.pop() if len(versions) == 1 else None


def choose_keepers(call_id: str, hosts: Iterable[str], count: int) -> list[str]:
    """Returns the hosts that keep the version of a stream; all hosts choose the same ones.

    Args:
        call_id: Id of the caller's attempt that began the stream.
        hosts: Names of the hosts.
        count: Number of hosts to return, if there are as many.
    """
    return sorted(hosts, key=lambda host: rendezvous_weight(call_id, host), reverse=True)[:count]
