"""This host's own paths to the backend servers: whether it has lost all of them, and who has not.

Designed for hosts that are partitioned from all servers while other hosts reach them. Connections
that fail to several servers, with none that succeeds in between, are taken for a fault of this
host's path, not of the servers. Requests then go through another host, the gateway, until a
connection of this host's own succeeds again.
"""

from collections.abc import Mapping, Sequence
from random import Random
from typing import Final

from attrs import define, field

# Servers to which connections must have failed; fewer if there are not as many.
MIN_FAILED_SERVERS: Final = 2
# Time for which a failed connection counts.
FAILURE_TTL_S: Final = 3.0
# Time without data from any server, while requests wait, after which the path is tested.
SILENCE_BEFORE_PROBE_S: Final = 1.0
PROBE_INTERVAL_S: Final = 0.25
# Time for which a gateway that could not help is not used.
GATEWAY_BACKOFF_S: Final = 1.0


@define
class ServerPaths:
    """What this host's own connections show of its paths."""

    # Whether no server is reachable by a connection of this host's own.
    is_cut_off: bool = field(default=False, init=False)
    # Monotonic time of the last failed connection since one succeeded, by server.
    _failed_s: dict[str, float] = field(factory=dict, init=False)
    # Monotonic times of the last successful connection, the last data from any server, and the last
    # probe.
    last_connected_s: float = field(default=float("-inf"), init=False)
    _last_data_s: float = field(default=float("-inf"), init=False)
    # Whether a server has sent data since the last tick.
    has_new_data: bool = field(default=False, init=False)
    _last_probe_s: float = field(default=float("-inf"), init=False)

    @property
    def failed_servers(self) -> list[str]:
        """Returns the servers to which connections have failed since one succeeded."""
        return sorted(self._failed_s)

    def on_connected(self, now_s: float) -> bool:
        """Records a successful connection; returns whether the host was cut off before."""
        was_cut_off, self.is_cut_off = self.is_cut_off, False
        self._failed_s.clear()
        self.last_connected_s = now_s
        self._last_data_s = max(self._last_data_s, now_s)
        return was_cut_off

    def on_connect_failed(self, server: str, server_count: int, now_s: float) -> bool:
        """Records a failed connection; returns whether the host is cut off from now on.

        Args:
            server: Name of the server.
            server_count: Number of servers that are listed as ready.
            now_s: Present time.
        """
        self._failed_s[server] = now_s
        for name in [name for name, at_s in self._failed_s.items() if now_s - at_s > FAILURE_TTL_S]:
            del self._failed_s[name]
        if self.is_cut_off or len(self._failed_s) < max(1, min(MIN_FAILED_SERVERS, server_count)):
            return False
        self.is_cut_off = True
        return True

    def take_probe(self, has_waiting_requests: bool, now_s: float) -> bool:
        """Tells whether to test the path now, and if so notes that.

        Args:
            has_waiting_requests: Whether requests wait for data from servers.
            now_s: Present time.
        """
        if self.has_new_data or not has_waiting_requests:
            self.has_new_data = False
            self._last_data_s = now_s
        is_silent = has_waiting_requests and now_s - self._last_data_s > SILENCE_BEFORE_PROBE_S
        if not (self.is_cut_off or is_silent) or now_s - self._last_probe_s < PROBE_INTERVAL_S:
            return False
        self._last_probe_s = now_s
        return True


@define
class GatewayChoice:
    """Chooses the host through which a request goes."""

    # Monotonic time until which a host is not used, by name.
    _backoff_until_s: dict[str, float] = field(factory=dict, init=False)

    def on_failed(self, host: str, now_s: float) -> None:
        """Records that a host could not be used as a gateway."""
        self._backoff_until_s[host] = now_s + GATEWAY_BACKOFF_S

    def choose(
        self,
        round_trips_ms: Mapping[str, float],
        rng: Random,
        now_s: float,
    ) -> str | None:
        """Returns one of the nearest hosts that may be used, or None.

        Args:
            round_trips_ms: Round-trip times from this host, by host.
            rng: Chooses among the nearest ones, so that the load is spread.
            now_s: Present time.
        """
        usable: Sequence[str] = [
            host for host in round_trips_ms if self._backoff_until_s.get(host, 0.0) <= now_s
        ]
        if not usable:
            return None
        nearest_ms = min(round_trips_ms[host] for host in usable)
        return rng.choice([host for host in usable if round_trips_ms[host] <= nearest_ms])
