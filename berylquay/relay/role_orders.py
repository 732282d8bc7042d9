"""Orders to engines to change their role: plans them, gets the authority, sends them one by one."""

import time
from collections.abc import Callable, Sequence
from typing import Final

import logbook
from attrs import define, field, frozen

from berylquay.decisions.attempt_outcomes import AttemptOutcome
from berylquay.decisions.backend_registry import BackendEntry, EntryState
from berylquay.decisions.order_claims import ClaimStep, ClaimTimes, OrderClaims
from berylquay.decisions.role_split import (
    RoleSplitOptions,
    StabilisationWindow,
    lacks_decode_engines,
    plan_role_changes,
)
from berylquay.decisions.roles import RoleChange
from berylquay.decisions.route_table import RouteTable
from berylquay.net.http_client import STATUS_OK
from berylquay.net.kept_http import RawHead, RawRequest
from berylquay.platform.names import TOPIC_AUTHORITY
from berylquay.platform.requests import (
    EngineOrder,
    decode_accepted_orders,
    encode_order,
    encode_report_request,
)
from berylquay.platform.store import Appended, RecordPage, StoreFailure, StoreLane
from berylquay.relay.follower import FAILURE_BACKOFF
from berylquay.relay.legs import Leg
from berylquay.relay.services import RelayServices

# Time for which a claim is good: a report and an order to each engine of a small plan.
CLAIM_TERM_S: Final = 2.0
# Time by which an order may be held up on its way beyond the time between two holders.
ORDER_DELAY_S: Final = 2.0
# Interval between looks at the plan.
LOOK_INTERVAL_S: Final = 0.25
# Time by which each further host in the order of names holds back, so that one acts.
HOLD_BACK_S: Final = 2.0
# Time after which an order that brought no change is taken to have had no effect; unanswered
# orders may be carried out until then.
ORDER_EFFECT_S: Final = 14.0
# Engines of a pool for each that may change its role at the same time while requests are served.
ENGINES_PER_CHANGE: Final = 16
# Time that a report or an order may take.
EXCHANGE_TIMEOUT_S: Final = 1.0
STATUS_CONFLICT: Final = 409
_log = logbook.Logger("role-orders")


@frozen
class _Ordered:
    """An order whose effect is awaited."""

    change: RoleChange
    sent_s: float


@define
class _Answer:
    """Collects the answer to a report or an order."""

    # Called with the status and the body; status 0 if there was no answer.
    on_done: Callable[[int, bytes], None]
    body: bytearray = field(factory=bytearray)

    def on_leg_head(self, leg: Leg, head: RawHead) -> None:
        """Waits for the end."""

    def on_leg_data(self, leg: Leg, data: bytes) -> None:
        """Collects the body."""
        self.body += data

    def on_leg_whole(self, leg: Leg) -> None:
        """Hands over the answer."""
        self.on_done(0 if leg.head is None else leg.head.status, bytes(self.body))

    def on_leg_failed(self, leg: Leg, end: AttemptOutcome, detail: str) -> None:
        """Hands over that there was none, or what the failure says."""
        _log.info("no answer", backend=leg.backend.name, end=end.value, detail=detail)
        self.on_done(0 if leg.head is None else leg.head.status, b"")


class RoleOrders:
    """Keeps the split of the engines' roles as planned, on behalf of all hosts."""

    _services: RelayServices
    _lane: StoreLane
    _claims: OrderClaims
    _holder: str
    _options: RoleSplitOptions
    # Returns how many live hosts come before this one in the order of names.
    _position: Callable[[], int]
    # Deviations that have lasted, by pool.
    _deviations: dict[str, StabilisationWindow]
    # Orders whose effect is awaited, by engine.
    _ordered: dict[str, _Ordered]
    # Exchange with an engine that is under way, and when it began.
    _leg: Leg | None
    # Whether this host has served a request.
    served: bool
    _next_look_s: float
    _next_claim_s: float
    _claim_failures: int

    def __init__(
        self,
        services: RelayServices,
        lane: StoreLane,
        holder: str,
        *,
        lease_s: float,
        position: Callable[[], int],
    ) -> None:
        self._services = services
        self._lane = lane
        self._claims = OrderClaims(ClaimTimes(CLAIM_TERM_S, lease_s + ORDER_DELAY_S), holder)
        self._holder = holder
        self._options = RoleSplitOptions()
        self._position = position
        self._deviations = {}
        self._ordered = {}
        self._leg = None
        self.served = False
        self._next_look_s = float("-inf")
        self._next_claim_s = float("-inf")
        self._claim_failures = 0

    def on_tick(self, table: RouteTable, now_s: float) -> None:
        """Looks at the plan now and then, and takes the next step of an order."""
        self._lane.on_tick(now_s)
        if self._leg is not None:
            if not self._leg.ended and now_s - self._leg.started_s > EXCHANGE_TIMEOUT_S:
                leg, self._leg = self._leg, None
                leg.cancel()
                _log.info("engine did not answer in time", backend=leg.backend.name)
            return
        if now_s < self._next_look_s:
            return
        self._next_look_s = now_s + LOOK_INTERVAL_S
        self._forget_settled(now_s)
        for name, pool in table.pools.items():
            if pool.engine_properties is not None:
                self._look_at_pool(name, now_s)

    def _look_at_pool(self, pool: str, now_s: float) -> None:
        engines = self._planned_engines(pool)
        streams = {e.name: self._services.backlog.streams(e.name, now_s) for e in engines}
        changes = plan_role_changes(engines, streams, self._options)
        deviation = self._deviations.setdefault(pool, StabilisationWindow(self._options))
        at_start = not self.served
        in_need = lacks_decode_engines(engines, self._options)
        lasting = deviation.is_stable(
            changes, len(engines), at_start=at_start, urgent=in_need, now_s=now_s
        )
        if not lasting:
            return
        if now_s < deviation.stable_from_s + self._position() * HOLD_BACK_S:
            return
        if not at_start and len(self._ordered) > len(engines) // ENGINES_PER_CHANGE:
            return
        if self._advance(changes, now_s) and not at_start:
            deviation.on_change_ordered(changes[0].role)

    def _planned_engines(self, pool: str) -> list[BackendEntry]:
        """Returns the pool's engines with the roles that they have or were ordered to take."""
        return [
            (
                entry
                if entry.name not in self._ordered
                else entry.with_role(self._ordered[entry.name].change.role)
            )
            for entry in self._services.registry.ready_in_pool(pool)
            if entry.role is not None
        ]

    def _forget_settled(self, now_s: float) -> None:
        for name, ordered in list(self._ordered.items()):
            entry = self._services.registry.get(name)
            settled = entry is None or entry.role is ordered.change.role
            if settled or now_s - ordered.sent_s > ORDER_EFFECT_S:
                _log.info("order settled", backend=name, taken_effect=settled)
                del self._ordered[name]

    def _advance(self, changes: Sequence[RoleChange], now_s: float) -> bool:
        """Takes the next step towards an order; tells whether it has begun one."""
        if self._lane.busy or now_s < self._next_claim_s:
            return False
        step = self._claims.next_step(claim_clock_s())
        if step is ClaimStep.READ:
            self._lane.read(TOPIC_AUTHORITY, self._claims.next_offset, 0.0, self._on_claims_read)
        elif step is ClaimStep.APPEND:
            self._claims.on_append_sent(claim_clock_s())
            self._lane.append(
                TOPIC_AUTHORITY,
                [self._holder.encode()],
                self._on_appended,
                at_offset=self._claims.next_offset,
            )
        elif step is ClaimStep.ORDER:
            self._begin_order(changes[0], now_s)
        return step is ClaimStep.ORDER

    def _on_claims_read(self, result: RecordPage | StoreFailure) -> None:
        if isinstance(result, RecordPage):
            holders = [content.decode("utf-8", "replace") for content in result.contents]
            at_end = result.next_offset >= result.end_offset
            self._claims.on_read(holders, result.next_offset, at_end, claim_clock_s())
        elif result.records_gone:
            self._claims.on_records_gone(result.first_offset, claim_clock_s())
        elif result.is_missing:
            # Nobody has claimed yet: the first append makes the topic.
            self._claims.on_read([], 0, True, claim_clock_s())
        else:
            self._on_claim_failure(result)

    def _on_appended(self, result: Appended | StoreFailure) -> None:
        if isinstance(result, Appended):
            self._claim_failures = 0
            self._claims.on_claimed(result.offset)
            _log.info("claimed", holder=self._holder, term=result.offset + 1)
            return
        self._claims.on_claim_failed()
        self._on_claim_failure(result)

    def _on_claim_failure(self, failure: StoreFailure) -> None:
        self._claim_failures += 1
        delay_s = FAILURE_BACKOFF.delay_s(self._claim_failures, self._services.rng)
        self._next_claim_s = time.monotonic() + delay_s
        _log.info(
            "not claimed",
            status=failure.status,
            detail=failure.detail,
            may_have_happened=failure.may_have_happened,
        )

    def _begin_order(self, change: RoleChange, now_s: float) -> None:
        entry = self._services.registry.get(change.backend)
        if entry is None or entry.state is not EntryState.READY:
            return

        def on_report(status: int, body: bytes) -> None:
            self._leg = None
            accepted = decode_accepted_orders(body) if status == STATUS_OK else None
            if accepted is None:
                _log.warning("no order: the engine's state is unknown", backend=entry.name)
                return
            self._send_order(entry, change, accepted)

        request = encode_report_request(entry.address, entry.name)
        self._leg = self._open_leg(entry, request, on_report, now_s)

    def _send_order(self, entry: BackendEntry, change: RoleChange, accepted: int) -> None:
        term = self._claims.fencing_number(claim_clock_s())
        if term is None:
            _log.info("no order: the claim has ended", backend=entry.name)
            return
        now_s = time.monotonic()
        order = EngineOrder(change.role, self._holder, term, accepted)

        def on_answer(status: int, _body: bytes) -> None:
            self._leg = None
            _log.info("order answered", backend=entry.name, term=term, status=status)
            if status == STATUS_CONFLICT:
                # Not accepted: look at the plan again.
                self._ordered.pop(entry.name, None)

        self._ordered[entry.name] = _Ordered(change, now_s)
        _log.info(
            "order",
            backend=entry.name,
            role=change.role.value,
            from_role=None if entry.role is None else entry.role.value,
            term=term,
            expected_orders=accepted,
        )
        request = encode_order(entry.address, entry.name, order)
        self._leg = self._open_leg(entry, request, on_answer, now_s)

    def _open_leg(
        self,
        entry: BackendEntry,
        request: RawRequest,
        on_done: Callable[[int, bytes], None],
        now_s: float,
    ) -> Leg:
        connection = self._services.connections.take(entry, True, now_s)
        return Leg(_Answer(on_done), entry, connection, request, call_id="", now_s=now_s)


def claim_clock_s() -> float:
    """Returns a steady clock that also counts time for which the host was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
