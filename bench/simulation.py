"""Discrete-event simulation of callers, entry hosts, engines, controllers and faults.

It is driven by one heap of events in virtual time. Hosts know the fleet only through what they
receive: the results of their own attempts, delayed load reports, a delayed membership list and the
drains that controllers announce.
"""

import heapq
import random
from collections import Counter
from collections.abc import Callable
from typing import Any, Final

from attrs import define, evolve, field

from bench.engines import SimulatedEngine
from bench.jobs import BYTES_PER_TOKEN, Job, JobAttempt, make_jobs
from bench.measures import Measures
from bench.policies import HostSpec, PolicySet
from bench.scenarios import Fault, FleetSpec, RegionSpec, Scenario
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

LOCAL_LATENCY_S: Final = 0.001
CROSS_REGION_LATENCY_S: Final = 0.020
REPORT_INTERVAL_S: Final = 1.0
REPORT_LAG_S: Final = (0.1, 0.6)
LATE_REPORT_LAG_S: Final = 5.0
MISSING_REPORT_PROBABILITY: Final = 0.8
PLAN_INTERVAL_S: Final = 5.0
ROLE_CHANGE_S: Final = 8.0
DRAIN_POLL_S: Final = 0.5
MEMBERSHIP_LAG_S: Final = 2.0
CONNECT_TIMEOUT_S: Final = 1.0
FAILED_ENGINE_BACKOFF_S: Final = 5.0
KV_BYTES_PER_TOKEN: Final = 131072
KV_BYTES_PER_S: Final = 12.5e9
MAX_ATTEMPTS: Final = 3
RETRY_RATIO: Final = 0.1
EARLY_RETRY_DELAY_S: Final = 0.3
MAX_SUBMISSIONS: Final = 4


@define(eq=False)
class Host:
    """One entry host with its own view of the fleet."""

    number: int
    region: str
    loads: FleetLoad
    routing: RoutingPolicy
    admission: AdmissionPolicy
    # Tokens left in the retry budget; a retry takes one.
    retry_tokens: float = 10.0


@define(eq=False)
class Controller:
    """The role controller of one region, which holds its authority."""

    region: str
    planner: RolePlanner
    # Work requested since the last plan, in engine seconds.
    prefill_demand_s: float = 0.0
    decode_demand_s: float = 0.0
    # Engines whose role change is in progress, with their new roles.
    pending_roles: dict[str, Role] = field(factory=dict)


class FleetSimulation:
    """One run of one scenario under one policy set."""

    def __init__(
        self, fleet: FleetSpec, scenario: Scenario, policies: PolicySet, seed: int
    ) -> None:
        self.fleet = fleet
        self.scenario = scenario
        self.measures = Measures(scenario.duration_s)
        self._rng = random.Random(f"world/{seed}")
        self._now_s = 0.0
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._event_count = 0
        self._engines: dict[str, SimulatedEngine] = {}
        self._open_attempts: Counter[str] = Counter()
        self._latest_attempts: dict[int, JobAttempt] = {}
        self._submissions: Counter[int] = Counter()
        self._partitioned_region = ""
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
        """Runs to the end of the scenario and returns the measurements."""
        self._schedule_initial_events()
        while self._events:
            at_s, _, action, arguments = heapq.heappop(self._events)
            if at_s > self.scenario.duration_s:
                break
            self._now_s = at_s
            action(*arguments)
        engines = self._engines.values()
        self.measures.prefix_hits = sum(engine.cache_hits for engine in engines)
        self.measures.prefix_lookups = sum(engine.cache_lookups for engine in engines)
        return self.measures

    # Set-up

    def _add_engines(self, region: RegionSpec, split: bool) -> None:
        for number, role in enumerate(region.split_roles):
            server = BackendServer(
                name=f"{region.name}-{number}",
                kind=BackendKind.ENGINE,
                address=Address("127.0.0.1", 1),
                region=region.name,
                data_centre=region.name,
                pool=self.fleet.pool,
            )
            start_role = role if split else Role.MIXED
            self._engines[server.name] = SimulatedEngine(server, self.fleet.speed, start_role)

    def _make_hosts(self, region: RegionSpec, policies: PolicySet, seed: int) -> list[Host]:
        hosts = []
        for number in range(region.host_count):
            rng = random.Random(f"host/{region.name}/{number}/{seed}")
            fraction = 1.0 / region.host_count
            spec = HostSpec(
                region.name, region.caller_fraction * fraction, fraction, len(region.split_roles)
            )
            host = Host(
                number,
                region.name,
                FleetLoad(region.name),
                policies.routing(self.fleet, spec, rng),
                policies.admission(self.fleet, spec, rng),
            )
            host.loads.on_membership(self._membership())
            for engine in self._engines.values():
                host.loads.on_report(engine.report(0.0))
            hosts.append(host)
        return hosts

    def _membership(self) -> MembershipView:
        return MembershipView(1, tuple(engine.server for engine in self._engines.values()), ())

    def _schedule_initial_events(self) -> None:
        for job in self.jobs:
            self._schedule(job.arrival_s, self._submit, job, False)
        for engine in self._engines.values():
            self._schedule(self._rng.uniform(0.0, REPORT_INTERVAL_S), self._emit_report, engine)
        for controller in self._controllers.values():
            self._schedule(PLAN_INTERVAL_S, self._plan_roles, controller)
        for fault in self.scenario.faults:
            self._schedule_fault(fault)

    def _schedule_fault(self, fault: Fault) -> None:
        if fault.target == "changing":
            self._crash_on_change = fault
            return
        names = list(self._engines)
        engine = self._engines[names[0]]
        if fault.kind == "crash":
            self._schedule(fault.at_s, self._crash, engine)
            self._schedule(fault.until_s, self._recover, engine)
        elif fault.kind == "withdraw":
            self._schedule(fault.at_s, self._withdraw, engine)
        elif fault.kind == "cut":
            self._schedule(fault.at_s, self._set_partition, self.fleet.regions[-1].name)
            self._schedule(fault.until_s, self._set_partition, "")

    def _schedule(self, at_s: float, action: Callable[..., None], *arguments: Any) -> None:
        self._event_count += 1
        heapq.heappush(self._events, (at_s, self._event_count, action, arguments))

    def _all_hosts(self) -> list[Host]:
        return [host for hosts in self._hosts.values() for host in hosts]

    # Callers

    def _submit(self, job: Job, honoured_retry_after: bool) -> None:
        self._submissions[job.number] += 1
        self.measures.count_submission(job, self._now_s, honoured_retry_after)
        host = self._rng.choice(self._hosts[job.region])
        call = evolve(
            job.call,
            received_s=self._now_s,
            deadline_s=self._now_s + job.call.class_spec.deadline_s,
        )
        host.retry_tokens = min(10.0, host.retry_tokens + RETRY_RATIO)
        controller = self._controllers[job.region]
        controller.prefill_demand_s += self.fleet.speed.prefill_work_s(job.prompt_tokens)
        controller.decode_demand_s += self.fleet.speed.decode_work_s(
            job.call.class_spec.expected_output_tokens
        )
        self._start_call(host, job, call, honoured_retry_after)

    def _start_call(self, host: Host, job: Job, call: Call, honoured_retry_after: bool) -> None:
        candidates = host.loads.candidates(self.fleet.pool)
        chosen = host.routing.choose(call, candidates, self._now_s)
        if chosen is None:
            self._on_refused(job, 1.0)
            return
        decode_engine = self._choose_decode_engine(host, call, chosen)
        refusal = host.admission.check_admission(
            call, chosen, self._now_s, honoured_retry_after, decode_engine
        )
        if honoured_retry_after:
            self.measures.count_retry_after(job, refusal is None)
        if refusal is not None:
            self._on_refused(job, refusal.retry_after_s)
            return
        host.admission.on_started(call, self._now_s)
        self._dispatch(host, _make_attempt(job, call, host, chosen, decode_engine))
        self._schedule(call.deadline_s, self._on_deadline, job, call)

    def _on_refused(self, job: Job, retry_after_s: float | None) -> None:
        self.measures.count_refusal(job)
        if self._submissions[job.number] >= MAX_SUBMISSIONS:
            return
        if job.ignores_retry_after:
            self._schedule(self._now_s + EARLY_RETRY_DELAY_S, self._submit, job, False)
        elif (
            job.honours_retry_after
            and retry_after_s is not None
            and self._submissions[job.number] == 1
        ):
            self._schedule(self._now_s + retry_after_s, self._submit, job, True)

    def _on_deadline(self, job: Job, call: Call) -> None:
        attempt = self._latest_attempts.get(job.number)
        if attempt is None or attempt.ended or attempt.call is not call:
            return
        for name in {attempt.prefill_engine, attempt.decode_engine}:
            engine = self._engines[name]
            engine.advance(self._now_s)
            engine.cancel(attempt)
            self._reschedule_engine(engine)
        self._end_attempt(attempt)
        self.measures.expired += 1
        self._host_of(attempt).admission.on_ended(call, 0, self._now_s)

    # Attempts

    def _dispatch(self, host: Host, attempt: JobAttempt) -> None:
        self._latest_attempts[attempt.job.number] = attempt
        server = self._engines[attempt.prefill_engine].server
        self._open_attempts[attempt.prefill_engine] += 1
        self._open_attempts[attempt.decode_engine] += 1
        prompt_tokens = attempt.job.prompt_tokens + attempt.resumed_tokens
        spec = attempt.call.class_spec
        host.loads.on_sent(attempt.prefill_engine, prompt_tokens, spec.priority)
        if attempt.decode_engine != attempt.prefill_engine:
            host.loads.on_sent(attempt.decode_engine, 0)
        cross_region = server.region != host.region
        if cross_region:
            tokens = attempt.job.prompt_tokens + attempt.job.output_tokens
            self.measures.cross_region_bytes += tokens * BYTES_PER_TOKEN
        if self._is_partitioned(host.region, server.region):
            self._schedule(self._now_s + CONNECT_TIMEOUT_S, self._on_attempt_failed, attempt)
            return
        self._schedule(
            self._now_s + (CROSS_REGION_LATENCY_S if cross_region else LOCAL_LATENCY_S),
            self._on_arrival,
            attempt,
        )

    def _choose_decode_engine(self, host: Host, call: Call, chosen: Candidate) -> Candidate | None:
        if chosen.report is None or chosen.report.role is not Role.PREFILL:
            return None
        decode_engines = host.loads.decode_engines(self.fleet.pool, chosen.server.data_centre)
        return host.routing.choose_decode_engine(call, decode_engines, self._now_s)

    def _on_arrival(self, attempt: JobAttempt) -> None:
        engine = self._engines[attempt.prefill_engine]
        if attempt.ended:
            return
        if not engine.up or engine.role is Role.DECODE:
            self._on_attempt_failed(attempt)
            return
        engine.advance(self._now_s)
        engine.add_prompt(attempt)
        self._reschedule_engine(engine)

    def _on_attempt_failed(self, attempt: JobAttempt) -> None:
        if attempt.ended:
            return
        self._end_attempt(attempt)
        host = self._host_of(attempt)
        host.loads.on_drain_changed(attempt.prefill_engine, True)
        self._schedule(
            self._now_s + FAILED_ENGINE_BACKOFF_S, self._end_backoff, host, attempt.prefill_engine
        )
        retried = self._retry(host, attempt)
        if not retried:
            self.measures.count_failure(attempt.job)
            host.admission.on_ended(attempt.call, 0, self._now_s)

    def _retry(self, host: Host, attempt: JobAttempt) -> bool:
        if attempt.earlier_attempts + 1 >= MAX_ATTEMPTS or host.retry_tokens < 1.0:
            return False
        candidates = host.loads.candidates(self.fleet.pool, frozenset((attempt.prefill_engine,)))
        chosen = host.routing.choose(attempt.call, candidates, self._now_s)
        if chosen is None:
            return False
        host.retry_tokens -= 1.0
        self.measures.retries += 1
        decode_engine = self._choose_decode_engine(host, attempt.call, chosen)
        new_attempt = _make_attempt(attempt.job, attempt.call, host, chosen, decode_engine)
        new_attempt.earlier_attempts = attempt.earlier_attempts + 1
        new_attempt.resumed_tokens = attempt.resumed_tokens
        new_attempt.first_token_s = attempt.first_token_s
        self._dispatch(host, new_attempt)
        return True

    def _end_backoff(self, host: Host, backend: str) -> None:
        is_changing_role = any(backend in each.pending_roles for each in self._controllers.values())
        if not is_changing_role:
            host.loads.on_drain_changed(backend, False)

    def _end_attempt(self, attempt: JobAttempt) -> None:
        attempt.ended = True
        self._open_attempts[attempt.prefill_engine] -= 1
        self._open_attempts[attempt.decode_engine] -= 1
        loads = self._host_of(attempt).loads
        loads.on_ended(attempt.prefill_engine)
        if attempt.decode_engine != attempt.prefill_engine:
            loads.on_ended(attempt.decode_engine)
        if attempt.prompt_tokens_left >= 0:
            self._report_first_token(attempt)

    def _report_first_token(self, attempt: JobAttempt) -> None:
        prompt_tokens = attempt.job.prompt_tokens + attempt.resumed_tokens
        loads = self._host_of(attempt).loads
        loads.on_first_token(
            attempt.prefill_engine, prompt_tokens, attempt.call.class_spec.priority
        )

    # Engines

    def _reschedule_engine(self, engine: SimulatedEngine) -> None:
        engine.start_queued()
        engine.schedule_version += 1
        at_s = engine.next_event_s()
        if at_s is not None:
            self._schedule(at_s, self._on_engine_event, engine, engine.schedule_version)

    def _on_engine_event(self, engine: SimulatedEngine, version: int) -> None:
        if version != engine.schedule_version:
            return
        engine.advance(self._now_s)
        prefilled = engine.take_prefilled()
        if prefilled is not None:
            self._on_prefilled(engine, prefilled)
        while (finished := engine.take_finished()) is not None:
            self._on_finished(finished)
        self._reschedule_engine(engine)

    def _on_prefilled(self, engine: SimulatedEngine, attempt: JobAttempt) -> None:
        if attempt.ended:
            return
        host = self._host_of(attempt)
        self._report_first_token(attempt)
        attempt.prompt_tokens_left = -1
        if attempt.first_token_s < 0.0:
            attempt.first_token_s = self._now_s + self._latency(attempt)
            host.admission.on_first_token(attempt.call, self._now_s)
        if attempt.job.output_tokens - attempt.resumed_tokens <= 1:
            self._on_finished(attempt)
        elif attempt.decode_engine == attempt.prefill_engine:
            engine.add_sequence(attempt)
        else:
            kv_transfer_s = attempt.job.prompt_tokens * KV_BYTES_PER_TOKEN / KV_BYTES_PER_S
            self._schedule(self._now_s + kv_transfer_s, self._on_kv_transferred, attempt)

    def _on_kv_transferred(self, attempt: JobAttempt) -> None:
        if attempt.ended:
            return
        engine = self._engines[attempt.decode_engine]
        if not engine.up:
            self._on_attempt_failed(attempt)
            return
        engine.advance(self._now_s)
        engine.add_sequence(attempt)
        self._reschedule_engine(engine)

    def _on_finished(self, attempt: JobAttempt) -> None:
        if attempt.ended:
            return
        self._end_attempt(attempt)
        self._host_of(attempt).admission.on_ended(
            attempt.call, attempt.job.output_tokens, self._now_s
        )
        self.measures.record_completion(attempt, self._now_s + self._latency(attempt))

    def _latency(self, attempt: JobAttempt) -> float:
        server = self._engines[attempt.prefill_engine].server
        return LOCAL_LATENCY_S + (
            CROSS_REGION_LATENCY_S if server.region != attempt.job.region else 0.0
        )

    def _host_of(self, attempt: JobAttempt) -> Host:
        return self._hosts[attempt.job.region][attempt.host_number]

    # Reports

    def _emit_report(self, engine: SimulatedEngine) -> None:
        self._schedule(self._now_s + REPORT_INTERVAL_S, self._emit_report, engine)
        if not engine.up:
            return
        engine.advance(self._now_s)
        report = engine.report(self._now_s)
        active_fault_kinds = {
            fault.kind
            for fault in self.scenario.faults
            if fault.at_s <= self._now_s < fault.until_s
        }
        for host in self._all_hosts():
            if self._is_partitioned(host.region, engine.server.region):
                continue
            if "missing" in active_fault_kinds and self._rng.random() < MISSING_REPORT_PROBABILITY:
                continue
            lag_s = self._rng.uniform(*REPORT_LAG_S)
            lag_s += LATE_REPORT_LAG_S if "late" in active_fault_kinds else 0.0
            self._schedule(self._now_s + lag_s, host.loads.on_report, report)

    # Roles

    def _plan_roles(self, controller: Controller) -> None:
        self._schedule(self._now_s + PLAN_INTERVAL_S, self._plan_roles, controller)
        demand = Demand(
            controller.prefill_demand_s / PLAN_INTERVAL_S,
            controller.decode_demand_s / PLAN_INTERVAL_S,
        )
        controller.prefill_demand_s, controller.decode_demand_s = 0.0, 0.0
        engines = [
            EngineRole(
                engine.server.name,
                controller.pending_roles.get(engine.server.name, engine.role),
                engine.server.name in controller.pending_roles,
                len(engine.batch),
            )
            for engine in self._engines.values()
            if engine.up
            and engine.server.region == controller.region
            and engine.server.liveness is Liveness.LIVE
        ]
        for change in controller.planner.plan(engines, demand, self._now_s):
            self._begin_role_change(controller, change)

    def _begin_role_change(self, controller: Controller, change: RoleChange) -> None:
        self.measures.role_changes += 1
        controller.pending_roles[change.backend] = change.role
        for host in self._all_hosts():
            host.loads.on_drain_changed(change.backend, True)
        self._schedule(self._now_s + DRAIN_POLL_S, self._poll_drain, controller, change)
        if self._crash_on_change is not None:
            self._schedule(self._now_s + 1.0, self._crash, self._engines[change.backend])
            self._schedule(self._now_s + 31.0, self._recover, self._engines[change.backend])
            self._crash_on_change = None

    def _poll_drain(self, controller: Controller, change: RoleChange) -> None:
        engine = self._engines[change.backend]
        if engine.up and self._open_attempts[change.backend] > 0:
            self._schedule(self._now_s + DRAIN_POLL_S, self._poll_drain, controller, change)
            return
        self._schedule(self._now_s + ROLE_CHANGE_S, self._complete_role_change, controller, change)

    def _complete_role_change(self, controller: Controller, change: RoleChange) -> None:
        engine = self._engines[change.backend]
        del controller.pending_roles[change.backend]
        if engine.up:
            engine.role = change.role
        for host in self._all_hosts():
            host.loads.on_report(engine.report(self._now_s))
            host.loads.on_drain_changed(change.backend, False)

    # Faults

    def _crash(self, engine: SimulatedEngine) -> None:
        engine.advance(self._now_s)
        lost_attempts = engine.crash()
        engine.up = False
        engine.schedule_version += 1
        for attempt in lost_attempts:
            self._schedule(self._now_s + LOCAL_LATENCY_S, self._on_attempt_failed, attempt)

    def _recover(self, engine: SimulatedEngine) -> None:
        engine.up = True
        engine.updated_s = self._now_s

    def _withdraw(self, engine: SimulatedEngine) -> None:
        engine.server = evolve(engine.server, liveness=Liveness.LEAVING)
        self._schedule(self._now_s + MEMBERSHIP_LAG_S, self._publish_membership)

    def _publish_membership(self) -> None:
        for host in self._all_hosts():
            host.loads.on_membership(self._membership())

    def _set_partition(self, region: str) -> None:
        self._partitioned_region = region
        for attempt in list(self._latest_attempts.values()):
            if not attempt.ended and self._is_partitioned(
                attempt.job.region, self._region_of(attempt.prefill_engine)
            ):
                self._on_attempt_failed(attempt)

    def _region_of(self, engine: str) -> str:
        return self._engines[engine].server.region

    def _is_partitioned(self, one: str, other: str) -> bool:
        return one != other and self._partitioned_region in (one, other)


def _make_attempt(
    job: Job, call: Call, host: Host, chosen: Candidate, decode_engine: Candidate | None
) -> JobAttempt:
    engine = chosen.server.name
    return JobAttempt(
        job, call, host.number, engine, decode_engine.server.name if decode_engine else engine
    )
