"""Selection of the other entry hosts that a host keeps links to, and scheduling of its dials."""

import hashlib
from collections.abc import Iterable
from random import Random

from attrs import define, field, frozen

from berylquay.decisions.fleet import EntryHost, Liveness


@frozen
class PeeringLimits:
    """Limits and time-outs of links between entry hosts."""

    # Interval between heartbeats on a link.
    heartbeat_interval_s: float = 1.0
    # Time without any received data after which a link is closed and replaced.
    heartbeat_timeout_s: float = 3.0
    # Time within which a new link must be established.
    handshake_timeout_s: float = 2.0
    # Number of links that a host dials to other data centres.
    links_to_other_data_centres: int = 3
    # Maximum number of dials in progress.
    max_concurrent_dials: int = 4
    # Maximum number of open connections, including those that peers dialled.
    max_connections: int = 128
    # Maximum random delay before a host is dialled for the first time.
    max_initial_delay_s: float = 0.5
    # Maximum random delay before redialling after an established link ended; it doubles with each
    # consecutive failed dial.
    base_backoff_s: float = 0.5
    # Upper limit of the delay between two dials.
    max_backoff_s: float = 10.0
    # Maximum number of bytes queued for sending on one link.
    max_send_queue_bytes: int = 524288


def choose_dial_targets(
    own_name: str, data_centre: str, hosts: Iterable[EntryHost], remote_links: int
) -> dict[str, EntryHost]:
    """Returns the hosts that this host dials, by name.

    Of two hosts in one data centre, the one whose name sorts first dials the other. A host also
    dials up to `remote_links` hosts in other data centres, each in a different one. They are chosen
    by rendezvous hashing of the pair of names, so that a change of the list moves few links.
    """
    live = [host for host in hosts if host.liveness is Liveness.LIVE and host.name != own_name]
    local = {
        host.name: host for host in live if host.data_centre == data_centre and own_name < host.name
    }
    remote = [host for host in live if host.data_centre != data_centre]
    return local | _choose_remote(own_name, remote, remote_links)


def _choose_remote(own_name: str, hosts: list[EntryHost], count: int) -> dict[str, EntryHost]:
    chosen: dict[str, EntryHost] = {}
    used_data_centres: set[str] = set()
    for host in sorted(hosts, key=lambda host: _rank(own_name, host.name)):
        if len(chosen) == count:
            break
        if host.data_centre not in used_data_centres:
            used_data_centres.add(host.data_centre)
            chosen[host.name] = host
    return chosen


def _rank(own_name: str, other_name: str) -> bytes:
    return hashlib.blake2b(f"{own_name}|{other_name}".encode(), digest_size=8).digest()


def keeps_own_link(own_name: str, other_name: str) -> bool:
    """Returns whether this host's own link is kept if both hosts of a pair dialled each other."""
    return own_name < other_name


@define
class _DialTarget:
    """Dial state of a host that should be linked."""

    next_dial_s: float
    failures: int = 0


@define
class DialScheduler:
    """Schedules dials to each target, with jitter so that hosts don't redial at the same time."""

    # Limits and time-outs.
    limits: PeeringLimits
    # Generates the jitter.
    rng: Random
    # Targets by host name.
    _targets: dict[str, _DialTarget] = field(factory=dict)
    # Names of the hosts that are being dialled.
    _dialling: set[str] = field(factory=set)

    def set_targets(self, names: Iterable[str], now_s: float) -> None:
        """Replaces the set of hosts that this host dials."""
        wanted = set(names)
        for name in self._targets.keys() - wanted:
            del self._targets[name]
        for name in sorted(wanted - self._targets.keys()):
            delay_s = self.rng.uniform(0.0, self.limits.max_initial_delay_s)
            self._targets[name] = _DialTarget(now_s + delay_s)

    def take_due(self, now_s: float, linked: Iterable[str]) -> list[str]:
        """Returns the hosts to dial now and marks them as being dialled.

        Args:
            now_s: Present monotonic time.
            linked: Names of the hosts to which a link exists.
        """
        free_slots = self.limits.max_concurrent_dials - len(self._dialling)
        excluded = self._dialling | set(linked)
        due_targets = sorted(
            (target.next_dial_s, name)
            for name, target in self._targets.items()
            if name not in excluded and target.next_dial_s <= now_s
        )
        names = [name for _, name in due_targets[: max(free_slots, 0)]]
        self._dialling.update(names)
        return names

    def on_link_up(self, name: str) -> None:
        """Resets the failure count, since the host was reached."""
        self._dialling.discard(name)
        target = self._targets.get(name)
        if target is not None:
            target.failures = 0

    def on_link_down(self, name: str, was_up: bool, now_s: float) -> None:
        """Schedules the next dial after a link ended or could not be established."""
        self._dialling.discard(name)
        target = self._targets.get(name)
        if target is None:
            return
        if not was_up:
            target.failures += 1
        backoff_s = self.limits.base_backoff_s * 2.0 ** min(target.failures, 10)
        delay_s = self.rng.uniform(0.0, min(backoff_s, self.limits.max_backoff_s))
        target.next_dial_s = now_s + delay_s
