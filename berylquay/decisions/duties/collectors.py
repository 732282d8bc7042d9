"""Which hosts collect what all hosts of the fleet have counted."""

from collections.abc import Iterable
from typing import Final

from attrs import define, field

COLLECTORS: Final = 3
# Time without an answer after which a host no longer counts as a collector.
SILENT_AFTER_S: Final = 3.0


def choose_collectors(hosts: Iterable[str], count: int = COLLECTORS) -> list[str]:
    """Returns the first hosts by name, in the order in which they act."""
    return sorted(hosts)[:count]


@define
class CollectorChoice:
    """The collectors as one host sees them: they answer what it sends to them.

    The list of hosts keeps those that have died, so a host that does not answer is passed over.
    Some hosts after it are asked besides, twice as many each time, so that the live ones are found
    soon after most of the fleet was lost.
    """

    # Name of this host.
    _host: str
    # Monotonic times of the first message to each host that it has not answered.
    _asked_s: dict[str, float] = field(factory=dict, init=False)

    def on_heard(self, host: str) -> None:
        """Records that a host has answered."""
        self._asked_s.pop(host, None)

    def on_asked(self, host: str, now_s: float) -> None:
        """Records that a message was sent to a host."""
        self._asked_s.setdefault(host, now_s)

    def choose(self, others: Iterable[str], now_s: float) -> tuple[list[str], list[str]]:
        """Returns the collectors, this host included, and the hosts to ask besides.

        Args:
            others: Names of the other hosts.
            now_s: Present time.
        """
        by_name = sorted({*others, self._host})
        live = [host for host in by_name if not self._is_silent(host, now_s)]
        collectors = choose_collectors(live)
        before = [host for host in by_name if host not in collectors and host < collectors[-1]]
        if not before:
            return collectors, []
        after = [host for host in live if host not in collectors][: len(before)]
        return collectors, before + after

    def _is_silent(self, host: str, now_s: float) -> bool:
        asked_s = self._asked_s.get(host)
        return asked_s is not None and now_s - asked_s > SILENT_AFTER_S
