"""Calls of many tenants through many hosts to engines that can't serve all, in virtual time.

One queue stands for the engines. Each host sees its length as it was a while ago, plus what it has
sent itself since then. Callers send refused calls again at once, at another host.
"""

import heapq
from collections import Counter, deque
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Final

from attrs import define, field

from berylquay.decisions.backend_registry import BackendEntry, EntryState
from berylquay.decisions.engine_placement import Placement
from berylquay.decisions.fleet import Address
from berylquay.decisions.relay_admission import AdmissionAction, AdmissionOptions, admit
from berylquay.decisions.relay_call import RelayCall
from berylquay.decisions.route_table import Pool, RepeatRule, Route, WeightedPool
from berylquay.decisions.tenants.fairness import FairShares

ENGINE: Final = BackendEntry("e", "lm", Address("h", 1), "dc", 4, EntryState.READY)
ROUTE: Final = Route(
    "chat", "h", "/", (WeightedPool("lm", 1.0),), RepeatRule.REPEATABLE, True, False, 1, 4.0, 0.8, 1
)
LIMITS: Final = AdmissionOptions()
TOKENS_PER_S: Final = 400_000.0
MEAN_TOKENS: Final = 4_000.0
VIEW_AGE_S: Final = 0.15
RETRY_DELAY_S: Final = 0.03
QUEUE_CHECK_S: Final = 0.025
CONNECT_S: Final = 0.005


def power_law_shares(tenants: int, exponent: float) -> list[float]:
    """Returns each tenant's share of the load."""
    weights = [(rank + 1) ** -exponent for rank in range(tenants)]
    return [weight / sum(weights) for weight in weights]


@define
class TenantWorld:
    """One run."""

    host_count: int
    # Load by tenant, as a multiple of the capacity, by time.
    loads: Callable[[float], list[float]]
    rng: Random
    is_fair: bool = True
    # Requests and those that were served, by tenant, from `counted_from_s` on.
    counted_from_s: float = 0.0
    requests: Counter[int] = field(factory=Counter)
    served: Counter[int] = field(factory=Counter)
    # Attempts that were refused although the engines had no queue.
    refused_when_free: int = 0
    sent_tokens: float = 0.0
    _events: list[tuple[float, int, Callable[[], None]]] = field(factory=list)
    _number: int = 0
    _now_s: float = 0.0
    # Time at which the engines have prefilled all that was sent to them, and its past values.
    _free_s: float = 0.0
    _past: deque[tuple[float, float]] = field(factory=deque)
    _seen_wait_s: float = 0.0
    _own: list[deque[tuple[float, float]]] = field(factory=list)
    _shares: list[FairShares] = field(factory=list)

    def run(self, until_s: float) -> None:
        """Runs until a time."""
        self._own = [deque() for _ in range(self.host_count)]
        self._shares = [FairShares() for _ in range(self.host_count)]
        for tenant in range(len(self.loads(0.0))):
            self._arrive_later(tenant)
        if self.is_fair:
            for host in range(self.host_count):
                self._at(self.rng.random(), partial(self._report, host))
        while self._events and self._events[0][0] < until_s:
            self._now_s, _, action = heapq.heappop(self._events)
            action()

    def _at(self, delay_s: float, action: Callable[[], None]) -> None:
        self._number += 1
        heapq.heappush(self._events, (self._now_s + delay_s, self._number, action))

    def _arrive_later(self, tenant: int) -> None:
        rate = self.loads(self._now_s)[tenant] * TOKENS_PER_S / MEAN_TOKENS
        self._at(self.rng.expovariate(rate), lambda: self._arrive(tenant))

    def _arrive(self, tenant: int) -> None:
        self._arrive_later(tenant)
        tokens = self.rng.uniform(0.25, 1.75) * MEAN_TOKENS
        if self._now_s >= self.counted_from_s:
            self.requests[tenant] += 1
        self._attempt(tenant, tokens, self._now_s)

    def _attempt(self, tenant: int, tokens: float, began_s: float) -> None:
        """Sends a request to a host; callers abandon it after their stall timeout."""
        if self._now_s - began_s > ROUTE.stall_timeout_s:
            return
        deadline_s = began_s + ROUTE.timeout_s
        is_retry = self._now_s - began_s > 0.03 * ROUTE.timeout_s
        now_s = self._now_s
        call = RelayCall("id", ROUTE, Pool("lm", 1), now_s, deadline_s, is_retry, "content")
        call.tenant = str(tenant)
        host = self.rng.randrange(self.host_count)
        if self.is_fair and now_s == began_s:
            self._shares[host].on_asked(call.tenant, tokens, now_s)
        self._admit(call, tokens, host, began_s)

    def _admit(self, call: RelayCall, tokens: float, host: int, began_s: float) -> None:
        wait_s = self._wait_seen_by(host)
        now_s = self._now_s
        first_token_s = wait_s + tokens / TOKENS_PER_S + CONNECT_S
        placement = Placement(None, ENGINE, first_token_s, wait_s, round(tokens))
        admission = admit(
            call, placement, LIMITS, host_count=self.host_count, rng=self.rng, now_s=now_s
        )
        shares, tenant = self._shares[host], call.tenant
        if self.is_fair and tenant is not None:
            admission = shares.adjust(admission, call, placement, LIMITS, now_s)
        if admission.action is AdmissionAction.QUEUE:
            self._at(QUEUE_CHECK_S, lambda: self._admit(call, tokens, host, began_s))
        elif admission.action is AdmissionAction.REFUSE:
            self.refused_when_free += self._free_s <= now_s
            number = int(tenant or 0)
            self._at(RETRY_DELAY_S, lambda: self._attempt(number, tokens, began_s))
        else:
            self._send(call, tokens, host, began_s)

    def _send(self, call: RelayCall, tokens: float, host: int, began_s: float) -> None:
        now_s, tenant = self._now_s, str(call.tenant)
        if self.is_fair:
            self._shares[host].on_sent(tenant, tokens, now_s)
        work_s = tokens / TOKENS_PER_S
        self._free_s = max(self._free_s, now_s) + work_s
        self._past.append((now_s, self._free_s))
        self._own[host].append((now_s, work_s))
        is_counted = began_s >= self.counted_from_s
        if is_counted:
            self.sent_tokens += tokens
        if is_counted and self._free_s - call.received_s <= ROUTE.stall_timeout_s:
            self.served[int(tenant)] += 1

    def _wait_seen_by(self, host: int) -> float:
        aged_s = self._now_s - VIEW_AGE_S
        while self._past and self._past[0][0] <= aged_s:
            self._seen_wait_s = self._past.popleft()[1]
        own = self._own[host]
        while own and own[0][0] <= aged_s:
            own.popleft()
        return max(0.0, self._seen_wait_s - self._now_s) + sum(work_s for _, work_s in own)

    def _report(self, host: int) -> None:
        use = self._shares[host].own_use(self._now_s)
        for other, shares in enumerate(self._shares):
            if other != host:
                shares.on_peer_use(str(host), use, self._now_s)
        self._at(max(0.5, 0.008 * self.host_count), lambda: self._report(host))
