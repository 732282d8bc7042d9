"""Processor time per decision, and memory, by number of engines."""

import random
import time
import tracemalloc
from collections.abc import Callable
from typing import Final

from attrs import frozen

from bench.scenarios import read_fleet
from berylquay.decisions.calls import Call
from berylquay.decisions.deployment import ClassSpec, WorkKind
from berylquay.decisions.engine_speed import EngineSpeed
from berylquay.decisions.fleet import (
    Address,
    BackendKind,
    BackendServer,
    LoadReport,
    MembershipView,
    Role,
)
from berylquay.decisions.fleet_load import FleetLoad
from berylquay.decisions.forecast_role_planner import ForecastRolePlanner, RolePlannerOptions
from berylquay.decisions.latency_prediction import LatencyPredictor
from berylquay.decisions.power_of_two_routing import PowerOfTwoRouting
from berylquay.decisions.predicted_admission import PredictedAdmission
from berylquay.decisions.roles import Demand, EngineRole

ENGINE_COUNTS: Final = (5, 50, 414, 500, 5000)
REPEATS: Final = 5
POOL: Final = "pool"
ENGINES_PER_DATA_CENTRE: Final = 414


@frozen
class SlopeRow:
    """Measurements for one number of engines."""

    engines: int
    # Processor time of one routing decision with its admission check.
    route_us: float
    # Processor time to process one load report.
    report_us: float
    # Processor time of one role plan over all the engines.
    plan_us: float
    # Processor time to process one membership list.
    membership_us: float
    # Memory used by the host's cached view of the fleet.
    memory_bytes: int


def measure_slopes() -> list[SlopeRow]:
    """Returns a row for each number of engines."""
    return [_measure_row(engines) for engines in ENGINE_COUNTS]


def _measure_row(engines: int) -> SlopeRow:
    view = MembershipView(1, tuple(_make_server(number) for number in range(engines)), ())
    tracemalloc.start()
    loads = FleetLoad("dc-0")
    loads.on_membership(view)
    reports = [_make_report(number) for number in range(engines)]
    for report in reports:
        loads.on_report(report)
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    predictor = LatencyPredictor(EngineSpeed())
    routing = PowerOfTwoRouting(predictor, random.Random(1))
    admission = PredictedAdmission(read_fleet("jamiat").deployment, predictor, 1.0)
    calls = [_make_call(number) for number in range(500)]

    def route() -> None:
        for call in calls:
            chosen = routing.choose(call, loads.candidates(POOL), 0.5)
            assert chosen is not None
            admission.check_admission(call, chosen, 0.5)

    def take_reports() -> None:
        for number in range(500):
            loads.on_report(reports[number % engines])

    planner = ForecastRolePlanner(EngineSpeed(), RolePlannerOptions(role_change_weight=0.0))
    roles = [EngineRole(f"e{n}", tuple(Role)[n % 3]) for n in range(engines)]
    plans = iter(range(1000))

    def plan() -> None:
        planner.plan(roles, Demand(0.3 * engines, 0.3 * engines), 30.0 * next(plans))

    return SlopeRow(
        engines,
        _min_processor_us(route) / len(calls),
        _min_processor_us(take_reports) / len(calls),
        _min_processor_us(plan),
        _min_processor_us(lambda: loads.on_membership(view)),
        memory_bytes,
    )


def _min_processor_us(action: Callable[[], None]) -> float:
    times = []
    for _ in range(REPEATS):
        started_s = time.process_time()
        action()
        times.append(time.process_time() - started_s)
    return min(times) * 1e6


def _make_server(number: int) -> BackendServer:
    data_centre = f"dc-{number // ENGINES_PER_DATA_CENTRE}"
    address = Address("127.0.0.1", 1)
    return BackendServer(f"e{number}", BackendKind.ENGINE, address, data_centre, data_centre, POOL)


def _make_report(number: int) -> LoadReport:
    tokens = 1000 * (number % 7)
    return LoadReport(f"e{number}", 0.0, Role.MIXED, "m", prefill_backlog_tokens=tokens)


def _make_call(number: int) -> Call:
    spec = ClassSpec("quick-question", WorkKind.GENERATION, POOL)
    return Call(
        call_id=str(number),
        request_id=str(number),
        tenant="fes",
        class_spec=spec,
        received_s=0.0,
        deadline_s=60.0,
        repeatable=True,
        idempotency_key="",
        fingerprint="",
        wants_stream=True,
        model="m",
        adapter="",
        prompt=f"{number} " * 300,
        prompt_tokens=800,
        max_output_tokens=256,
    )
