"""Orders of the controller of one data centre: one in flight per engine, each behind a drain.

This state machine takes messages with the present time and returns commands. An engine is unknown
until it was read twice without an order under way; a change waits until every entry host has
promised to send the engine nothing and has nothing in flight on it; an order whose answer was lost
is settled by the engine's state, never by a guess.
"""

from collections import Counter, defaultdict
from collections.abc import Sequence
from typing import Final

from attrs import define, field

from berylquay.decisions.deployment import Configuration
from berylquay.decisions.engine_changes import (
    PoolEngines,
    derive_change,
    find_pool,
    may_take_away,
)
from berylquay.decisions.engine_orders import (
    Change,
    EngineState,
    Order,
    SendOutcome,
)
from berylquay.decisions.fleet import BackendKind, BackendServer, MembershipView
from berylquay.decisions.lease import Authority
from berylquay.decisions.order_commands import (
    ChangeEnded,
    Command,
    DrainAnnounced,
    OrderLimits,
    OrderSendWanted,
    Phase,
    StateReadWanted,
)
from berylquay.decisions.roles import RoleChange
from berylquay.peers.payloads import DrainAcknowledgement, DrainNotice


@define
class _Drain:
    began_s: float
    next_notice_s: float
    # Time before each notice by its number.
    notices: dict[int, float] = field(factory=dict)
    # Time before the acknowledged notice, and attempts in flight, by host.
    acknowledged: dict[str, tuple[float, int]] = field(factory=dict)


@define
class _Engine:
    server: BackendServer
    phase: Phase = Phase.UNKNOWN
    state: EngineState | None = None
    # Time before the first of equal readings.
    settled_from_s: float | None = None
    next_read_s: float = float("-inf")
    # Readings that were sent before this time say nothing about an order.
    blocked_until_s: float = float("-inf")
    put_off_until_s: float = float("-inf")
    change: Change | None = None
    drain: _Drain | None = None
    order: Order | None = None


NO_READING_AFTER_S: Final = float("inf")


class OrderKeeper:
    """Decides on every order of one data centre."""

    _data_centre: str
    # Name of the host that this runs on.
    _host: str
    _limits: OrderLimits
    _configuration: Configuration
    # Entry hosts that must acknowledge a drain.
    _hosts: tuple[str, ...]
    _engines: dict[str, _Engine]
    # Role changes that were asked for and not begun, by backend server.
    _wanted: dict[str, RoleChange]
    _authority: Authority | None
    # Number of notices and orders so far, for their ids.
    _notices: int
    _orders: int

    def __init__(self, data_centre: str, host: str, limits: OrderLimits) -> None:
        self._data_centre = data_centre
        self._host = host
        self._limits = limits
        self._configuration = Configuration()
        self._hosts = ()
        self._engines = {}
        self._wanted = {}
        self._authority = None
        self._notices = 0
        self._orders = 0

    def phase_of(self, backend: str) -> Phase | None:
        """Returns where the engine stands, or None if it is not in the list."""
        engine = self._engines.get(backend)
        return None if engine is None else engine.phase

    @property
    def has_order_under_way(self) -> bool:
        """Tells whether the end of any order was not seen."""
        return any(engine.phase is Phase.ORDERED for engine in self._engines.values())

    def on_membership(self, view: MembershipView) -> None:
        """Takes a newer membership list."""
        self._hosts = tuple(host.name for host in view.hosts)
        servers = {
            server.name: server
            for server in view.backends
            if server.kind is BackendKind.ENGINE and server.data_centre == self._data_centre
        }
        for name in set(self._engines) - set(servers):
            del self._engines[name]
        for name, server in servers.items():
            self._engines.setdefault(name, _Engine(server)).server = server

    def on_configuration(self, configuration: Configuration) -> None:
        """Takes a newer configuration."""
        self._configuration = configuration

    def on_change_wanted(self, change: RoleChange) -> None:
        """Takes a role change that the planner asks for; it replaces an earlier one."""
        self._wanted[change.backend] = change

    def on_authority(self, authority: Authority | None, now_s: float) -> Sequence[Command]:
        """Takes the authority as it is now; what was under way without it becomes unknown."""
        before = self._authority
        self._authority = authority
        same = before is not None and authority is not None and before.term == authority.term
        if same or before is authority:
            return []
        term = before.term if before is not None else 0
        commands: list[Command] = []
        for engine in self._engines.values():
            if engine.order is None:
                # With an order on its way the hosts' promises run out by themselves.
                commands += self._end_drain(engine, term)
            self._make_unknown(engine, now_s)
        if authority is None:
            self._wanted.clear()
        return commands

    def on_acknowledgement(self, host: str, message: DrainAcknowledgement) -> None:
        """Takes a host's answer to a notice."""
        engine = self._engines.get(message.backend)
        if engine is None or engine.drain is None or self._authority is None:
            return
        sent_s = engine.drain.notices.get(message.notice)
        if sent_s is not None and message.term == self._authority.term:
            engine.drain.acknowledged[host] = (sent_s, message.in_flight)

    def on_host_lost(self, host: str) -> None:
        """Forgets the promises of a host whose link went down; its next process knows none."""
        for engine in self._engines.values():
            if engine.drain is not None:
                engine.drain.acknowledged.pop(host, None)

    def on_state(
        self, backend: str, state: EngineState | None, asked_s: float, now_s: float
    ) -> Sequence[Command]:
        """Takes a reading of an engine, or None if it could not be read."""
        engine = self._engines.get(backend)
        if engine is None or self._authority is None:
            return []
        if engine.phase is Phase.UNKNOWN:
            self._settle(engine, state, asked_s)
            return []
        if state is None:
            return []
        if engine.phase is Phase.IDLE:
            return self._check_idle(engine, state, now_s)
        if engine.phase is Phase.DRAINING:
            return self._order_if_empty(engine, state, now_s)
        return self._check_ordered(engine, state, asked_s, now_s)

    def on_outcome(self, order_id: str, outcome: SendOutcome, now_s: float) -> Sequence[Command]:
        """Takes what the sender says of an order."""
        engine = next(
            (
                engine
                for engine in self._engines.values()
                if engine.order is not None and engine.order.order_id == order_id
            ),
            None,
        )
        if engine is None or engine.phase is not Phase.ORDERED:
            return []
        engine.next_read_s = now_s
        if outcome is SendOutcome.REFUSED:
            return self._end_change(engine, False, "the engine refused the order", now_s)
        if outcome is SendOutcome.NOT_SENT:
            return self._end_change(engine, False, "the order was not sent", now_s)
        return []

    def on_tick(self, now_s: float) -> Sequence[Command]:
        """Begins what may begin and goes on with what is under way."""
        if self._authority is None or now_s >= self._authority.until_s:
            return []
        commands: list[Command] = []
        models_run = self._count_models()
        for engine in self._engines.values():
            if engine.phase is Phase.DRAINING:
                commands += self._go_on_draining(engine, now_s)
            if engine.phase is Phase.IDLE and now_s >= engine.put_off_until_s:
                commands += self._begin_change(engine, models_run[engine.server.pool], now_s)
            if now_s >= engine.next_read_s:
                engine.next_read_s = now_s + self._read_interval_s(engine)
                commands.append(StateReadWanted(engine.server.name, engine.server.address))
        return commands

    def _read_interval_s(self, engine: _Engine) -> float:
        if engine.phase is Phase.IDLE:
            spread_s = len(self._engines) / self._limits.idle_reads_per_s
            return max(self._limits.idle_read_interval_s, spread_s)
        if engine.phase is Phase.DRAINING:
            return NO_READING_AFTER_S
        return self._limits.busy_read_interval_s

    def _make_unknown(self, engine: _Engine, now_s: float) -> None:
        if engine.order is not None:
            late_s = engine.order.expires_s + self._limits.order_margin_s
            engine.blocked_until_s = max(engine.blocked_until_s, late_s)
        engine.phase = Phase.UNKNOWN
        engine.state = None
        engine.settled_from_s = None
        engine.next_read_s = now_s
        engine.change = None
        engine.drain = None
        engine.order = None

    def _settle(self, engine: _Engine, state: EngineState | None, asked_s: float) -> None:
        usable = state is not None and not state.order_under_way
        if not usable or asked_s < engine.blocked_until_s:
            engine.settled_from_s = None
            return
        same = engine.state is not None and state is not None and _alike(engine.state, state)
        engine.state = state
        if engine.settled_from_s is None or not same:
            engine.settled_from_s = asked_s
        elif asked_s >= engine.settled_from_s + self._limits.settle_s:
            engine.phase = Phase.IDLE

    def _check_idle(self, engine: _Engine, state: EngineState, now_s: float) -> list[Command]:
        if state.order_under_way or engine.state is None or not _alike(engine.state, state):
            # The engine crashed, or somebody else gave it an order.
            self._make_unknown(engine, now_s)
        return []

    def _begin_change(
        self, engine: _Engine, models_run: Counter[str], now_s: float
    ) -> list[Command]:
        change = self._wanted_change(engine, models_run)
        if change is None or self._changes() >= self._limits.max_changes:
            return []
        if not self._may_take_away(engine):
            return []
        self._wanted.pop(engine.server.name, None)
        engine.change = change
        engine.phase = Phase.DRAINING
        engine.next_read_s = NO_READING_AFTER_S
        engine.drain = _Drain(began_s=now_s, next_notice_s=now_s)
        return self._go_on_draining(engine, now_s)

    def _changes(self) -> int:
        return sum(1 for engine in self._engines.values() if _is_changing(engine))

    def _count_models(self) -> defaultdict[str, Counter[str]]:
        """Returns the number of engines by model, for each pool."""
        models_run: defaultdict[str, Counter[str]] = defaultdict(Counter)
        for engine in self._engines.values():
            if engine.state is not None:
                models_run[engine.server.pool][engine.state.model.partition("@")[0]] += 1
        return models_run

    def _wanted_change(self, engine: _Engine, models_run: Counter[str]) -> Change | None:
        if engine.state is None:
            return None
        derived = derive_change(engine.server, engine.state, self._configuration, models_run)
        if derived is not None:
            return derived
        wanted = self._wanted.get(engine.server.name)
        if wanted is not None and wanted.role is engine.state.role:
            del self._wanted[engine.server.name]
            return None
        return wanted

    def _may_take_away(self, engine: _Engine) -> bool:
        pool = [e for e in self._engines.values() if e.server.pool == engine.server.pool]
        serving = {
            other.server.name: other.state.role
            for other in pool
            if other.state is not None and other.phase is Phase.IDLE
        }
        changing = [other.server.name for other in pool if _is_changing(other)]
        found = find_pool(self._configuration, engine.server.pool)
        min_per_role = found[1].min_per_role if found is not None else 0
        engines = PoolEngines(len(pool), serving, changing)
        return may_take_away(engine.server.name, engines, min_per_role)

    def _go_on_draining(self, engine: _Engine, now_s: float) -> list[Command]:
        drain = engine.drain
        if drain is None:
            return []
        if now_s >= drain.began_s + self._limits.drain_timeout_s:
            return self._end_change(engine, False, self._obstacle(drain, now_s), now_s)
        commands: list[Command] = []
        if now_s >= drain.next_notice_s:
            commands.append(self._next_notice(engine, drain, now_s))
        if engine.next_read_s == NO_READING_AFTER_S and not self._obstacle(drain, now_s):
            # Every host keeps its work away; the engine itself has the last word.
            engine.next_read_s = now_s
        return commands

    def _next_notice(self, engine: _Engine, drain: _Drain, now_s: float) -> DrainAnnounced:
        self._notices += 1
        drain.next_notice_s = now_s + self._limits.notice_interval_s
        drain.notices[self._notices] = now_s
        notice = DrainNotice(engine.server.name, True, self._term(), self._notices)
        return DrainAnnounced(notice, self._hosts)

    def _obstacle(self, drain: _Drain, now_s: float) -> str:
        """Returns what the drain still waits for, or an empty text."""
        if self._host not in self._hosts:
            return "this host is not in the membership list"
        last_effect_s = now_s + self._limits.order_lifetime_s + self._limits.order_margin_s
        for host in self._hosts:
            sent_s, in_flight = drain.acknowledged.get(host, (float("-inf"), 0))
            if in_flight:
                return f"{host} has {in_flight} attempts in flight"
            if sent_s + self._limits.drain_hold_s < last_effect_s:
                return f"{host} has not acknowledged the drain"
        return ""

    def _order_if_empty(self, engine: _Engine, state: EngineState, now_s: float) -> list[Command]:
        drain, change, authority = engine.drain, engine.change, self._authority
        if drain is None or change is None or authority is None or engine.state is None:
            return []
        if state.order_under_way or state.incarnation != engine.state.incarnation:
            return self._end_change(engine, False, "the engine changed by itself", now_s)
        lease_left_s = authority.until_s - now_s
        ready = state.running == 0 and lease_left_s >= self._limits.min_lease_left_s
        if not ready or self._obstacle(drain, now_s):
            engine.next_read_s = NO_READING_AFTER_S
            return []
        self._orders += 1
        order = Order(
            order_id=f"{self._data_centre}-{authority.term}-{self._orders}",
            term=authority.term,
            change=change,
            address=engine.server.address,
            expires_s=min(authority.until_s, now_s + self._limits.order_lifetime_s),
        )
        engine.order = order
        engine.state = state
        engine.phase = Phase.ORDERED
        engine.next_read_s = now_s + self._limits.busy_read_interval_s
        return [OrderSendWanted(order)]

    def _check_ordered(
        self, engine: _Engine, state: EngineState, asked_s: float, now_s: float
    ) -> list[Command]:
        order = engine.order
        if order is None or engine.state is None or state.order_under_way:
            return []
        if state.last_order == order.order_id:
            return self._end_change(engine, True, "done", now_s)
        if asked_s < order.expires_s + self._limits.order_margin_s:
            return []
        return self._end_change(engine, False, "the engine does not know the order", now_s)

    def _end_change(self, engine: _Engine, made: bool, detail: str, now_s: float) -> list[Command]:
        change = engine.change
        commands = self._end_drain(engine, self._term())
        if not made:
            engine.put_off_until_s = now_s + self._limits.put_off_s
        self._make_unknown(engine, now_s)
        if made:
            # The engine said itself that the order is over, so nothing of it is on its way.
            engine.blocked_until_s = float("-inf")
        if change is not None:
            commands.append(ChangeEnded(change, made, detail))
        return commands

    def _end_drain(self, engine: _Engine, term: int) -> list[Command]:
        if engine.drain is None:
            return []
        self._notices += 1
        notice = DrainNotice(engine.server.name, False, term, self._notices)
        return [DrainAnnounced(notice, self._hosts)]

    def _term(self) -> int:
        return self._authority.term if self._authority is not None else 0


def _alike(first: EngineState, second: EngineState) -> bool:
    """Tells whether nothing was ordered and nothing crashed between two readings."""
    return (first.incarnation, first.last_order, first.role, first.model, first.adapters) == (
        second.incarnation,
        second.last_order,
        second.role,
        second.model,
        second.adapters,
    )


def _is_changing(engine: _Engine) -> bool:
    return engine.phase in (Phase.DRAINING, Phase.ORDERED)
