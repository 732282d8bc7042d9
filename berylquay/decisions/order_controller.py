"""Sends orders to the engines of one data centre: one in flight per engine, each after a drain.

This state machine takes events with the present time and returns commands. An engine's state is
unknown until two reads of it agree and show no order in progress. An order is sent only when every
entry host has acknowledged the drain and has no attempt in flight on the engine. The outcome of an
order whose response was lost is taken from the engine's state, never assumed.
"""

from collections import Counter, defaultdict
from collections.abc import Sequence
from typing import Final

from attrs import define, field

from berylquay.decisions.controller_lease import Authority
from berylquay.decisions.deployment import Configuration
from berylquay.decisions.engine_changes import (
    PoolEngines,
    can_take_out_of_service,
    derive_change,
    find_pool,
)
from berylquay.decisions.engine_orders import (
    EngineChange,
    EngineState,
    Order,
    OrderSendOutcome,
)
from berylquay.decisions.fleet import BackendKind, BackendServer, MembershipView
from berylquay.decisions.order_commands import (
    ChangeEnded,
    DrainNoticeWanted,
    EnginePhase,
    OrderCommand,
    OrderLimits,
    OrderSendWanted,
    StateReadWanted,
)
from berylquay.decisions.roles import RoleChange
from berylquay.peers.payloads import DrainAcknowledgement, DrainNotice


@define
class _Drain:
    started_s: float
    next_notice_s: float
    # Time just before each notice was sent, by the notice's number.
    notice_sent_s: dict[int, float] = field(factory=dict)
    # Time just before the acknowledged notice was sent, and attempts in flight, by host.
    acknowledgements: dict[str, tuple[float, int]] = field(factory=dict)


@define
class _ManagedEngine:
    server: BackendServer
    phase: EnginePhase = EnginePhase.UNKNOWN
    state: EngineState | None = None
    # Time just before the first of the latest equal state reads, or None if there is none.
    stable_since_s: float | None = None
    next_read_s: float = float("-inf")
    # State reads requested before this time are ignored: an order may still take effect after them.
    ignore_reads_before_s: float = float("-inf")
    change_deferred_until_s: float = float("-inf")
    change: EngineChange | None = None
    drain: _Drain | None = None
    order: Order | None = None


NO_READ_SCHEDULED_S: Final = float("inf")


class OrderController:
    """Decides which orders to send to the engines of one data centre, and when."""

    _data_centre: str
    # Name of this host.
    _host: str
    _limits: OrderLimits
    _configuration: Configuration
    # Entry hosts that must acknowledge a drain.
    _hosts: tuple[str, ...]
    _engines: dict[str, _ManagedEngine]
    # Role changes that were requested and not begun, by backend server.
    _requested_role_changes: dict[str, RoleChange]
    _authority: Authority | None
    # Numbers of notices and orders created so far, used for their ids.
    _notice_count: int
    _order_count: int

    def __init__(self, data_centre: str, host: str, limits: OrderLimits) -> None:
        self._data_centre = data_centre
        self._host = host
        self._limits = limits
        self._configuration = Configuration()
        self._hosts = ()
        self._engines = {}
        self._requested_role_changes = {}
        self._authority = None
        self._notice_count = 0
        self._order_count = 0

    def phase_of(self, backend: str) -> EnginePhase | None:
        """Returns the engine's phase, or None if it is not in the membership list."""
        engine = self._engines.get(backend)
        return None if engine is None else engine.phase

    @property
    def has_order_in_flight(self) -> bool:
        """Returns whether the outcome of any order is still unknown."""
        return any(engine.phase is EnginePhase.ORDER_IN_FLIGHT for engine in self._engines.values())

    def on_membership(self, view: MembershipView) -> None:
        """Replaces the membership list; engines that are no longer in it are dropped."""
        self._hosts = tuple(host.name for host in view.hosts)
        servers = {
            server.name: server
            for server in view.backends
            if server.kind is BackendKind.ENGINE and server.data_centre == self._data_centre
        }
        for name in set(self._engines) - set(servers):
            del self._engines[name]
        for name, server in servers.items():
            self._engines.setdefault(name, _ManagedEngine(server)).server = server

    def on_configuration(self, configuration: Configuration) -> None:
        """Replaces the configuration."""
        self._configuration = configuration

    def on_role_change_requested(self, change: RoleChange) -> None:
        """Stores a role change that the planner requests; it replaces the engine's earlier one."""
        self._requested_role_changes[change.backend] = change

    def on_authority(self, authority: Authority | None, now_s: float) -> Sequence[OrderCommand]:
        """Sets this process's authority, or None if it has none.

        When the authority begins, ends or changes its term, changes in progress are dropped and
        every engine becomes unknown.
        """
        previous = self._authority
        self._authority = authority
        is_same_term = (
            previous is not None and authority is not None and previous.term == authority.term
        )
        if is_same_term or previous is authority:
            return []
        term = previous.term if previous is not None else 0
        commands: list[OrderCommand] = []
        for engine in self._engines.values():
            if engine.order is None:
                # With an order in flight the drain must last until it expires on the hosts.
                commands += self._end_drain(engine, term)
            self._reset_to_unknown(engine, now_s)
        if authority is None:
            self._requested_role_changes.clear()
        return commands

    def on_drain_acknowledgement(self, host: str, message: DrainAcknowledgement) -> None:
        """Records a host's acknowledgement of a drain notice under the present term."""
        engine = self._engines.get(message.backend)
        if engine is None or engine.drain is None or self._authority is None:
            return
        sent_s = engine.drain.notice_sent_s.get(message.notice)
        if sent_s is not None and message.term == self._authority.term:
            engine.drain.acknowledgements[host] = (sent_s, message.in_flight)

    def on_host_disconnected(self, host: str) -> None:
        """Drops the acknowledgements of a host whose link went down.

        The host may have restarted, and its new process does not know the drains.
        """
        for engine in self._engines.values():
            if engine.drain is not None:
                engine.drain.acknowledgements.pop(host, None)

    def on_engine_state(
        self, backend: str, state: EngineState | None, requested_s: float, now_s: float
    ) -> Sequence[OrderCommand]:
        """Handles the state read from an engine, or None if the read failed."""
        engine = self._engines.get(backend)
        if engine is None or self._authority is None:
            return []
        if engine.phase is EnginePhase.UNKNOWN:
            self._confirm_unknown_state(engine, state, requested_s)
            return []
        if state is None:
            return []
        if engine.phase is EnginePhase.IDLE:
            return self._check_idle_state(engine, state, now_s)
        if engine.phase is EnginePhase.DRAINING:
            return self._send_order_if_drained(engine, state, now_s)
        return self._check_order_outcome(engine, state, requested_s, now_s)

    def on_send_outcome(
        self, order_id: str, outcome: OrderSendOutcome, now_s: float
    ) -> Sequence[OrderCommand]:
        """Handles the sender's outcome of an order."""
        engine = next(
            (
                engine
                for engine in self._engines.values()
                if engine.order is not None and engine.order.order_id == order_id
            ),
            None,
        )
        if engine is None or engine.phase is not EnginePhase.ORDER_IN_FLIGHT:
            return []
        engine.next_read_s = now_s
        if outcome is OrderSendOutcome.REFUSED:
            return self._end_change(engine, False, "the engine refused the order", now_s)
        if outcome is OrderSendOutcome.NOT_SENT:
            return self._end_change(engine, False, "the order was not sent", now_s)
        return []

    def on_tick(self, now_s: float) -> Sequence[OrderCommand]:
        """Returns the commands that are due: begins changes, continues drains, reads states."""
        if self._authority is None or now_s >= self._authority.expires_s:
            return []
        commands: list[OrderCommand] = []
        engines_by_model = self._count_engines_by_model()
        for engine in self._engines.values():
            if engine.phase is EnginePhase.DRAINING:
                commands += self._continue_drain(engine, now_s)
            if engine.phase is EnginePhase.IDLE and now_s >= engine.change_deferred_until_s:
                commands += self._begin_change(engine, engines_by_model[engine.server.pool], now_s)
            if now_s >= engine.next_read_s:
                engine.next_read_s = now_s + self._read_interval_s(engine)
                commands.append(StateReadWanted(engine.server.name, engine.server.address))
        return commands

    def _read_interval_s(self, engine: _ManagedEngine) -> float:
        if engine.phase is EnginePhase.IDLE:
            spread_s = len(self._engines) / self._limits.idle_reads_per_s
            return max(self._limits.idle_read_interval_s, spread_s)
        if engine.phase is EnginePhase.DRAINING:
            return NO_READ_SCHEDULED_S
        return self._limits.busy_read_interval_s

    def _reset_to_unknown(self, engine: _ManagedEngine, now_s: float) -> None:
        if engine.order is not None:
            last_effect_s = engine.order.expires_s + self._limits.order_margin_s
            engine.ignore_reads_before_s = max(engine.ignore_reads_before_s, last_effect_s)
        engine.phase = EnginePhase.UNKNOWN
        engine.state = None
        engine.stable_since_s = None
        engine.next_read_s = now_s
        engine.change = None
        engine.drain = None
        engine.order = None

    def _confirm_unknown_state(
        self, engine: _ManagedEngine, state: EngineState | None, requested_s: float
    ) -> None:
        is_usable = state is not None and not state.order_in_progress
        if not is_usable or requested_s < engine.ignore_reads_before_s:
            engine.stable_since_s = None
            return
        is_unchanged = (
            engine.state is not None and state is not None and _is_unchanged(engine.state, state)
        )
        engine.state = state
        if engine.stable_since_s is None or not is_unchanged:
            engine.stable_since_s = requested_s
        elif requested_s >= engine.stable_since_s + self._limits.state_confirmation_s:
            engine.phase = EnginePhase.IDLE

    def _check_idle_state(
        self, engine: _ManagedEngine, state: EngineState, now_s: float
    ) -> list[OrderCommand]:
        if (
            state.order_in_progress
            or engine.state is None
            or not _is_unchanged(engine.state, state)
        ):
            # The engine restarted, or another controller sent it an order.
            self._reset_to_unknown(engine, now_s)
        return []

    def _begin_change(
        self, engine: _ManagedEngine, engines_by_model: Counter[str], now_s: float
    ) -> list[OrderCommand]:
        change = self._next_change(engine, engines_by_model)
        if change is None or self._count_changing_engines() >= self._limits.max_concurrent_changes:
            return []
        if not self._can_take_out_of_service(engine):
            return []
        self._requested_role_changes.pop(engine.server.name, None)
        engine.change = change
        engine.phase = EnginePhase.DRAINING
        engine.next_read_s = NO_READ_SCHEDULED_S
        engine.drain = _Drain(started_s=now_s, next_notice_s=now_s)
        return self._continue_drain(engine, now_s)

    def _count_changing_engines(self) -> int:
        return sum(1 for engine in self._engines.values() if _is_changing(engine))

    def _count_engines_by_model(self) -> defaultdict[str, Counter[str]]:
        """Returns the number of engines by model, for each pool."""
        engines_by_model: defaultdict[str, Counter[str]] = defaultdict(Counter)
        for engine in self._engines.values():
            if engine.state is not None:
                engines_by_model[engine.server.pool][engine.state.model.partition("@")[0]] += 1
        return engines_by_model

    def _next_change(
        self, engine: _ManagedEngine, engines_by_model: Counter[str]
    ) -> EngineChange | None:
        if engine.state is None:
            return None
        derived = derive_change(engine.server, engine.state, self._configuration, engines_by_model)
        if derived is not None:
            return derived
        requested = self._requested_role_changes.get(engine.server.name)
        if requested is not None and requested.role is engine.state.role:
            del self._requested_role_changes[engine.server.name]
            return None
        return requested

    def _can_take_out_of_service(self, engine: _ManagedEngine) -> bool:
        pool = [e for e in self._engines.values() if e.server.pool == engine.server.pool]
        serving = {
            other.server.name: other.state.role
            for other in pool
            if other.state is not None and other.phase is EnginePhase.IDLE
        }
        changing = [other.server.name for other in pool if _is_changing(other)]
        deployment_and_pool = find_pool(self._configuration, engine.server.pool)
        min_per_role = deployment_and_pool[1].min_per_role if deployment_and_pool is not None else 0
        engines = PoolEngines(len(pool), serving, changing)
        return can_take_out_of_service(engine.server.name, engines, min_per_role)

    def _continue_drain(self, engine: _ManagedEngine, now_s: float) -> list[OrderCommand]:
        drain = engine.drain
        if drain is None:
            return []
        if now_s >= drain.started_s + self._limits.drain_timeout_s:
            return self._end_change(engine, False, self._drain_blocker(drain, now_s), now_s)
        commands: list[OrderCommand] = []
        if now_s >= drain.next_notice_s:
            commands.append(self._next_notice(engine, drain, now_s))
        if engine.next_read_s == NO_READ_SCHEDULED_S and not self._drain_blocker(drain, now_s):
            # All hosts drain the engine; its own state decides whether the order may be sent.
            engine.next_read_s = now_s
        return commands

    def _next_notice(
        self, engine: _ManagedEngine, drain: _Drain, now_s: float
    ) -> DrainNoticeWanted:
        self._notice_count += 1
        drain.next_notice_s = now_s + self._limits.notice_interval_s
        drain.notice_sent_s[self._notice_count] = now_s
        notice = DrainNotice(engine.server.name, True, self._current_term(), self._notice_count)
        return DrainNoticeWanted(notice, self._hosts)

    def _drain_blocker(self, drain: _Drain, now_s: float) -> str:
        """Returns why the drain is not complete, or an empty string if it is."""
        if self._host not in self._hosts:
            return "this host is not in the membership list"
        last_effect_s = now_s + self._limits.order_lifetime_s + self._limits.order_margin_s
        for host in self._hosts:
            sent_s, in_flight = drain.acknowledgements.get(host, (float("-inf"), 0))
            if in_flight:
                return f"{host} has {in_flight} attempts in flight"
            if sent_s + self._limits.drain_validity_s < last_effect_s:
                return f"{host} has not acknowledged the drain"
        return ""

    def _send_order_if_drained(
        self, engine: _ManagedEngine, state: EngineState, now_s: float
    ) -> list[OrderCommand]:
        drain, change, authority = engine.drain, engine.change, self._authority
        if drain is None or change is None or authority is None or engine.state is None:
            return []
        if state.order_in_progress or state.incarnation != engine.state.incarnation:
            return self._end_change(engine, False, "the engine changed by itself", now_s)
        lease_left_s = authority.expires_s - now_s
        ready = state.running_requests == 0 and lease_left_s >= self._limits.min_remaining_lease_s
        if not ready or self._drain_blocker(drain, now_s):
            engine.next_read_s = NO_READ_SCHEDULED_S
            return []
        self._order_count += 1
        order = Order(
            order_id=f"{self._data_centre}-{authority.term}-{self._order_count}",
            term=authority.term,
            change=change,
            address=engine.server.address,
            expires_s=min(authority.expires_s, now_s + self._limits.order_lifetime_s),
        )
        engine.order = order
        engine.state = state
        engine.phase = EnginePhase.ORDER_IN_FLIGHT
        engine.next_read_s = now_s + self._limits.busy_read_interval_s
        return [OrderSendWanted(order)]

    def _check_order_outcome(
        self, engine: _ManagedEngine, state: EngineState, requested_s: float, now_s: float
    ) -> list[OrderCommand]:
        order = engine.order
        if order is None or engine.state is None or state.order_in_progress:
            return []
        if state.last_order == order.order_id:
            return self._end_change(engine, True, "done", now_s)
        if requested_s < order.expires_s + self._limits.order_margin_s:
            return []
        return self._end_change(engine, False, "the engine does not know the order", now_s)

    def _end_change(
        self, engine: _ManagedEngine, succeeded: bool, detail: str, now_s: float
    ) -> list[OrderCommand]:
        change = engine.change
        commands = self._end_drain(engine, self._current_term())
        if not succeeded:
            engine.change_deferred_until_s = now_s + self._limits.change_retry_delay_s
        self._reset_to_unknown(engine, now_s)
        if succeeded:
            # The engine reported the order as completed, so no part of it is still in flight.
            engine.ignore_reads_before_s = float("-inf")
        if change is not None:
            commands.append(ChangeEnded(change, succeeded, detail))
        return commands

    def _end_drain(self, engine: _ManagedEngine, term: int) -> list[OrderCommand]:
        if engine.drain is None:
            return []
        self._notice_count += 1
        notice = DrainNotice(engine.server.name, False, term, self._notice_count)
        return [DrainNoticeWanted(notice, self._hosts)]

    def _current_term(self) -> int:
        return self._authority.term if self._authority is not None else 0


def _is_unchanged(first: EngineState, second: EngineState) -> bool:
    """Returns whether the engine neither restarted nor took an order between two state reads."""
    return (first.incarnation, first.last_order, first.role, first.model, first.adapters) == (
        second.incarnation,
        second.last_order,
        second.role,
        second.model,
        second.adapters,
    )


def _is_changing(engine: _ManagedEngine) -> bool:
    return engine.phase in (EnginePhase.DRAINING, EnginePhase.ORDER_IN_FLIGHT)
