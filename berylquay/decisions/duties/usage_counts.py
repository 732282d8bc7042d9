"""Requests that began to run at a server, by window and tenant: of this host, and of all hosts."""

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Final

from attrs import define, field

# Windows that a host reports to the collectors: the present one and those before it.
REPORTED_WINDOWS: Final = 3
# Windows that a collector keeps, for reports that are late.
KEPT_WINDOWS: Final = 12


@define
class UsageCounter:
    """Counts of this host."""

    _counts: dict[int, Counter[str]] = field(factory=dict, init=False)

    def count(self, tenant: str, window_id: int) -> None:
        """Counts a request that began to run."""
        self._counts.setdefault(window_id, Counter())[tenant] += 1

    def counts(self, window_id: int) -> Mapping[str, int]:
        """Returns the counts of a window by tenant."""
        return self._counts.get(window_id, {})

    def drop_before(self, window_id: int) -> None:
        """Forgets the windows before this one."""
        for old_id in [known_id for known_id in self._counts if known_id < window_id]:
            del self._counts[old_id]


@define
class _SourceWindow:
    """What one source has counted in one window, as far as it was received."""

    counts: dict[str, int] = field(factory=dict)
    # Sum of the received counts.
    received: int = 0
    # Sum of all counts as the source has stated it last, and whether the window had ended then.
    total: int = 0
    is_final: bool = False

    def add(self, counts: Mapping[str, int]) -> None:
        """Adds received counts; a source's counts only rise."""
        for tenant, number in counts.items():
            rise = number - self.counts.get(tenant, 0)
            if rise > 0:
                self.counts[tenant] = number
                self.received += rise

    @property
    def is_complete(self) -> bool:
        """Tells whether the counts are those of the whole window."""
        return self.is_final and self.received >= self.total


@define
class CollectedUsage:
    """Counts of all hosts, as a collector has received them.

    A source is one process, so that the counts of a host before and after a restart add up.
    """

    _windows: dict[int, dict[str, _SourceWindow]] = field(factory=dict, init=False)

    def on_counts(
        self,
        source: str,
        window_id: int,
        counts: Mapping[str, int],
        *,
        total: int,
        is_final: bool,
    ) -> None:
        """Takes the counts of a source; those of one window may arrive in parts, in any order.

        Args:
            source: Id of the process that has counted.
            window_id: The window.
            counts: Counts by tenant, of the whole window so far.
            total: Sum of the counts of all parts.
            is_final: Whether the window had ended at the source.
        """
        window = self._windows.setdefault(window_id, {}).setdefault(source, _SourceWindow())
        window.add(counts)
        window.total = max(window.total, total)
        window.is_final = window.is_final or is_final

    def is_complete(self, window_id: int, sources: Iterable[str]) -> bool:
        """Tells whether all counts of these sources in the window have arrived."""
        received = self._windows.get(window_id, {})
        return all(source in received and received[source].is_complete for source in sources)

    def sums(self, window_id: int) -> dict[str, int]:
        """Returns the sums of all sources by tenant, in the order of the tenants' names."""
        total: Counter[str] = Counter()
        for window in self._windows.get(window_id, {}).values():
            total.update(window.counts)
        return dict(sorted(total.items()))

    def drop_before(self, window_id: int) -> None:
        """Forgets the windows before this one."""
        for old_id in [known_id for known_id in self._windows if known_id < window_id]:
            del self._windows[old_id]
