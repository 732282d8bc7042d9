"""Costs of the authority lease and of load reports: bytes, appends and processor time.

`python -m bench.authority_costs` prints the table; with `--wire` it also counts the bytes of the
polls on the loopback device, which is accurate only while nothing else uses that device.
"""

import argparse
import random
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Final

from attrs import frozen
from circuits import BaseComponent, handler

from berylquay.backends.load_poller import LoadPoller
from berylquay.component_messages import LoadReported, MembershipRead, RecordsRead
from berylquay.decisions.controller_lease import Authority, LeaseManager, LeaseTiming
from berylquay.decisions.deployment import Configuration, Deployment, ModelSpec, PoolSpec
from berylquay.decisions.engine_orders import EngineState
from berylquay.decisions.fleet import (
    Address,
    BackendKind,
    BackendServer,
    EntryHost,
    MembershipView,
    Role,
)
from berylquay.decisions.load_polling import PollLimits, PollSchedule
from berylquay.decisions.order_commands import (
    OrderLimits,
)
from berylquay.decisions.order_controller import OrderController
from berylquay.net.event_loop import EventLoop
from berylquay.net.message_bus import BUS, post
from berylquay.net.process_messages import Tick
from berylquay.net.tcp_connections import TcpConnections
from berylquay.net.ticker import Ticker
from berylquay.standalone.records import LogRecord, encode_records
from examples.processes import Process, Processes

DATA_CENTRES: Final = 29
ENGINE_COUNTS: Final = (5, 50, 414)
PLAN_REPEATS: Final = 200
POLLING_S: Final = 8.0
POLLS_PER_S: Final = 100.0
# Covers the network namespace of this process; /sys shows the one in which it was mounted.
NETWORK_STATISTICS: Final = Path("/proc/net/dev")
SENT_BYTES_COLUMN: Final = 9


def loopback_bytes() -> int:
    """Returns the bytes that the loopback device has sent."""
    lines = NETWORK_STATISTICS.read_text(encoding="utf-8").splitlines()
    (line,) = [line for line in lines if line.strip().startswith("lo:")]
    return int(line.split()[SENT_BYTES_COLUMN])


def make_membership(count: int, address: Address) -> MembershipView:
    """Returns a membership of `count` engines of one pool, all at one address."""
    backends = tuple(
        BackendServer(f"e{n}", BackendKind.ENGINE, address, "r", "dc", "lm") for n in range(count)
    )
    return MembershipView(1, backends, (EntryHost("h", address, "r", "dc"),))


def idle_controller(count: int) -> OrderController:
    """Returns a controller that has read the state of every engine as idle."""
    controller = OrderController("dc", "h", OrderLimits())
    controller.on_membership(make_membership(count, Address("127.0.0.1", 1)))
    pool = PoolSpec("lm", ("m",), 1)
    deployment = Deployment("d", models=(ModelSpec("m", "1"),), pools=(pool,))
    controller.on_configuration(Configuration(1, (deployment,)))
    controller.on_authority(Authority(1, 1e9), 0.0)
    for now_s in (0.0, 1.0):
        for number in range(count):
            state = EngineState(f"e{number}", "i", Role.MIXED, "m@1", frozenset(), 0, "", "")
            controller.on_engine_state(state.backend, state, now_s, now_s)
    return controller


def processor_ms_per_call(action: Callable[[float], object]) -> float:
    """Returns the mean processor time of one call in milliseconds; each gets a later time."""
    started_s = time.process_time()
    for number in range(PLAN_REPEATS):
        action(2.0 + 0.25 * number)
    return (time.process_time() - started_s) / PLAN_REPEATS * 1000.0


def measure_plans() -> None:
    """Prints the cost of one planning tick over all engines."""
    for count in ENGINE_COUNTS:
        cost_ms = processor_ms_per_call(idle_controller(count).on_tick)
        print(f"plan over {count} engines: {cost_ms:.3f} ms, {cost_ms * 0.4:.2f}% of a core at 4/s")


def measure_lease() -> None:
    """Prints the appends and bytes of lease renewals, and the cost of a tick."""
    timing = LeaseTiming()
    lease_manager = LeaseManager("dc-29", "host-340-0123abcd", timing, random.Random(1))
    lease_manager.on_tick(0.0)
    (claim,) = lease_manager.on_tick(100.0)
    record = claim.record
    log_record = LogRecord(1, record.record_id, record.kind, record.fields)
    lease_manager.on_records(RecordsRead(lease_manager.stream, (log_record,), 1, 2, 100.0), 100.0)
    (renewal,) = lease_manager.on_tick(100.0 + timing.renewal_interval_s)
    size = len(encode_records([renewal.record]))
    appends = DATA_CENTRES / timing.renewal_interval_s
    print(f"renewal: {size} bytes, {appends:.1f} appends/s for {DATA_CENTRES} data centres")
    print(f"renewals read by each host: {size / timing.renewal_interval_s:.0f} bytes/s of records")
    cost_ms = processor_ms_per_call(lease_manager.on_tick)
    print(f"lease tick: {cost_ms:.4f} ms, {cost_ms * 4.0:.2f}% of a core at 40/s")


class ReportCounter(BaseComponent):
    """Counts load reports and stops the loop after POLLING_S."""

    channel = BUS

    # Load reports received.
    reports: int
    # Monotonic time at which the loop stops.
    _end_s: float

    def __init__(self) -> None:
        super().__init__()
        self.reports = 0
        self._end_s = time.monotonic() + POLLING_S

    @handler("LoadReported")
    def _on_load_reported(self, _message: LoadReported) -> None:
        self.reports += 1

    @handler("Tick")
    def _on_tick(self, message: Tick) -> None:
        if message.now_s >= self._end_s:
            self.root.stop()


@frozen
class LoopCost:
    """Costs of one run of the event loop."""

    processor_s: float
    wire_bytes: int
    reports: int


def run_loop(engine: Process, polls_per_s: float) -> LoopCost:
    """Runs an event loop for POLLING_S, with a load poller if `polls_per_s` is not 0."""
    loop = EventLoop()
    Ticker().register(loop)
    outbound = TcpConnections(loop).register(loop)
    if polls_per_s:
        limits = PollLimits(max_engines=32, max_polls_per_s=polls_per_s, min_interval_s=0.01)
        LoadPoller(outbound, PollSchedule("h", "dc", limits)).register(loop)
        post(loop, MembershipRead(make_membership(32, Address("127.0.0.1", engine.port))))
    counter = ReportCounter().register(loop)
    bytes_before = loopback_bytes()
    started_s = time.process_time()
    loop.run()
    processor_s = time.process_time() - started_s
    return LoopCost(processor_s, loopback_bytes() - bytes_before, counter.reports)


def measure_reports(wire: bool) -> None:
    """Prints the cost of polling and processing one load report."""
    with tempfile.TemporaryDirectory() as directory:
        processes = Processes(Path(directory))
        engine = processes.start_standin("e", "engine", "--name", "e", "--model", "m")
        try:
            idle = run_loop(engine, 0.0)
            busy = run_loop(engine, POLLS_PER_S)
        finally:
            processes.stop_all()
    cost_ms = (busy.processor_s - idle.processor_s) / busy.reports * 1000.0
    rate = PollLimits().max_polls_per_s
    print(f"{busy.reports} reports in {POLLING_S:.0f} s")
    print(f"report: {cost_ms:.3f} ms, {cost_ms * rate / 10:.2f}% of a core at {rate:.0f}/s")
    if wire:
        size = busy.wire_bytes / busy.reports
        print(f"on the wire: {size:.0f} bytes each, {size * rate / 1000:.1f} KB/s at {rate:.0f}/s")


def main() -> None:
    """Prints all figures."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--wire", action="store_true")
    wire = parser.parse_args().wire
    measure_lease()
    measure_plans()
    measure_reports(wire)


if __name__ == "__main__":
    main()
