"""Orders to engines to change their role: plans them, claims the authority, sends one at a time."""

import time
from collections.abc import Callable, Sequence
from typing import Final

import logbook
from attrs import define, field, frozen

from berylquay.decisions.attempt_outcomes import AttemptOutcome
from berylquay.decisions.backend_registry import BackendEntry, EntryState
from berylquay.decisions.order_claims import ClaimStep, ClaimTimes
from berylquay.decisions.role_split import (
    RoleSplitOptions,
    StabilisationWindow,
    lacks_decode_engines,
    plan_role_changes,
)
from berylquay.decisions.roles import RoleChange
from berylquay.decisions.route_table import RouteTable
from berylquay.decisions.server_instance import ServerInstance
from berylquay.net.http_client import STATUS_OK
from berylquay.net.persistent_http import RawRequest, RawResponseHead
from berylquay.platform.request_codec import (
    EngineOrder,
    decode_accepted_order_count,
    decode_started_unix_ms,
    encode_order_request,
    encode_report_request,
)
from berylquay.platform.store_client import StoreClient
from berylquay.platform.wire_names import TOPIC_AUTHORITY
from berylquay.relay.claimant import Claimant
from berylquay.relay.services import RelayServices
from berylquay.relay.upstream_request import UpstreamRequest

# Validity of a claim: enough for a report and an order to each engine of a small plan.
CLAIM_DURATION_S: Final = 2.0
# Time for which an order may be delayed in transit: the kernel sends it again for 2.5 s
# (TCP_USER_TIMEOUT_MS), also after its connection was closed. Added to the lease, it is the time
# after a claim's end in which no other holder may send orders.
ORDER_DELAY_S: Final = 2.6
# Interval between checks of the role plan.
PLAN_CHECK_INTERVAL_S: Final = 0.25
# Delay for each live host that sorts before this one by name, so that only one host acts.
HOST_STAGGER_S: Final = 2.0
# Time after which an order that brought no change is assumed to have had no effect. Until then an
# order without a response may still be carried out.
ORDER_EFFECT_TIMEOUT_S: Final = 14.0
# Engines of a pool per role change that may be pending at the same time while requests are served.
ENGINES_PER_CHANGE: Final = 16
# Timeout of a report request or an order.
ENGINE_REQUEST_TIMEOUT_S: Final = 1.0
STATUS_CONFLICT: Final = 409
# Most bytes kept of the response to a report request or an order, which holds a few numbers.
MAX_ENGINE_RESPONSE_BYTES: Final = 65536
_log = logbook.Logger("role-orders")


@frozen
class _PendingOrder:
    """An order that was sent and has not taken effect yet."""

    # The engine, which knows nothing of the order once it has started again.
    instance: ServerInstance
    change: RoleChange
    sent_s: float


@define
class EngineResponseCollector:
    """Collects the response to a report request or an order."""

    # Called with the status and the body; the status is 0 if there was no response.
    on_done: Callable[[int, bytes], None]
    body: bytearray = field(factory=bytearray)

    def on_upstream_head(self, upstream: UpstreamRequest, head: RawResponseHead) -> None:
        """Does nothing: the response is evaluated once it is complete."""

    def on_upstream_data(self, upstream: UpstreamRequest, data: bytes) -> None:
        """Appends to the body, up to the size limit."""
        self.body += data[: MAX_ENGINE_RESPONSE_BYTES - len(self.body)]

    def on_upstream_complete(self, upstream: UpstreamRequest) -> None:
        """Passes on the complete response."""
        self.on_done(0 if upstream.head is None else upstream.head.status, bytes(self.body))

    def on_upstream_failed(
        self, upstream: UpstreamRequest, outcome: AttemptOutcome, detail: str
    ) -> None:
        """Passes on the status if a head was received, otherwise 0, with an empty body."""
        _log.info("no answer", backend=upstream.backend.name, end=outcome.value, detail=detail)
        self.on_done(0 if upstream.head is None else upstream.head.status, b"")


class RoleController:
    """Keeps the engines' roles split as planned, on behalf of all hosts."""

    _services: RelayServices
    _claimant: Claimant
    _holder: str
    _options: RoleSplitOptions
    # Returns how many live hosts sort before this one by name.
    _host_rank: Callable[[], int]
    # Track how long the roles have deviated from the plan, by pool.
    _stabilisation_windows: dict[str, StabilisationWindow]
    # Orders that have not taken effect yet, by engine.
    _pending_orders: dict[str, _PendingOrder]
    # Report request or order in flight, or None.
    _engine_request: UpstreamRequest | None
    # Whether this host has served a request.
    has_served: bool
    _next_check_s: float

    def __init__(
        self,
        services: RelayServices,
        store_client: StoreClient,
        holder: str,
        *,
        lease_s: float,
        host_rank: Callable[[], int],
    ) -> None:
        self._services = services
        times = ClaimTimes(CLAIM_DURATION_S, lease_s + ORDER_DELAY_S)
        self._claimant = Claimant(TOPIC_AUTHORITY, holder, times, store_client, services.rng)
        self._holder = holder
        self._options = RoleSplitOptions()
        self._host_rank = host_rank
        self._stabilisation_windows = {}
        self._pending_orders = {}
        self._engine_request = None
        self.has_served = False
        self._next_check_s = float("-inf")

    def on_store_era(self, era: int) -> None:
        """Gives up a claim of a former era; orders sent under it may still be carried out."""
        self._claimant.on_store_era(era)

    def on_tick(self, table: RouteTable, now_s: float) -> None:
        """Checks the plan at intervals, and takes the next step of an order."""
        self._claimant.on_tick(now_s)
        if self._engine_request is not None:
            if (
                not self._engine_request.ended
                and now_s - self._engine_request.started_s > ENGINE_REQUEST_TIMEOUT_S
            ):
                upstream, self._engine_request = self._engine_request, None
                upstream.cancel()
                _log.info("engine did not answer in time", backend=upstream.backend.name)
            return
        if now_s < self._next_check_s:
            return
        self._next_check_s = now_s + PLAN_CHECK_INTERVAL_S
        self._drop_settled_orders(now_s)
        for name, pool in table.pools.items():
            if pool.engine_properties is not None:
                self._check_pool(name, now_s)

    def _check_pool(self, pool: str, now_s: float) -> None:
        engines = self._planned_engines(pool)
        streams = {e.name: self._services.backlog.streams(e.name, now_s) for e in engines}
        changes = plan_role_changes(engines, streams, self._options)
        window = self._stabilisation_windows.setdefault(pool, StabilisationWindow(self._options))
        at_start = not self.has_served
        urgent = lacks_decode_engines(engines, self._options)
        is_stable = window.is_stable(
            changes, len(engines), before_first_request=at_start, urgent=urgent, now_s=now_s
        )
        if not is_stable:
            return
        if now_s < window.stable_from_s + self._host_rank() * HOST_STAGGER_S:
            return
        if not at_start and len(self._pending_orders) > len(engines) // ENGINES_PER_CHANGE:
            return
        if self._advance_order(changes, now_s) and not at_start:
            window.on_change_ordered(changes[0].role)

    def _planned_engines(self, pool: str) -> list[BackendEntry]:
        """Returns the pool's ready engines, with the ordered role where an order is pending."""
        return [
            (
                entry
                if entry.name not in self._pending_orders
                else entry.with_role(self._pending_orders[entry.name].change.role)
            )
            for entry in self._services.registry.ready_in_pool(pool)
            if entry.role is not None
        ]

    def _drop_settled_orders(self, now_s: float) -> None:
        for name, pending in list(self._pending_orders.items()):
            entry = self._services.registry.get(name)
            took_effect = entry is None or entry.role is pending.change.role
            has_restarted = (
                entry is not None and entry.started_unix_ms > pending.instance.started_unix_ms
            )
            is_over = now_s - pending.sent_s > ORDER_EFFECT_TIMEOUT_S
            if took_effect or has_restarted or is_over:
                _log.info(
                    "order settled",
                    backend=name,
                    taken_effect=took_effect,
                    restarted=has_restarted,
                )
                del self._pending_orders[name]

    def _advance_order(self, changes: Sequence[RoleChange], now_s: float) -> bool:
        """Takes the next step towards an order; returns whether it has begun to order."""
        step = self._claimant.advance(b"", now_s)
        if step is ClaimStep.ORDER:
            self._begin_order(changes[0], now_s)
        return step is ClaimStep.ORDER

    def _begin_order(self, change: RoleChange, now_s: float) -> None:
        entry = self._services.registry.get(change.backend)
        if entry is None or entry.state is not EntryState.READY:
            return
        if not self._services.registry.notices.accepts_requests(entry.instance):
            return

        def on_report(status: int, body: bytes) -> None:
            self._engine_request = None
            accepted = decode_accepted_order_count(body) if status == STATUS_OK else None
            if accepted is None:
                _log.warning("no order: the engine's state is unknown", backend=entry.name)
                return
            # The entry may still be of the start before.
            started_unix_ms = decode_started_unix_ms(body) or entry.started_unix_ms
            instance = ServerInstance(entry.name, started_unix_ms)
            self._send_order(entry, change, accepted, instance)

        request = encode_report_request(entry.address, entry.name)
        self._engine_request = self._send_engine_request(entry, request, on_report, now_s)

    def _send_order(
        self,
        entry: BackendEntry,
        change: RoleChange,
        accepted_orders: int,
        instance: ServerInstance | None = None,
    ) -> None:
        term = self._claimant.fencing_number()
        if term is None:
            _log.info("no order: the claim has ended", backend=entry.name)
            return
        now_s = time.monotonic()
        order = EngineOrder(change.role, self._holder, term, accepted_orders)

        def on_answer(status: int, _body: bytes) -> None:
            self._engine_request = None
            _log.info("order answered", backend=entry.name, term=term, status=status)
            if status == STATUS_CONFLICT:
                # Not accepted: plan again without this order.
                self._pending_orders.pop(entry.name, None)

        def may_send() -> bool:
            # The connection may be established after the claim has ended: the host was frozen, or
            # cut off from the engine.
            is_valid = self._claimant.fencing_number() == term
            if not is_valid:
                _log.info("no order: the claim has ended", backend=entry.name)
                self._pending_orders.pop(entry.name, None)
            return is_valid

        self._pending_orders[entry.name] = _PendingOrder(instance or entry.instance, change, now_s)
        _log.info(
            "order",
            backend=entry.name,
            role=change.role.value,
            from_role=None if entry.role is None else entry.role.value,
            term=term,
            expected_orders=accepted_orders,
        )
        request = encode_order_request(entry.address, entry.name, order)
        self._engine_request = self._send_engine_request(entry, request, on_answer, now_s, may_send)

    def _send_engine_request(
        self,
        entry: BackendEntry,
        request: RawRequest,
        on_done: Callable[[int, bytes], None],
        now_s: float,
        may_send: Callable[[], bool] | None = None,
    ) -> UpstreamRequest:
        # An order by way of another host would look like that of a second holder.
        connection = self._services.acquire_connection(entry, True, now_s, may_use_gateway=False)
        return UpstreamRequest(
            EngineResponseCollector(on_done),
            entry,
            connection,
            request,
            call_id="",
            on_notice=self._services.on_server_notice,
            now_s=now_s,
            may_send=may_send,
        )
