"""What backend servers state of themselves in answers: that they leave, or want a pause.

A statement holds for the instance that made it. An entry in the store that still says `ready` does
not lift it, nor does a change of role; a server that starts again begins without any. An instance
may answer before its entry is known: what it states then is kept under the instance before, and
passes on to it with its entry, by the time at which the request was sent.
"""

from collections.abc import Iterable
from random import Random
from typing import Final

from attrs import define, evolve, field, frozen

from berylquay.decisions.server_instance import ServerInstance
from berylquay.decisions.server_limits import ServerLimits

# Longest pause that is honoured; a server that still wants none says so again.
MAX_PAUSE_S: Final = 3600.0
# Hosts end their pauses spread over this fraction of the pause, up to the bound, so that a server
# does not get the requests of all of them at once.
PAUSE_END_SPREAD_FRACTION: Final = 0.2
MAX_PAUSE_END_SPREAD_S: Final = 0.5
# Time for which an instance counts as leaving that may have answered so before its entry was known.
# By clocks that differ, the answer may also be of the instance before.
UNCERTAIN_LEAVING_S: Final = 30.0
# Most leaving instances that are remembered; the oldest are dropped first.
MAX_LEAVING_INSTANCES: Final = 10000


@frozen
class ServerNotice:
    """What one answer states of its server."""

    # Whether the server leaves and must get no new requests.
    is_leaving: bool
    # Time for which the server wants no requests from this host, or None.
    pause_s: float | None
    # Requests a second that the server takes from all hosts together; infinity if it names no
    # limit, and None if what it names can't be read.
    limit_per_s: float | None = float("inf")


@frozen
class _Pause:
    """A pause, and the instance that wants it."""

    instance: ServerInstance
    # Monotonic time until which the instance gets no requests.
    until_s: float
    # Unix time at which the request was sent that was answered; 0 if unknown.
    sent_unix_ms: int


@define
class _UncertainLeaving:
    """A leaving instance that may have started only after the answer."""

    instance: ServerInstance
    # Monotonic time until which it counts as leaving; None before the first tick.
    until_s: float | None = None


@define
class ServerNotices:
    """Statements of all backend servers, as this host knows them: of one instance of each name."""

    # Names of which an instance has stated anything: what each placement asks for each server.
    names: set[str] = field(factory=set, init=False)
    # Limits on requests.
    limits: ServerLimits = field(factory=ServerLimits, init=False)
    # Leaving instances by name, the oldest statement first.
    _leaving: dict[str, ServerInstance] = field(factory=dict, init=False)
    # Unix times at which the requests were sent that leaving instances have answered so.
    _leaving_sent_unix_ms: dict[ServerInstance, int] = field(factory=dict, init=False)
    # Instances that may be leaving, by name.
    _uncertain: dict[str, _UncertainLeaving] = field(factory=dict, init=False)
    # Pauses by name.
    _pauses: dict[str, _Pause] = field(factory=dict, init=False)

    @property
    def leaving_count(self) -> int:
        """Returns the number of leaving instances that are remembered."""
        return len(self._leaving) + len(self._uncertain)

    @property
    def paused_count(self) -> int:
        """Returns the number of paused instances."""
        return len(self._pauses)

    def is_leaving(self, instance: ServerInstance) -> bool:
        """Tells whether the instance is leaving."""
        uncertain = self._uncertain.get(instance.name)
        return self._leaving.get(instance.name) == instance or (
            uncertain is not None and uncertain.instance == instance
        )

    def is_paused(self, instance: ServerInstance) -> bool:
        """Tells whether the instance wants no requests from this host, as of the last tick."""
        pause = self._pauses.get(instance.name)
        return pause is not None and pause.instance == instance

    def accepts_requests(self, instance: ServerInstance) -> bool:
        """Tells whether nothing that the instance has stated forbids new requests."""
        return (
            not self.is_leaving(instance)
            and not self.is_paused(instance)
            and self.limits.has_permit(instance)
        )

    def on_leaving(self, instance: ServerInstance, sent_unix_ms: int = 0) -> bool:
        """Records that an instance is leaving; returns whether that is new.

        Args:
            instance: The instance of which the request was sent.
            sent_unix_ms: Unix time at which it was sent; 0 if unknown.
        """
        known = self._leaving.get(instance.name)
        if known is not None and known.started_unix_ms >= instance.started_unix_ms:
            if known == instance:
                # The instance before does not answer any more once the next one has started.
                newest_ms = max(self._leaving_sent_unix_ms[instance], sent_unix_ms)
                self._leaving_sent_unix_ms[instance] = newest_ms
            return False
        if known is not None:
            self._forget_leaving(known.name)
        self._uncertain.pop(instance.name, None)
        self._leaving[instance.name] = instance
        self._leaving_sent_unix_ms[instance] = sent_unix_ms
        self.names.add(instance.name)
        while len(self._leaving) > MAX_LEAVING_INSTANCES:
            self._forget_leaving(next(iter(self._leaving)))
        return True

    def on_uncertain_leaving(self, instance: ServerInstance) -> bool:
        """Records that an instance, or the one before it, is leaving; returns whether it is new."""
        if self.is_leaving(instance):
            return False
        self._uncertain[instance.name] = _UncertainLeaving(instance)
        self.names.add(instance.name)
        return True

    def on_pause(
        self,
        instance: ServerInstance,
        pause_s: float,
        rng: Random,
        now_s: float,
        sent_unix_ms: int = 0,
    ) -> float | None:
        """Records a pause; returns how long it lasts, or None if an earlier one lasts longer.

        Args:
            instance: The instance of which the request was sent.
            pause_s: Time for which it wants no requests.
            rng: Spreads the ends of the hosts' pauses.
            now_s: Present time.
            sent_unix_ms: Unix time at which the request was sent; 0 if unknown.
        """
        pause_s = min(pause_s, MAX_PAUSE_S)
        spread_s = min(MAX_PAUSE_END_SPREAD_S, PAUSE_END_SPREAD_FRACTION * pause_s)
        until_s = now_s + pause_s + rng.uniform(0.0, spread_s)
        if pause_s <= 0.0:
            return None
        earlier = self._pauses.get(instance.name)
        if earlier is not None and earlier.instance == instance and until_s <= earlier.until_s:
            # The earlier answer still holds if a later one states a shorter time.
            return None
        if earlier is not None and earlier.instance.started_unix_ms > instance.started_unix_ms:
            return None
        self._pauses[instance.name] = _Pause(instance, until_s, sent_unix_ms)
        self.names.add(instance.name)
        return until_s - now_s

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
        """Applies what an answer says of its server's limit; returns whether that is new."""
        is_new = self.limits.on_limit(
            instance, per_s, sent_s=sent_s, rng=rng, now_s=now_s, sent_unix_ms=sent_unix_ms
        )
        if self.limits.has_limit(instance.name):
            self.names.add(instance.name)
        else:
            self._discard_name(instance.name)
        return is_new

    def on_tick(self, now_s: float) -> list[ServerInstance]:
        """Ends the pauses that are over and returns their instances."""
        self.limits.on_tick(now_s)
        ended = [pause.instance for pause in self._pauses.values() if now_s >= pause.until_s]
        for instance in ended:
            self._forget_pause(instance.name)
        for name, uncertain in list(self._uncertain.items()):
            if uncertain.until_s is None:
                uncertain.until_s = now_s + UNCERTAIN_LEAVING_S
            elif now_s >= uncertain.until_s:
                # An instance that does leave says so in its next answer.
                self._forget_uncertain(name)
        return ended

    def on_instance(self, instance: ServerInstance) -> None:
        """Forgets what an earlier instance of the same name has stated.

        What this one may have stated itself before its entry was known is kept.
        """
        name, started_unix_ms = instance.name, instance.started_unix_ms
        uncertain = self._uncertain.get(name)
        if uncertain is not None and uncertain.instance.started_unix_ms < started_unix_ms:
            self._forget_uncertain(name)
        leaving = self._leaving.get(name)
        if leaving is not None and leaving.started_unix_ms < started_unix_ms:
            # Without the tolerance: servers often leave just before they start again.
            is_own = instance.may_answer(self._leaving_sent_unix_ms[leaving], tolerance_ms=0)
            self._forget_leaving(name)
            if is_own:
                self.on_uncertain_leaving(instance)
        pause = self._pauses.get(name)
        if pause is not None and pause.instance.started_unix_ms < started_unix_ms:
            if instance.may_answer(pause.sent_unix_ms):
                self._pauses[name] = evolve(pause, instance=instance)
            else:
                self._forget_pause(name)
        self.limits.on_instance(instance)
        self._discard_name(name)

    def _forget_leaving(self, name: str) -> None:
        del self._leaving_sent_unix_ms[self._leaving.pop(name)]
        self._discard_name(name)

    def _forget_uncertain(self, name: str) -> None:
        del self._uncertain[name]
        self._discard_name(name)

    def _forget_pause(self, name: str) -> None:
        del self._pauses[name]
        self._discard_name(name)

    def _discard_name(self, name: str) -> None:
        """Removes a name of which nothing is stated any more."""
        is_stated = (
            name in self._leaving
            or name in self._uncertain
            or name in self._pauses
            or self.limits.has_limit(name)
        )
        if not is_stated:
            self.names.discard(name)

    def earliest_return_s(self, instances: Iterable[ServerInstance], now_s: float) -> float | None:
        """Returns the time until the first of the instances may get requests again.

        None if one of them may now, or if all are leaving.
        """
        staying = [instance for instance in instances if not self.is_leaving(instance)]
        if any(self.accepts_requests(instance) for instance in staying):
            return None
        return min((self._return_s(instance, now_s) for instance in staying), default=None)

    def _return_s(self, instance: ServerInstance, now_s: float) -> float:
        """Returns the time until neither a pause nor a limit forbids a request."""
        pause = self._pauses.get(instance.name)
        pause_s = 0.0 if pause is None or pause.instance != instance else pause.until_s - now_s
        return max(pause_s, self.limits.next_permit_s(instance, now_s))
