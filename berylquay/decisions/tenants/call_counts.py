"""Final answers by tenant since the start, of the largest tenants and of all others together."""

from collections import Counter
from typing import Final

from attrs import define, field, frozen

# Tenants with figures of their own, which bounds the number of time series.
LARGEST_TENANTS: Final = 20


@frozen
class TenantCallCount:
    """Final answers to the calls of one tenant, or of several."""

    # Name, or an empty string for all tenants without figures of their own.
    tenant: str
    calls: int
    # Those that a backend server has answered.
    answered: int


@define
class TenantCallCounts:
    """Counts final answers by tenant."""

    _calls: Counter[str] = field(factory=Counter)
    _answered: Counter[str] = field(factory=Counter)

    def on_call_ended(self, tenant: str, *, was_answered: bool) -> None:
        """Counts the final answer to a call, or that its caller has left."""
        self._calls[tenant] += 1
        self._answered[tenant] += was_answered

    def largest(self) -> list[TenantCallCount]:
        """Returns the figures of the largest tenants, then those of the others together."""
        listed = [
            TenantCallCount(tenant, calls, self._answered[tenant])
            for tenant, calls in self._calls.most_common(LARGEST_TENANTS)
        ]
        calls = self._calls.total() - sum(each.calls for each in listed)
        answered = self._answered.total() - sum(each.answered for each in listed)
        return [*listed, TenantCallCount("", calls, answered)]
