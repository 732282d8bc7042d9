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
    silence_timeout_s: float = 3.0
    # Time within which a new link must be up.
    handshake_timeout_s: float = 2.0
    # Links that a host dials to other data centres.
    links_beyond_data_centre: int = 3
    # Most links that are being made at once.
    dials_at_once: int = 4
    # Most connections that are open, counting those that others dialled.
    connections: int = 128
    # Longest wait before the first try to reach a host.
    first_wait_s: float = 0.5
    # Longest wait after one failed try; it doubles with each further one.
    retry_wait_s: float = 0.5
    # Longest wait between two tries.
    longest_wait_s: float = 10.0
    # Most bytes that wait to be sent on one link.
    queue_bytes: int = 524288


def choose_targets(
    me: str, data_centre: str, hosts: Iterable[EntryHost], links_beyond: int
) -> dict[str, EntryHost]:
    """Returns the hosts that this host is to dial, by name.

    Of two hosts in one data centre, the one whose name sorts first dials. Beyond the data centre a
    host dials a few others, each in another data centre, ranked by a hash of the pair, so that a
    change of the list moves few links.
    """
    live = [host for host in hosts if host.liveness is Liveness.LIVE and host.name != me]
    near = {host.name: host for host in live if host.data_centre == data_centre and me < host.name}
    far = [host for host in live if host.data_centre != data_centre]
    return near | _choose_far(me, far, links_beyond)


def _choose_far(me: str, hosts: list[EntryHost], count: int) -> dict[str, EntryHost]:
    chosen: dict[str, EntryHost] = {}
    taken: set[str] = set()
    for host in sorted(hosts, key=lambda host: _rank(me, host.name)):
        if len(chosen) == count:
            break
        if host.data_centre not in taken:
            taken.add(host.data_centre)
            chosen[host.name] = host
    return chosen


def _rank(me: str, other: str) -> bytes:
    return hashlib.blake2b(f"{me}|{other}".encode(), digest_size=8).digest()


def keeps_own_link(me: str, other: str) -> bool:
    """Tells which of two links of one pair stays, if both hosts dialled at once."""
    return me < other


@define
class _Target:
    """A host to dial."""

    next_dial_s: float
    failures: int = 0


@define
class DialPlan:
    """Decides when each target is dialled; waits are jittered so that restarts don't coincide."""

    # Bounds.
    limits: PeeringLimits
    # Draws the jitter.
    random: Random
    # Targets by host name.
    _targets: dict[str, _Target] = field(factory=dict)
    # Hosts that are being dialled.
    _dialling: set[str] = field(factory=set)

    def set_targets(self, names: Iterable[str], now_s: float) -> None:
        """Takes the hosts that are to be linked from now on."""
        wanted = set(names)
        for name in self._targets.keys() - wanted:
            del self._targets[name]
        for name in sorted(wanted - self._targets.keys()):
            wait_s = self.random.uniform(0.0, self.limits.first_wait_s)
            self._targets[name] = _Target(now_s + wait_s)

    def due(self, now_s: float, linked: Iterable[str]) -> list[str]:
        """Returns the hosts to dial now and counts them as being dialled."""
        free = self.limits.dials_at_once - len(self._dialling)
        busy = self._dialling | set(linked)
        waiting = sorted(
            (target.next_dial_s, name)
            for name, target in self._targets.items()
            if name not in busy and target.next_dial_s <= now_s
        )
        names = [name for _, name in waiting[: max(free, 0)]]
        self._dialling.update(names)
        return names

    def on_linked(self, name: str) -> None:
        """Forgets earlier failures, since the host was reached."""
        self._dialling.discard(name)
        target = self._targets.get(name)
        if target is not None:
            target.failures = 0

    def on_ended(self, name: str, was_up: bool, now_s: float) -> None:
        """Plans the next try after a link ended or could not be made."""
        self._dialling.discard(name)
        target = self._targets.get(name)
        if target is None:
            return
        if not was_up:
            target.failures += 1
        longest_s = self.limits.retry_wait_s * 2.0 ** min(target.failures, 10)
        wait_s = self.random.uniform(0.0, min(longest_s, self.limits.longest_wait_s))
        target.next_dial_s = now_s + wait_s
