"""Peering: which other entry hosts a host keeps links to, and when it dials them."""

import hashlib
from collections.abc import Iterable
from random import Random

from attrs import define, field, frozen

from berylquay.decisions.fleet import EntryHost, Liveness


@frozen
class PeeringLimits:
    """Bounds on links between entry hosts."""

    # Interval between the heartbeats on a link.
    heartbeat_interval_s: float = 1.0
    # Time after which a link on which nothing was heard is replaced.
    heartbeat_timeout_s: float = 3.0
    # Time within which a new link must be up.
    handshake_timeout_s: float = 2.0
    # Links that a host dials to other data centres.
    links_to_other_data_centres: int = 3
    # Most links that are being made at once.
    max_concurrent_dials: int = 4
    # Most connections that are open, counting those that others dialled.
    max_connections: int = 128
    # Longest wait before the first try to reach a host.
    max_initial_delay_s: float = 0.5
    # Longest wait after one failed try; it doubles with each further one.
    base_backoff_s: float = 0.5
    # Longest wait between two tries.
    max_backoff_s: float = 10.0
    # Most bytes that wait to be sent on one link.
    max_send_queue_bytes: int = 524288


def choose_dial_targets(
    own_name: str, data_centre: str, hosts: Iterable[EntryHost], remote_links: int
) -> dict[str, EntryHost]:
    """Returns the hosts that this host is to dial, by name.

    Of two hosts in one data centre, the one whose name sorts first dials. Beyond the data centre a
    host dials a few others, each in another data centre, ranked by a hash of the pair, so that a
    change of the list moves few links.
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
    """Tells which of two links of one pair stays, if both hosts dialled at once."""
    return own_name < other_name


@define
class _DialTarget:
    """A host to dial."""

    next_dial_s: float
    failures: int = 0


@define
class DialScheduler:
    """Decides when each target is dialled; waits are jittered so that restarts don't coincide."""

    # Bounds.
    limits: PeeringLimits
    # Draws the jitter.
    rng: Random
    # Targets by host name.
    _targets: dict[str, _DialTarget] = field(factory=dict)
    # Hosts that are being dialled.
    _dialling: set[str] = field(factory=set)

    def set_targets(self, names: Iterable[str], now_s: float) -> None:
        """Takes the hosts that are to be linked from now on."""
        wanted = set(names)
        for name in self._targets.keys() - wanted:
            del self._targets[name]
        for name in sorted(wanted - self._targets.keys()):
            wait_s = self.rng.uniform(0.0, self.limits.max_initial_delay_s)
            self._targets[name] = _DialTarget(now_s + wait_s)

    def take_due(self, now_s: float, linked: Iterable[str]) -> list[str]:
        """Returns the hosts to dial now and counts them as being dialled."""
        free_slots = self.limits.max_concurrent_dials - len(self._dialling)
        busy = self._dialling | set(linked)
        due_targets = sorted(
            (target.next_dial_s, name)
            for name, target in self._targets.items()
            if name not in busy and target.next_dial_s <= now_s
        )
        names = [name for _, name in due_targets[: max(free_slots, 0)]]
        self._dialling.update(names)
        return names

    def on_link_up(self, name: str) -> None:
        """Forgets earlier failures, since the host was reached."""
        self._dialling.discard(name)
        target = self._targets.get(name)
        if target is not None:
            target.failures = 0

    def on_link_down(self, name: str, was_up: bool, now_s: float) -> None:
        """Plans the next try after a link ended or could not be made."""
        self._dialling.discard(name)
        target = self._targets.get(name)
        if target is None:
            return
        if not was_up:
            target.failures += 1
        backoff_s = self.limits.base_backoff_s * 2.0 ** min(target.failures, 10)
        wait_s = self.rng.uniform(0.0, min(backoff_s, self.limits.max_backoff_s))
        target.next_dial_s = now_s + wait_s
