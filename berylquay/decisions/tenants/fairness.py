"""Fair shares of tenants without declared ones: who yields when not all calls can be served.

A tenant's fair share of the recent work is in proportion to what it asks for, up to a multiple of
what it usually asks for. So all tenants get the same fraction of their calls served, except one
that asks for much more than usual. Shares matter only while calls are queued or refused, and never
where an engine is idle.
"""

import math
from collections import Counter
from typing import Final

from attrs import define, field, frozen

from berylquay.decisions.engine_placement import Placement
from berylquay.decisions.relay_admission import (
    MIN_RETRY_AFTER_S,
    Admission,
    AdmissionAction,
    AdmissionOptions,
    can_wait,
    first_token_limit_s,
)
from berylquay.decisions.relay_call import RelayCall
from berylquay.decisions.tenants.decayed_sums import ALL_TENANTS, DecayedSums

# Tenants that a host reports to the others; those that ask for most.
MAX_REPORTED_TENANTS: Final = 128
# Time for which a host that has queued or refused a call counts as contended.
CONTENTION_S: Final = 1.0
# Sums below this many tokens are forgotten.
MIN_TOKENS: Final = 1.0


@frozen
class FairnessOptions:
    """Limits on what tenants use."""

    # Time constants of recent work, and of what a tenant usually asks for.
    recent_s: float = 20.0
    usual_s: float = 300.0
    # Multiple of its usual demand up to which a tenant's share grows with its demand. A tenant that
    # asks for ten times as much then gets three tenths of the fraction that others get, which is
    # above the quarter that each tenant is to get.
    max_demand_growth: float = 3.0
    # History, as a multiple of the recent work, without which nothing is known to be usual.
    min_history: float = 2.0
    # Usage, as a multiple of the fair share, from which on a tenant gets idle engines only. The
    # queue that its calls may join grows from there to the longest one of a tenant without use, so
    # that a tenant at its fair share joins a queue of a third of that, about the objective.
    max_usage_ratio: float = 1.5


@frozen
class TenantUse:
    """Decayed sums of one host, in tokens, by tenant and for all tenants together."""

    # Recent work that was sent to engines, and that was asked for.
    sent: dict[str, float]
    asked: dict[str, float]
    # What was asked for over a longer time.
    usual: dict[str, float]
    # Whether the host has just queued or refused calls.
    is_contended: bool


@define
class _PeerUse:
    """What another host has reported, and when."""

    use: TenantUse
    received_s: float


@define
class FairShares:
    """Compares the work of each tenant with its fair share, over all hosts that report."""

    options: FairnessOptions = field(factory=FairnessOptions)
    # Sums of this host alone, and of all hosts.
    _own: "_Sums" = field(init=False)
    _all: "_Sums" = field(init=False)
    _peers: dict[str, _PeerUse] = field(factory=dict, init=False)
    # Time at which this host, and any host, has last queued or refused a call.
    _own_contended_s: float = field(default=float("-inf"), init=False)
    _contended_s: float = field(default=float("-inf"), init=False)

    def __attrs_post_init__(self) -> None:
        """Starts without any work."""
        self._own = _Sums.make(self.options)
        self._all = _Sums.make(self.options)

    def on_asked(self, tenant: str, tokens: float, now_s: float) -> None:
        """Counts a call that a caller has made.

        Recent work counts under contention only: a tenant whose calls were all sent while there
        was capacity for them has taken nothing from the others.
        """
        is_contended = self._is_contended(now_s)
        for sums in (self._own, self._all):
            for name in (tenant, ALL_TENANTS):
                sums.usual.add(name, tokens, now_s)
                if is_contended:
                    sums.asked.add(name, tokens, now_s)

    def on_sent(self, tenant: str, tokens: float, now_s: float) -> None:
        """Counts a call that was sent to an engine."""
        if self._is_contended(now_s):
            for sums in (self._own, self._all):
                for name in (tenant, ALL_TENANTS):
                    sums.sent.add(name, tokens, now_s)

    def _is_contended(self, now_s: float) -> bool:
        """Tells whether this host, or another one, has just queued or refused calls."""
        return now_s - self._contended_s <= CONTENTION_S

    def usage_ratio(self, tenant: str, now_s: float) -> float:
        """Returns the tenant's recent work, divided by its fair share of all recent work."""
        sums = self._all
        sent_total = sums.sent.value(ALL_TENANTS, now_s)
        asked_total = sums.asked.value(ALL_TENANTS, now_s)
        asked = sums.asked.value(tenant, now_s)
        if sent_total < MIN_TOKENS or asked < MIN_TOKENS:
            return 1.0
        fraction = asked / asked_total
        # What was asked for before; not known after a start.
        usual_total = sums.usual.value(ALL_TENANTS, now_s) - asked_total
        if usual_total > self.options.min_history * asked_total:
            usual_fraction = (sums.usual.value(tenant, now_s) - asked) / usual_total
            # Of a tenant with few calls, nothing is usual.
            equal_fraction = 1.0 / max(1, len(sums.usual))
            growth = self.options.max_demand_growth
            fraction = min(fraction, max(growth * usual_fraction, equal_fraction))
        return sums.sent.value(tenant, now_s) / max(MIN_TOKENS, fraction * sent_total)

    def adjust(
        self,
        admission: Admission,
        call: RelayCall,
        placement: Placement,
        limits: AdmissionOptions,
        now_s: float,
    ) -> Admission:
        """Returns the decision on a call, with regard to its tenant.

        Args:
            admission: The decision without regard to it.
            call: The call.
            placement: Where it would run if sent now.
            limits: Limits of the admission.
            now_s: Present time.
        """
        if admission.action is not AdmissionAction.SEND:
            self._own_contended_s = self._contended_s = now_s
        has_idle_engine = placement.prefill_wait_s <= limits.idle_engine_wait_s
        if call.tenant is None or not self._is_contended(now_s) or has_idle_engine:
            return admission
        if admission.action is AdmissionAction.REFUSE or self._is_alone(call.tenant, now_s):
            return admission
        # A caller that retries at once has no promise of a place, and what is sent late keeps the
        # engines' queues so long that calls of other tenants are late as well.
        ratio = self.usage_ratio(call.tenant, now_s)
        unused_fraction = max(0.0, 1.0 - ratio / self.options.max_usage_ratio)
        limit_s = first_token_limit_s(call, limits, now_s)
        if placement.first_token_s <= unused_fraction * limit_s:
            return Admission(AdmissionAction.SEND)
        if can_wait(call, placement, limits, now_s):
            return Admission(AdmissionAction.QUEUE)
        return Admission(AdmissionAction.REFUSE, max(MIN_RETRY_AFTER_S, placement.prefill_wait_s))

    def _is_alone(self, tenant: str, now_s: float) -> bool:
        """Tells whether no other tenant asks for work, so that there is none to yield to."""
        asked_total = self._all.asked.value(ALL_TENANTS, now_s)
        return asked_total - self._all.asked.value(tenant, now_s) < MIN_TOKENS

    # Exchange with other hosts.

    def own_use(self, now_s: float) -> TenantUse:
        """Returns what this host reports to the others; drops what has decayed."""
        self.expire(now_s)
        for sums in (self._own, self._all):
            sums.drop_below(MIN_TOKENS, now_s)
        usual = self._own.usual.values(now_s)
        # A caller may have asked at another host before.
        work = Counter(usual) + Counter(self._own.sent.values(now_s))
        largest = [tenant for tenant, _ in work.most_common(MAX_REPORTED_TENANTS + 1)]
        return TenantUse(
            {tenant: self._own.sent.value(tenant, now_s) for tenant in largest},
            {tenant: self._own.asked.value(tenant, now_s) for tenant in largest},
            {tenant: usual.get(tenant, 0.0) for tenant in largest},
            now_s - self._own_contended_s <= CONTENTION_S,
        )

    def on_peer_use(self, host: str, use: TenantUse, now_s: float) -> None:
        """Replaces what another host has reported before; the sums of a lost host decay."""
        before = self._peers.get(host)
        self._peers[host] = _PeerUse(use, now_s)
        if use.is_contended:
            self._contended_s = now_s
        if before is not None:
            elapsed_s = now_s - before.received_s
            self._all.add_use(before.use, now_s, elapsed_s=elapsed_s, sign=-1.0)
        self._all.add_use(use, now_s, elapsed_s=0.0, sign=1.0)

    def expire(self, now_s: float) -> None:
        """Forgets hosts that have not reported for long; their sums have decayed by then."""
        for host, peer in list(self._peers.items()):
            if now_s - peer.received_s > self.options.usual_s:
                del self._peers[host]


@define
class _Sums:
    """Decayed sums of tokens by tenant."""

    sent: DecayedSums
    asked: DecayedSums
    usual: DecayedSums
    _options: FairnessOptions

    @classmethod
    def make(cls, options: FairnessOptions) -> "_Sums":
        """Returns empty sums."""
        recent_s, usual_s = options.recent_s, options.usual_s
        sums = (DecayedSums(recent_s), DecayedSums(recent_s), DecayedSums(usual_s))
        return cls(*sums, options)

    def add_use(self, use: TenantUse, now_s: float, *, elapsed_s: float, sign: float) -> None:
        """Adds what a host has reported, or removes it, decayed over the time since then."""
        recent_factor = sign * math.exp(-elapsed_s / self._options.recent_s)
        usual_factor = sign * math.exp(-elapsed_s / self._options.usual_s)
        for sums, amounts, factor in (
            (self.sent, use.sent, recent_factor),
            (self.asked, use.asked, recent_factor),
            (self.usual, use.usual, usual_factor),
        ):
            for tenant, tokens in amounts.items():
                sums.add(tenant, factor * tokens, now_s)

    def drop_below(self, tokens: float, now_s: float) -> None:
        """Forgets tenants whose sums have decayed."""
        for sums in (self.sent, self.asked, self.usual):
            sums.drop_below(tokens, now_s)
