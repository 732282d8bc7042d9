"""The bench's world in virtual time: callers, entry hosts, engines, controllers and faults.

It is driven by one heap of events. Hosts know the fleet only by what reaches them: their own
attempts, lagging load reports, a lagging membership list and the drains that controllers announce.
"""

import heapq
import random
from collections import Counter
from collections.abc import Callable
from typing import Any, Final

from attrs import define, evolve, field

from bench.engines import FakeEngine
from bench.jobs import BYTES_PER_TOKEN, Job, Run, make_jobs
from bench.measures import Measures
from bench.policies import HostShape, PolicySet
from bench.scenarios import Fault, FleetShape, RegionShape, Scenario
from berylquay.decisions.admission import AdmissionPolicy
from berylquay.decisions.calls import Call
from berylquay.decisions.fleet import (
    Address,
    BackendKind,
    BackendServer,
    Liveness,
    MembershipView,
    Role,
)
from berylquay.decisions.fleet_load import FleetLoad
from berylquay.decisions.roles import Demand, EngineRole, RoleChange, RolePlanner
from berylquay.decisions.routing import Candidate, RoutingPolicy

NEAR_LATENCY_S: Final = 0.001
FAR_LATENCY_S: Final = 0.020
REPORT_INTERVAL_S: Final = 1.0
REPORT_LAG_S: Final = (0.1, 0.6)
LATE_REPORT_LAG_S: Final = 5.0
MISSING_REPORTS: Final = 0.8
PLAN_INTERVAL_S: Final = 5.0
ROLE_CHANGE_S: Final = 8.0
DRAIN_POLL_S: Final = 0.5
MEMBERSHIP_LAG_S: Final = 2.0
CONNECT_TIMEOUT_S: Final = 1.0
AVOID_FAILED_S: Final = 5.0
KV_BYTES_PER_TOKEN: Final = 131072
KV_BYTES_PER_S: Final = 12.5e9
MAX_ATTEMPTS: Final = 3
RETRY_BUDGET: Final = 0.1
IMPATIENCE_S: Final = 0.3
MAX_SUBMISSIONS: Final = 4


@define(eq=False)
class Host:
    """One entry host with its own view of the fleet."""

    number: int
    region: str
    loads: FleetLoad
    routing: RoutingPolicy
    admission: AdmissionPolicy
    # Retries that the budget still allows.
    retry_tokens: float = 10.0


@define(eq=False)
class Controller:
    """The holder of authority in one region."""

    region: str
    planner: RolePlanner
    # Work that callers asked for since the last plan, in engine seconds.
    prefill_s: float = 0.0
    decode_s: float = 0.0
    # Engines whose change is under way, with the role that they will have.
    changing: dict[str, Role] = field(factory=dict)


class World:
    """One run of one scenario under one policy set."""

    def __init__(
        self, fleet: FleetShape, scenario: Scenario, policies: PolicySet, seed: int
    ) -> None:
        self.fleet = fleet
        self.scenario = scenario
        self.measures = Measures(scenario.duration_s)
        self._rng = random.Random(f"world/{seed}")
        self._now_s = 0.0
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._event_count = 0
        self._engines: dict[str, FakeEngine] = {}
        self._bound_for: Counter[str] = Counter()
        self._runs: dict[int, Run] = {}
        self._submissions: Counter[int] = Counter()
        self._cut_region = ""
        self._crash_on_change: Fault | None = None
        for region in fleet.regions:
            self._add_engines(region, policies.split_at_start)
        self._hosts: dict[str, list[Host]] = {}
        for region in fleet.regions:
            self._hosts[region.name] = self._make_hosts(region, policies, seed)
        self._controllers = {
            region.name: Controller(region.name, policies.roles(fleet)) for region in fleet.regions
        }
        self.jobs = make_jobs(fleet, scenario, seed)

    def run(self) -> Measures:
        """Runs to the end of the scenario and returns what was measured."""
        self._lay_out_events()
        while self._events:
            at_s, _, action, arguments = heapq.heappop(self._events)
            if at_s > self.scenario.duration_s:
                break
            self._now_s = at_s
            action(*arguments)
        engines = self._engines.values()
        self.measures.prefix_hits = sum(engine.hits for engine in engines)
        self.measures.prefix_lookups = sum(engine.lookups for engine in engines)
        return self.measures

    # Set-up

    def _add_engines(self, region: RegionShape, split: bool) -> None:
        for number, role in enumerate(region.split):
            server = BackendServer(
                name=f"{region.name}-{number}",
                kind=BackendKind.ENGINE,
                address=Address("127.0.0.1", 1),
                region=region.name,
                data_centre=region.name,
                pool=self.fleet.pool,
            )
            start_role = role if split else Role.MIXED
            self._engines[server.name] = FakeEngine(server, self.fleet.speed, start_role)

    def _make_hosts(self, region: RegionShape, policies: PolicySet, seed: int) -> list[Host]:
        hosts = []
        for number in range(region.hosts):
            rng = random.Random(f"host/{region.name}/{number}/{seed}")
            part = 1.0 / region.hosts
            shape = HostShape(region.name, region.callers * part, part, len(region.split))
            host = Host(
                number,
                region.name,
                FleetLoad(region.name),
                policies.routing(self.fleet, shape, rng),
                policies.admission(self.fleet, shape, rng),
            )
            host.loads.on_membership(self._membership())
            for engine in self._engines.values():
                host.loads.on_report(engine.report(0.0))
            hosts.append(host)
        return hosts

    def _membership(self) -> MembershipView:
        return MembershipView(1, tuple(engine.server for engine in self._engines.values()), ())

    def _lay_out_events(self) -> None:
        for job in self.jobs:
            self._at(job.arrival_s, self._submit, job, False)
        for engine in self._engines.values():
            self._at(self._rng.uniform(0.0, REPORT_INTERVAL_S), self._emit_report, engine)
        for controller in self._controllers.values():
            self._at(PLAN_INTERVAL_S, self._plan, controller)
        for fault in self.scenario.faults:
            self._lay_out_fault(fault)

    def _lay_out_fault(self, fault: Fault) -> None:
        if fault.target == "changing":
            self._crash_on_change = fault
            return
        names = list(self._engines)
        engine = self._engines[names[0]]
        if fault.kind == "crash":
            self._at(fault.at_s, self._crash, engine)
            self._at(fault.until_s, self._recover, engine)
        elif fault.kind == "withdraw":
            self._at(fault.at_s, self._withdraw, engine)
        elif fault.kind == "cut":
            self._at(fault.at_s, self._cut, self.fleet.regions[-1].name)
            self._at(fault.until_s, self._cut, "")

    def _at(self, at_s: float, action: Callable[..., None], *arguments: Any) -> None:
        self._event_count += 1
        heapq.heappush(self._events, (at_s, self._event_count, action, arguments))

    def _hosts_everywhere(self) -> list[Host]:
        return [host for hosts in self._hosts.values() for host in hosts]

    # Callers

    def _submit(self, job: Job, returning: bool) -> None:
        self._submissions[job.number] += 1
        self.measures.submitted(job, self._now_s, returning)
        host = self._rng.choice(self._hosts[job.region])
        call = evolve(
            job.call,
            received_s=self._now_s,
            deadline_s=self._now_s + job.call.class_spec.deadline_s,
        )
        host.retry_tokens = min(10.0, host.retry_tokens + RETRY_BUDGET)
        controller = self._controllers[job.region]
        controller.prefill_s += self.fleet.speed.prefill_work_s(job.prompt_tokens)
        controller.decode_s += self.fleet.speed.decode_work_s(
            job.call.class_spec.expected_output_tokens
        )
        self._begin(host, job, call, returning)

    def _begin(self, host: Host, job: Job, call: Call, returning: bool) -> None:
        candidates = host.loads.candidates(self.fleet.pool)
        chosen = host.routing.choose(call, candidates, self._now_s)
        if chosen is None:
            self._refused(job, 1.0)
            return
        decoder = self._decoder_for(host, call, chosen)
        refusal = host.admission.check_admission(call, chosen, self._now_s, returning, decoder)
        if returning:
            self.measures.returned(job, refusal is None)
        if refusal is not None:
            self._refused(job, refusal.retry_after_s)
            return
        host.admission.on_started(call, self._now_s)
        self._dispatch(host, _make_run(job, call, host, chosen, decoder))
        self._at(call.deadline_s, self._deadline, job, call)

    def _refused(self, job: Job, retry_after_s: float | None) -> None:
        self.measures.refused(job)
        if self._submissions[job.number] >= MAX_SUBMISSIONS:
            return
        if job.impatient:
            self._at(self._now_s + IMPATIENCE_S, self._submit, job, False)
        elif job.heeding and retry_after_s is not None and self._submissions[job.number] == 1:
            self._at(self._now_s + retry_after_s, self._submit, job, True)

    def _deadline(self, job: Job, call: Call) -> None:
        run = self._runs.get(job.number)
        if run is None or run.over or run.call is not call:
            return
        for name in {run.engine, run.decoder}:
            engine = self._engines[name]
            engine.advance(self._now_s)
            engine.cancel(run)
            self._reschedule(engine)
        self._close(run)
        self.measures.expired += 1
        self._host_of(run).admission.on_ended(call, 0, self._now_s)

    # Attempts

    def _dispatch(self, host: Host, run: Run) -> None:
        self._runs[run.job.number] = run
        server = self._engines[run.engine].server
        self._bound_for[run.engine] += 1
        self._bound_for[run.decoder] += 1
        prompt_tokens = run.job.prompt_tokens + run.resumed_tokens
        spec = run.call.class_spec
        host.loads.on_sent(run.engine, prompt_tokens, spec.priority)
        if run.decoder != run.engine:
            host.loads.on_sent(run.decoder, 0)
        far = server.region != host.region
        if far:
            tokens = run.job.prompt_tokens + run.job.output_tokens
            self.measures.cross_region_bytes += tokens * BYTES_PER_TOKEN
        if self._is_cut(host.region, server.region):
            self._at(self._now_s + CONNECT_TIMEOUT_S, self._failed, run)
            return
        self._at(self._now_s + (FAR_LATENCY_S if far else NEAR_LATENCY_S), self._arrive, run)

    def _decoder_for(self, host: Host, call: Call, chosen: Candidate) -> Candidate | None:
        if chosen.report is None or chosen.report.role is not Role.PREFILL:
            return None
        decoders = host.loads.decode_engines(self.fleet.pool, chosen.server.data_centre)
        return host.routing.choose_decode_engine(call, decoders, self._now_s)

    def _arrive(self, run: Run) -> None:
        engine = self._engines[run.engine]
        if run.over:
            return
        if not engine.up or engine.role is Role.DECODE:
            self._failed(run)
            return
        engine.advance(self._now_s)
        engine.add_prompt(run)
        self._reschedule(engine)

    def _failed(self, run: Run) -> None:
        if run.over:
            return
        self._close(run)
        host = self._host_of(run)
        host.loads.on_drain_changed(run.engine, True)
        self._at(self._now_s + AVOID_FAILED_S, self._try_again, host, run.engine)
        retried = self._retry(host, run)
        if not retried:
            self.measures.failed(run.job)
            host.admission.on_ended(run.call, 0, self._now_s)

    def _retry(self, host: Host, run: Run) -> bool:
        if run.attempts_before + 1 >= MAX_ATTEMPTS or host.retry_tokens < 1.0:
            return False
        candidates = host.loads.candidates(self.fleet.pool, frozenset((run.engine,)))
        chosen = host.routing.choose(run.call, candidates, self._now_s)
        if chosen is None:
            return False
        host.retry_tokens -= 1.0
        self.measures.retries += 1
        decoder = self._decoder_for(host, run.call, chosen)
        fresh = _make_run(run.job, run.call, host, chosen, decoder)
        fresh.attempts_before = run.attempts_before + 1
        fresh.resumed_tokens = run.resumed_tokens
        fresh.first_token_s = run.first_token_s
        self._dispatch(host, fresh)
        return True

    def _try_again(self, host: Host, backend: str) -> None:
        changing = any(backend in each.changing for each in self._controllers.values())
        if not changing:
            host.loads.on_drain_changed(backend, False)

    def _close(self, run: Run) -> None:
        run.over = True
        self._bound_for[run.engine] -= 1
        self._bound_for[run.decoder] -= 1
        loads = self._host_of(run).loads
        loads.on_ended(run.engine)
        if run.decoder != run.engine:
            loads.on_ended(run.decoder)
        if run.prompt_left >= 0:
            self._count_first_token(run)

    def _count_first_token(self, run: Run) -> None:
        prompt_tokens = run.job.prompt_tokens + run.resumed_tokens
        loads = self._host_of(run).loads
        loads.on_first_token(run.engine, prompt_tokens, run.call.class_spec.priority)

    # Engines

    def _reschedule(self, engine: FakeEngine) -> None:
        engine.start_next()
        engine.version += 1
        at_s = engine.next_event_s()
        if at_s is not None:
            self._at(at_s, self._engine_event, engine, engine.version)

    def _engine_event(self, engine: FakeEngine, version: int) -> None:
        if version != engine.version:
            return
        engine.advance(self._now_s)
        prefilled = engine.take_prefilled()
        if prefilled is not None:
            self._prefilled(engine, prefilled)
        while (finished := engine.take_finished()) is not None:
            self._finished(finished)
        self._reschedule(engine)

    def _prefilled(self, engine: FakeEngine, run: Run) -> None:
        if run.over:
            return
        host = self._host_of(run)
        self._count_first_token(run)
        run.prompt_left = -1
        if run.first_token_s < 0.0:
            run.first_token_s = self._now_s + self._latency(run)
            host.admission.on_first_token(run.call, self._now_s)
        if run.job.output_tokens - run.resumed_tokens <= 1:
            self._finished(run)
        elif run.decoder == run.engine:
            engine.add_sequence(run)
        else:
            hand_over_s = run.job.prompt_tokens * KV_BYTES_PER_TOKEN / KV_BYTES_PER_S
            self._at(self._now_s + hand_over_s, self._handed_over, run)

    def _handed_over(self, run: Run) -> None:
        if run.over:
            return
        engine = self._engines[run.decoder]
        if not engine.up:
            self._failed(run)
            return
        engine.advance(self._now_s)
        engine.add_sequence(run)
        self._reschedule(engine)

    def _finished(self, run: Run) -> None:
        if run.over:
            return
        self._close(run)
        self._host_of(run).admission.on_ended(run.call, run.job.output_tokens, self._now_s)
        self.measures.completed(run, self._now_s + self._latency(run))

    def _latency(self, run: Run) -> float:
        server = self._engines[run.engine].server
        return NEAR_LATENCY_S + (FAR_LATENCY_S if server.region != run.job.region else 0.0)

    def _host_of(self, run: Run) -> Host:
        return self._hosts[run.job.region][run.host]

    # Reports

    def _emit_report(self, engine: FakeEngine) -> None:
        self._at(self._now_s + REPORT_INTERVAL_S, self._emit_report, engine)
        if not engine.up:
            return
        engine.advance(self._now_s)
        report = engine.report(self._now_s)
        kinds = {
            fault.kind
            for fault in self.scenario.faults
            if fault.at_s <= self._now_s < fault.until_s
        }
        for host in self._hosts_everywhere():
            if self._is_cut(host.region, engine.server.region):
                continue
            if "missing" in kinds and self._rng.random() < MISSING_REPORTS:
                continue
            lag_s = self._rng.uniform(*REPORT_LAG_S)
            lag_s += LATE_REPORT_LAG_S if "late" in kinds else 0.0
            self._at(self._now_s + lag_s, host.loads.on_report, report)

    # Roles

    def _plan(self, controller: Controller) -> None:
        self._at(self._now_s + PLAN_INTERVAL_S, self._plan, controller)
        demand = Demand(
            controller.prefill_s / PLAN_INTERVAL_S, controller.decode_s / PLAN_INTERVAL_S
        )
        controller.prefill_s, controller.decode_s = 0.0, 0.0
        engines = [
            EngineRole(
                engine.server.name,
                controller.changing.get(engine.server.name, engine.role),
                engine.server.name in controller.changing,
                len(engine.batch),
            )
            for engine in self._engines.values()
            if engine.up
            and engine.server.region == controller.region
            and engine.server.liveness is Liveness.LIVE
        ]
        for change in controller.planner.plan(engines, demand, self._now_s):
            self._begin_change(controller, change)

    def _begin_change(self, controller: Controller, change: RoleChange) -> None:
        self.measures.role_changes += 1
        controller.changing[change.backend] = change.role
        for host in self._hosts_everywhere():
            host.loads.on_drain_changed(change.backend, True)
        self._at(self._now_s + DRAIN_POLL_S, self._poll_drain, controller, change)
        if self._crash_on_change is not None:
            self._at(self._now_s + 1.0, self._crash, self._engines[change.backend])
            self._at(self._now_s + 31.0, self._recover, self._engines[change.backend])
            self._crash_on_change = None

    def _poll_drain(self, controller: Controller, change: RoleChange) -> None:
        engine = self._engines[change.backend]
        if engine.up and self._bound_for[change.backend] > 0:
            self._at(self._now_s + DRAIN_POLL_S, self._poll_drain, controller, change)
            return
        self._at(self._now_s + ROLE_CHANGE_S, self._changed, controller, change)

    def _changed(self, controller: Controller, change: RoleChange) -> None:
        engine = self._engines[change.backend]
        del controller.changing[change.backend]
        if engine.up:
            engine.role = change.role
        for host in self._hosts_everywhere():
            host.loads.on_report(engine.report(self._now_s))
            host.loads.on_drain_changed(change.backend, False)

    # Faults

    def _crash(self, engine: FakeEngine) -> None:
        engine.advance(self._now_s)
        lost = engine.take_all()
        engine.up = False
        engine.version += 1
        for run in lost:
            self._at(self._now_s + NEAR_LATENCY_S, self._failed, run)

    def _recover(self, engine: FakeEngine) -> None:
        engine.up = True
        engine.updated_s = self._now_s

    def _withdraw(self, engine: FakeEngine) -> None:
        engine.server = evolve(engine.server, liveness=Liveness.LEAVING)
        self._at(self._now_s + MEMBERSHIP_LAG_S, self._spread_membership)

    def _spread_membership(self) -> None:
        for host in self._hosts_everywhere():
            host.loads.on_membership(self._membership())

    def _cut(self, region: str) -> None:
        self._cut_region = region
        for run in list(self._runs.values()):
            if not run.over and self._is_cut(run.job.region, self._region_of(run.engine)):
                self._failed(run)

    def _region_of(self, engine: str) -> str:
        return self._engines[engine].server.region

    def _is_cut(self, one: str, other: str) -> bool:
        return one != other and self._cut_region in (one, other)


def _make_run(
    job: Job, call: Call, host: Host, chosen: Candidate, decoder: Candidate | None
) -> Run:
    engine = chosen.server.name
    return Run(job, call, host.number, engine, decoder.server.name if decoder else engine)
