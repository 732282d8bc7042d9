"""Orders servers for the pools that are scaled, on behalf of all hosts.

The first three hosts by name receive the demand of all hosts; the first of them orders, and the
others only what stays undone for some time. A plan is written to the store as the payload of a
claim before its orders are sent, so that the next holder knows what was ordered.
"""

import json
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Final, Protocol

import logbook
from attrs import define, frozen

from berylquay.decisions.backend_registry import BackendEntry, BackendRegistry, EntryState
from berylquay.decisions.engine_estimates import EngineEstimates
from berylquay.decisions.fleet import Role
from berylquay.decisions.order_claims import ClaimStep
from berylquay.decisions.route_table import Pool, RouteTable, ScalingProperties
from berylquay.decisions.scaling.capacity import ServerSpeed
from berylquay.decisions.scaling.demand import FleetDemand
from berylquay.decisions.scaling.plan import ServerCounts
from berylquay.decisions.scaling.planner import Decision, PoolPlanner, PoolState
from berylquay.platform.duty_client import CALL_TIMEOUT_S, DutyOutcome
from berylquay.platform.wire_names import SCALE_PATH
from berylquay.relay.claimant import ClaimListener
from berylquay.relay.metrics import RelayMetrics
from berylquay.settings.relay_settings import ScalingOptions

CHECK_INTERVAL_S: Final = 0.25
# Interval between reads of the claims of other hosts.
REFRESH_INTERVAL_S: Final = 3.0
# Time for which the list of servers must not change before a pool that was never scaled is planned:
# at the start of a deployment the servers register one after the other.
SETTLE_S: Final = 2.0
# The same for a pool without any server.
EMPTY_SETTLE_S: Final = 8.0
# Time after a takeover in which nothing is given up.
TAKEOVER_GRACE_S: Final = 5.0
# Delay for each place among the hosts that may order: more servers, and anything else.
RISE_STAGGER_S: Final = 4.0
STAGGER_S: Final = 20.0
# Time after which a plan that could not be claimed and ordered is made again.
ROUND_TIMEOUT_S: Final = 6.0
# Fraction of the known hosts whose demand must be known before anything is scaled in.
MIN_REPORTING_FRACTION: Final = 0.5
# Range of the mean prefill time of a pool's engines as a multiple of the built-in one. Waits that
# were not predicted count as slowness, so it rises too far under overload.
MIN_SLOWDOWN: Final = 0.7
MAX_SLOWDOWN: Final = 2.0
_log = logbook.Logger("scaling")


class Claims(Protocol):
    """Claims to the authority to order servers."""

    @property
    def has_read_to_end(self) -> bool:
        """Tells whether all claims are known."""

    def on_tick(self, now_s: float) -> None:
        """Called regularly."""

    def on_store_era(self, era: int) -> None:
        """Gives up a claim of a former era."""

    def advance(self, payload: bytes, now_s: float) -> ClaimStep:
        """Takes the next step towards a valid claim with the payload."""

    def refresh(self, now_s: float) -> None:
        """Reads newer claims."""

    def fencing_number(self) -> int | None:
        """Returns the fencing number of a valid claim, or None."""

    def remaining_s(self) -> float:
        """Returns for how long the claim remains valid."""


class OrderApi(Protocol):
    """The platform's API for orders of servers."""

    @property
    def busy(self) -> bool:
        """Tells whether no call can be sent now."""

    def may_send(self, path: str, fencing_number: int) -> bool:
        """Tells whether no older call may arrive after one that is sent now."""

    def order_servers(
        self,
        holder: str,
        fencing_number: int,
        pool: str,
        data_centre: str,
        count: int,
        *,
        spot: bool,
        on_result: Callable[[DutyOutcome], None],
    ) -> None:
        """Orders a number of servers."""


@frozen
class Surroundings:
    """What the host knows of its own state."""

    # Whether the list of servers is current.
    is_list_current: bool
    # Whether the paths to all servers are lost.
    is_cut_off: bool
    is_stopping: bool
    # This host's place among those that may order, or None if it is not one of them.
    rank: int | None
    # Known hosts of the fleet.
    host_count: int


@define
class _Settling:
    """Servers of a pool that was never scaled, until their list has settled."""

    since_s: float
    counts: Mapping[str, ServerCounts]


@define
class _Round:
    """A plan on its way: claimed first, then ordered."""

    payload: bytes
    began_s: float


def encode_plan(planners: Mapping[str, PoolPlanner], counts: Mapping[str, Decision]) -> bytes:
    """Returns the complete plan as the payload of a claim."""
    pools = {}
    for name, planner in planners.items():
        planned = dict(planner.ordered)
        if name in counts:
            planned.update(counts[name].counts)
        pools[name] = {
            "base": planner.base,
            "zones": {zone: [count.on_demand, count.spot] for zone, count in planned.items()},
        }
    return json.dumps({"pools": pools}, sort_keys=True, separators=(",", ":")).encode()


def decode_plan(payload: bytes) -> dict[str, tuple[int, dict[str, ServerCounts]]] | None:
    """Returns the number of the start and the servers by data centre of each pool, or None."""
    try:
        pools = json.loads(payload)["pools"]
        return {
            str(name): (
                int(fields["base"]),
                {
                    str(zone): ServerCounts(int(on_demand), int(spot))
                    for zone, (on_demand, spot) in fields["zones"].items()
                },
            )
            for name, fields in pools.items()
        }
    except (ValueError, KeyError, TypeError, AttributeError, OverflowError, RecursionError):
        return None


class ScalingController:
    """Plans and orders the servers of all pools that are scaled."""

    _registry: BackendRegistry
    _estimates: EngineEstimates
    _metrics: RelayMetrics
    _options: ScalingOptions
    _demand: FleetDemand
    _api: OrderApi
    _claims: Claims
    # Name under which orders are sent, and that of the claims, which is unique to the process.
    _host: str
    _claim_holder: str
    _planners: dict[str, PoolPlanner]
    # Plans of other hosts for pools that this host has not planned yet.
    _stored_plans: dict[str, tuple[int, dict[str, ServerCounts]]]
    _settling: dict[str, _Settling]
    _round: _Round | None
    # Since when this host may order, or None; and since when something is to be ordered.
    _acting_since_s: float | None
    _wanted_since_s: float | None
    # Monotonic time at which the newest claim of another host was read, and whether it is newest.
    _other_claim_s: float
    _is_other_newest: bool
    # Whether the topic is read again after a restore of the store, so that what this host knows of
    # the orders is newer.
    _reads_older_plans: bool
    _next_check_s: float
    _next_refresh_s: float
    _now_s: float

    def __init__(
        self,
        options: ScalingOptions,
        registry: BackendRegistry,
        demand: FleetDemand,
        api: OrderApi,
        *,
        estimates: EngineEstimates,
        metrics: RelayMetrics,
        host: str,
        claim_holder: str,
        make_claims: Callable[[ClaimListener], Claims],
    ) -> None:
        self._registry = registry
        self._estimates = estimates
        self._metrics = metrics
        self._options = options
        self._demand = demand
        self._api = api
        self._host = host
        self._claim_holder = claim_holder
        self._planners = {}
        self._stored_plans = {}
        self._settling = {}
        self._round = None
        self._acting_since_s = None
        self._wanted_since_s = None
        self._other_claim_s = float("-inf")
        self._is_other_newest = False
        self._reads_older_plans = False
        self._next_check_s = float("-inf")
        self._next_refresh_s = float("-inf")
        self._now_s = float("-inf")
        self._claims = make_claims(self)

    def on_store_era(self, era: int, *, has_risen: bool) -> None:
        """Gives up the claim; after a restore of the store, orders everything again."""
        self._claims.on_store_era(era)
        self._round = None
        if has_risen:
            self._reads_older_plans = True
            for planner in self._planners.values():
                planner.on_new_era()

    def on_claim(self, holder: str, payload: bytes, _offset: int, now_s: float) -> None:
        """Takes over the plan of a claim, which its holder orders or has ordered."""
        is_own = holder == self._claim_holder
        self._is_other_newest = not is_own
        if not is_own:
            self._other_claim_s = now_s
            # It was planned without the other host's orders.
            self._round = None
        plan = decode_plan(payload)
        if plan is None:
            _log.warning("unreadable plan", holder=holder)
            return
        for pool, (base, counts) in plan.items():
            planner = self._planners.get(pool)
            if planner is not None and self._reads_older_plans:
                continue
            if planner is None:
                self._stored_plans[pool] = (base, counts)
            else:
                planner.on_ordered(counts, now_s, by_other_host=not is_own)

    def on_tick(self, table: RouteTable, surroundings: Surroundings, now_s: float) -> None:
        """Plans at intervals, and takes the next step of a plan that is to be ordered."""
        self._now_s = now_s
        self._claims.on_tick(now_s)
        if self._claims.has_read_to_end:
            self._reads_older_plans = False
        rank = surroundings.rank
        pools = [pool for pool in table.pools.values() if pool.scaling is not None]
        if rank is None or not pools or surroundings.is_stopping:
            self._acting_since_s = None
            return
        if self._round is not None:
            self._advance(self._round, now_s)
        if now_s < self._next_check_s:
            return
        self._next_check_s = now_s + CHECK_INTERVAL_S
        if not self._claims.has_read_to_end or now_s >= self._next_refresh_s:
            self._next_refresh_s = now_s + REFRESH_INTERVAL_S
            self._claims.refresh(now_s)
        may_act = surroundings.is_list_current and self._claims.has_read_to_end
        if not may_act:
            self._acting_since_s = None
        elif self._acting_since_s is None:
            self._acting_since_s = now_s
        decisions = {}
        for pool in pools:
            decision = self._check_pool(pool, surroundings, may_act=may_act, now_s=now_s)
            if decision is not None:
                decisions[pool.name] = decision
        if may_act and self._round is None:
            self._begin_round(decisions, rank, now_s)

    def _check_pool(
        self, pool: Pool, surroundings: Surroundings, *, may_act: bool, now_s: float
    ) -> Decision | None:
        """Returns what to order for a pool, or None if this host can't tell."""
        scaling = pool.scaling
        if scaling is None:
            return None
        entries = [entry for entry in self._registry.all_entries() if entry.pool == pool.name]
        state = self._pool_state(pool, entries, surroundings, now_s)
        planner = self._planner(pool.name, state.ready, may_act=may_act, now_s=now_s)
        if planner is None:
            return None
        data_centres = len(scaling.prices or state.ready)
        planner.on_sample(state, scaling, scaling.max_servers * max(1, data_centres), now_s)
        self._record_metrics(pool.name, scaling, state, planner)
        if not may_act:
            return None
        pins = {
            pin.data_centre: ServerCounts(pin.on_demand, pin.spot)
            for pin in self._options.pins
            if pin.pool == pool.name
        }
        return planner.decide(state, scaling, pins, now_s)

    def _pool_state(
        self,
        pool: Pool,
        entries: list[BackendEntry],
        surroundings: Surroundings,
        now_s: float,
    ) -> PoolState:
        # Servers that want no requests for a moment are still there.
        notices = self._registry.notices
        ready = [
            entry
            for entry in entries
            if entry.state is EntryState.READY and not notices.is_leaving(entry.instance)
        ]
        reporting = self._demand.host_count(now_s)
        has_load_data = (
            self._demand.is_complete(now_s)
            and reporting >= surroundings.host_count * MIN_REPORTING_FRACTION
        )
        takeover_s = self._other_claim_s
        if self._is_other_newest and self._acting_since_s is not None:
            takeover_s = max(takeover_s, self._acting_since_s)
        may_replace = not surroundings.is_cut_off and now_s - takeover_s >= TAKEOVER_GRACE_S
        return PoolState(
            ready=_count_servers(ready),
            reclaimed=frozenset(
                entry.data_centre
                for entry in entries
                if entry.spot
                and entry.state is EntryState.LEAVING
                and self._registry.is_reclaimed(entry)
            ),
            load=self._demand.load(pool.name, now_s) if reporting else None,
            speed=self._server_speed(pool, ready),
            may_replace=may_replace,
            may_scale_in=may_replace and has_load_data,
        )

    def _server_speed(self, pool: Pool, ready: list[BackendEntry]) -> ServerSpeed:
        is_engine = pool.engine_properties is not None
        slots = sum(entry.slots for entry in ready) / len(ready) if ready else 0.0
        if not slots and pool.engine_properties is not None:
            slots = pool.engine_properties.slots
        estimates = self._estimates
        slowdowns = [estimates.slowdown(e.name) for e in ready if e.role is Role.PREFILL]
        slowdown = sum(slowdowns) / len(slowdowns) if slowdowns else 1.0
        return ServerSpeed(slots, is_engine, min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, slowdown)))

    def _planner(
        self, pool: str, ready: Mapping[str, ServerCounts], *, may_act: bool, now_s: float
    ) -> PoolPlanner | None:
        """Returns the planner of a pool once it is known what was ordered or is present."""
        planner = self._planners.get(pool)
        if planner is not None:
            return planner
        if not may_act:
            return None
        stored = self._stored_plans.pop(pool, None)
        if stored is not None:
            planner = self._planners[pool] = PoolPlanner()
            planner.on_ordered(stored[1], now_s, by_other_host=True)
            planner.on_base(stored[0])
            return planner
        settling = self._settling.get(pool)
        if settling is None or settling.counts != ready:
            self._settling[pool] = _Settling(now_s, ready)
            return None
        if now_s - settling.since_s < (SETTLE_S if ready else EMPTY_SETTLE_S):
            return None
        del self._settling[pool]
        planner = self._planners[pool] = PoolPlanner()
        planner.on_present(ready)
        _log.info("scaling begins", pool=pool, present=_loggable(ready))
        return planner

    def _begin_round(self, decisions: Mapping[str, Decision], rank: int, now_s: float) -> None:
        """Starts to claim and order a new plan, once it is this host's turn."""
        changed = {
            pool: decision
            for pool, decision in decisions.items()
            if any(
                self._planners[pool].ordered.get(zone, ServerCounts()) != count
                for zone, count in decision.counts.items()
            )
        }
        due = any(planner.due_orders(now_s) for planner in self._planners.values())
        if not changed and not due:
            self._wanted_since_s = None
            return
        if self._wanted_since_s is None:
            self._wanted_since_s = now_s
        stagger_s = RISE_STAGGER_S if self._has_rise(changed) else STAGGER_S
        if now_s - self._wanted_since_s < rank * stagger_s:
            return
        for pool, decision in changed.items():
            self._log_decision(pool, decision, now_s)
        self._round = _Round(encode_plan(self._planners, changed), now_s)
        self._advance(self._round, now_s)

    def _has_rise(self, changed: Mapping[str, Decision]) -> bool:
        for pool, decision in changed.items():
            ordered = self._planners[pool].ordered.values()
            before = sum(count.total for count in ordered)
            if sum(count.total for count in decision.counts.values()) > before:
                return True
        return False

    def _advance(self, plan_round: _Round, now_s: float) -> None:
        """Takes the next step of a round: a call to the store, or an order."""
        if now_s - plan_round.began_s > ROUND_TIMEOUT_S:
            _log.info("plan not ordered in time", rest=self._due_orders(now_s)[:1])
            self._round = None
            return
        if self._claims.advance(plan_round.payload, now_s) is not ClaimStep.ORDER:
            return
        due = self._due_orders(now_s)
        if self._api.busy:
            return
        if not due:
            self._round = None
            self._wanted_since_s = None
            return
        fencing_number = self._claims.fencing_number()
        if fencing_number is None or self._claims.remaining_s() <= CALL_TIMEOUT_S:
            return
        if self._api.may_send(SCALE_PATH, fencing_number):
            self._send_order(due[0], fencing_number)

    def _due_orders(self, now_s: float) -> list[tuple[str, str, bool, int]]:
        return [
            (pool, *order)
            for pool, planner in sorted(self._planners.items())
            for order in planner.due_orders(now_s)
        ]

    def _send_order(self, order: tuple[str, str, bool, int], fencing_number: int) -> None:
        pool, data_centre, spot, count = order
        planner = self._planners[pool]

        def on_result(outcome: DutyOutcome) -> None:
            now_s = self._now_s
            _log.info(
                "servers ordered",
                pool=pool,
                data_centre=data_centre,
                spot=spot,
                count=count,
                term=fencing_number,
                outcome=outcome.value,
            )
            self._metrics.on_server_order(outcome.value)
            if outcome is DutyOutcome.ACCEPTED:
                planner.on_accepted(data_centre, count, spot=spot, now_s=now_s)
            elif outcome in (DutyOutcome.NONE_AVAILABLE, DutyOutcome.REJECTED):
                planner.on_none_available(data_centre, spot=spot, now_s=now_s)
                # The rest is ordered by the plan without these servers.
                self._round = None
            elif outcome is DutyOutcome.FAILED:
                planner.on_outcome_unknown(data_centre, spot=spot)

        self._api.order_servers(
            self._host, fencing_number, pool, data_centre, count, spot=spot, on_result=on_result
        )

    def _log_decision(self, pool: str, decision: Decision, now_s: float) -> None:
        load = self._demand.load(pool, now_s)
        planner = self._planners[pool]
        _log.info(
            "scaling decision",
            pool=pool,
            ordered=_loggable(planner.ordered),
            counts=_loggable(decision.counts),
            target=_loggable(decision.target),
            ready=_loggable(planner.last_ready),
            need=decision.need.total,
            need_after_loss=decision.need.after_loss,
            has_observed_load=decision.has_observed_load,
            requests_per_s=round(load.requests_per_s, 1),
            requests_by_data_centre={
                zone: round(rate, 1)
                for zone, rate in self._demand.requests_by_data_centre(pool, now_s).items()
            },
            prefill_tokens_per_s=round(load.prefill_tokens_per_s),
            output_tokens_per_s=round(load.output_tokens_per_s),
            open_calls=round(load.open_calls),
            call_s=round(load.call_s, 3),
            refused_per_s=round(load.refused_per_s, 1),
            hosts=self._demand.host_count(now_s),
        )

    def _record_metrics(
        self, pool: str, scaling: ScalingProperties, state: PoolState, planner: PoolPlanner
    ) -> None:
        for zone in {*scaling.prices, *state.ready, *planner.ordered}:
            ready = state.ready.get(zone, ServerCounts())
            ordered = planner.ordered.get(zone, ServerCounts())
            for spot, kind in ((False, "on_demand"), (True, "spot")):
                self._metrics.on_scaled_servers(
                    pool,
                    zone,
                    kind,
                    desired=ordered.number(spot=spot),
                    present=ready.number(spot=spot),
                )


def _count_servers(entries: list[BackendEntry]) -> dict[str, ServerCounts]:
    kinds = Counter((entry.data_centre, entry.spot) for entry in entries)
    return {
        zone: ServerCounts(kinds[zone, False], kinds[zone, True])
        for zone in sorted({entry.data_centre for entry in entries})
    }


def _loggable(counts: Mapping[str, ServerCounts]) -> dict[str, list[int]]:
    return {zone: [count.on_demand, count.spot] for zone, count in sorted(counts.items())}
