"""Limits on requests that servers name in answers, divided among the hosts without coordination.

A server states how many requests a second it takes from all hosts together. Each host has an equal
share: one permit in each of its intervals, which begin at random, so that the hosts take turns. A
permit that is not used lapses soon: permits of many idle hosts could otherwise be used at once.
"""

from math import ceil, isinf
from random import Random
from typing import Final

from attrs import define, field

from berylquay.decisions.server_instance import ServerInstance

# Fraction of the limit that is used; the rest is for hosts that are not known yet, and for permits
# of several hosts that fall together.
USABLE_FRACTION: Final = 0.8
# Time for which a permit is valid.
PERMIT_VALIDITY_S: Final = 1.0
# Least rate over all hosts, to find out whether a server still names a limit of 0.
MIN_RATE_PER_S: Final = 0.05
# Most limits that are remembered; the oldest are dropped first.
MAX_LIMITS: Final = 10000


@define
class _Limit:
    """The limit of one instance."""

    instance: ServerInstance
    # Requests a second from all hosts together.
    per_s: float
    # Monotonic time of the last answer that named it.
    named_s: float
    # Monotonic time from which the oldest permit that was not used is valid.
    permit_s: float
    # Unix time at which the last request was sent whose answer named it; 0 if unknown.
    sent_unix_ms: int


@define
class ServerLimits:
    """The limits of all servers, and this host's permits."""

    # Number of hosts among which each limit is divided.
    host_count: int = 1
    # Limits by the server's name.
    _limits: dict[str, _Limit] = field(factory=dict, init=False)
    # Monotonic time of the last tick.
    _now_s: float = field(default=float("-inf"), init=False)

    def has_limit(self, name: str) -> bool:
        """Tells whether a server has a limit."""
        return name in self._limits

    def limit_of(self, instance: ServerInstance) -> float | None:
        """Returns the limit that an instance has named, in requests a second, or None."""
        limit = self._limits.get(instance.name)
        return None if limit is None or limit.instance != instance else limit.per_s

    def on_limit(
        self,
        instance: ServerInstance,
        per_s: float,
        *,
        sent_s: float,
        rng: Random,
        now_s: float,
        sent_unix_ms: int = 0,
    ) -> bool:
        """Applies what an answer says of its server's limit.

        Args:
            instance: The server.
            per_s: Requests a second; infinity if the answer names no limit.
            sent_s: Monotonic time at which the request was sent that was answered.
            rng: Chooses when the first permit is valid.
            now_s: Present time.
            sent_unix_ms: Unix time at which the request was sent; 0 if unknown.

        Returns:
            Whether the instance had another limit before, or none, or has none any more.
        """
        self._now_s = max(self._now_s, now_s)
        known = self._limits.get(instance.name)
        if known is not None and known.instance.started_unix_ms > instance.started_unix_ms:
            return False
        if isinf(per_s):
            # The answer to an earlier request says nothing about a limit that was named since.
            if known is None or (known.instance == instance and sent_s < known.named_s):
                return False
            del self._limits[instance.name]
            return known.instance == instance
        if known is not None and known.instance == instance:
            has_changed = known.per_s != per_s
            known.per_s, known.named_s = per_s, now_s
            known.sent_unix_ms = max(known.sent_unix_ms, sent_unix_ms)
            return has_changed
        first_permit_s = now_s + rng.random() * self._interval_s(per_s)
        self._limits.pop(instance.name, None)
        self._limits[instance.name] = _Limit(instance, per_s, now_s, first_permit_s, sent_unix_ms)
        while len(self._limits) > MAX_LIMITS:
            del self._limits[next(iter(self._limits))]
        return True

    def on_instance(self, instance: ServerInstance) -> None:
        """Forgets the limit of an earlier instance of the same name.

        A limit that this one may have named before its entry was known is kept.
        """
        limit = self._limits.get(instance.name)
        if limit is None or limit.instance.started_unix_ms >= instance.started_unix_ms:
            return
        if instance.may_answer(limit.sent_unix_ms):
            limit.instance = instance
        else:
            del self._limits[instance.name]

    def has_permit(self, instance: ServerInstance) -> bool:
        """Tells whether a request may be sent to an instance, as of the last tick."""
        limit = self._limits.get(instance.name)
        if limit is None or limit.instance != instance:
            return True
        self._drop_lapsed_permits(limit, self._now_s)
        return limit.permit_s <= self._now_s

    def next_permit_s(self, instance: ServerInstance, now_s: float) -> float:
        """Returns the time until a request may be sent to an instance."""
        limit = self._limits.get(instance.name)
        if limit is None or limit.instance != instance:
            return 0.0
        self._drop_lapsed_permits(limit, now_s)
        return max(0.0, limit.permit_s - now_s)

    def on_request_sent(self, instance: ServerInstance, now_s: float) -> None:
        """Uses a permit."""
        limit = self._limits.get(instance.name)
        if limit is not None and limit.instance == instance:
            self._now_s = max(self._now_s, now_s)
            self._drop_lapsed_permits(limit, now_s)
            limit.permit_s += self._interval_s(limit.per_s)

    def on_tick(self, now_s: float) -> None:
        """Sets the present time."""
        self._now_s = now_s

    def _interval_s(self, per_s: float) -> float:
        """Returns the interval between two permits of this host."""
        return self.host_count / max(MIN_RATE_PER_S, per_s * USABLE_FRACTION)

    def _drop_lapsed_permits(self, limit: _Limit, now_s: float) -> None:
        lapsed_s = now_s - PERMIT_VALIDITY_S - limit.permit_s
        if lapsed_s > 0.0:
            interval_s = self._interval_s(limit.per_s)
            limit.permit_s += ceil(lapsed_s / interval_s) * interval_s
