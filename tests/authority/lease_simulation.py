"""A simulation of leases in virtual time: hosts with drifting clocks, a log and one engine.

The engine ignores fencing numbers, so the order in which orders arrive at it shows whether orders
of two terms ever interleave.
"""

import random
from typing import Final

from attrs import define, field

from berylquay.component_messages import RecordAppendRequested, RecordsRead
from berylquay.decisions.controller_lease import LeaseManager, LeaseTiming
from berylquay.standalone.records import LogRecord

# Clocks drift more than real ones, so that code that doesn't allow for drift fails.
TIMING: Final = LeaseTiming(clock_drift=0.1)
STEP_S: Final = 0.5
LENGTH_S: Final = 150.0
RETENTION_S: Final = 60.0


@define
class Host:
    """One process that may claim the lease, with a clock that runs at its own rate."""

    name: str
    lease_manager: LeaseManager
    rate: float
    origin_s: float
    paused_until_s: float = 0.0
    disconnected_until_s: float = 0.0

    def clock_s(self, real_s: float) -> float:
        """Returns the host's monotonic time at a real time."""
        return self.origin_s + real_s * self.rate


@define
class LeaseSimulation:
    """The log, the clocks, the faults and the engine around the lease managers."""

    rng: random.Random
    # Whether an order is dropped when it would be written after the end of the lease.
    checks_expiry_at_write: bool
    hosts: list[Host] = field(factory=list)
    # Appended records with the real time of their append.
    log: list[tuple[float, LogRecord]] = field(factory=list)
    # Appends in flight: real time of arrival and the request.
    appends_in_flight: list[tuple[float, RecordAppendRequested]] = field(factory=list)
    # Real time of arrival and term of each order.
    order_arrivals: list[tuple[float, int]] = field(factory=list)
    log_away_until_s: float = 0.0
    hosts_started: int = 0

    def run(self, host_count: int) -> list[int]:
        """Runs the simulation and returns the terms of the orders, sorted by arrival."""
        self.hosts = [self._start_host(0.0) for _ in range(host_count)]
        for step in range(int(LENGTH_S / STEP_S)):
            self._step(step * STEP_S)
        return [term for _, term in sorted(self.order_arrivals)]

    def _start_host(self, real_s: float) -> Host:
        self.hosts_started += 1
        name = f"host-{self.hosts_started}"
        drift = TIMING.clock_drift
        lease_manager = LeaseManager("fes-1", name, TIMING, random.Random(self.rng.random()))
        return Host(
            name,
            lease_manager,
            rate=1.0 + self.rng.choice((-drift, 0.0, drift)),
            origin_s=self.rng.uniform(0.0, 1000.0),
            paused_until_s=real_s,
        )

    def _step(self, real_s: float) -> None:
        if self.rng.random() < 0.01:
            self.log_away_until_s = real_s + self.rng.choice((3.0, 15.0, 40.0))
        self._deliver_appends(real_s)
        for index, host in enumerate(self.hosts):
            self._inject_host_fault(index, host, real_s)
            if host.paused_until_s <= real_s:
                self._run_host(host, real_s)

    def _inject_host_fault(self, index: int, host: Host, real_s: float) -> None:
        draw = self.rng.random()
        if draw < 0.01:
            host.paused_until_s = real_s + self.rng.choice((2.0, 12.0, 30.0))
        elif draw < 0.013:
            self.hosts[index] = self._start_host(real_s)
        elif draw < 0.02:
            host.disconnected_until_s = real_s + self.rng.choice((4.0, 20.0))

    def _run_host(self, host: Host, real_s: float) -> None:
        reachable = max(self.log_away_until_s, host.disconnected_until_s) <= real_s
        if reachable and self.rng.random() < 0.8:
            self._read(host, real_s)
        requests = list(host.lease_manager.on_tick(host.clock_s(real_s)))
        if self.rng.random() < 0.002:
            requests += host.lease_manager.release(host.clock_s(real_s))
        for request in requests:
            self._send_append(host, request, real_s, reachable)
        self._send_order_at_random(host, real_s)

    def _read(self, host: Host, real_s: float) -> None:
        oldest_s = real_s - RETENTION_S
        retained = [record for appended_s, record in self.log if appended_s >= oldest_s]
        next_offset = len(self.log) + 1
        first_offset = retained[0].offset if retained else next_offset
        now_s = host.clock_s(real_s)
        read = RecordsRead(
            host.lease_manager.stream,
            tuple(retained),
            first_offset,
            next_offset,
            sent_s=now_s - 0.1,
        )
        host.lease_manager.on_records(read, now_s)

    def _send_append(
        self, host: Host, request: RecordAppendRequested, real_s: float, reachable: bool
    ) -> None:
        draw = self.rng.random()
        if draw < 0.05 or not reachable:
            if self.rng.random() < 0.5:
                host.lease_manager.on_append_failed(request.record.record_id)
            return
        delay_s = self.rng.choice((0.0, 0.1, 1.0, 9.0, 25.0) if draw < 0.3 else (0.0, 0.1))
        self.appends_in_flight.append((real_s + delay_s, request))
        if draw > 0.9:
            self.appends_in_flight.append((real_s + 2.0 * delay_s + 0.5, request))

    def _deliver_appends(self, real_s: float) -> None:
        due = sorted(
            (item for item in self.appends_in_flight if item[0] <= real_s), key=lambda item: item[0]
        )
        self.appends_in_flight = [item for item in self.appends_in_flight if item[0] > real_s]
        for _, request in due:
            new_record = request.record
            offset = len(self.log) + 1
            record = LogRecord(offset, new_record.record_id, new_record.kind, new_record.fields)
            self.log.append((real_s, record))

    def _send_order_at_random(self, host: Host, real_s: float) -> None:
        authority = host.lease_manager.authority(host.clock_s(real_s))
        if authority is None or self.rng.random() < 0.5:
            return
        # A pause between the check and the write.
        write_s = real_s + (self.rng.choice((1.0, 8.0, 25.0)) if self.rng.random() < 0.1 else 0.0)
        host.paused_until_s = max(host.paused_until_s, write_s)
        if self.checks_expiry_at_write and host.clock_s(write_s) >= authority.expires_s:
            return
        arrival_s = write_s + self.rng.uniform(0.0, TIMING.order_margin_s)
        self.order_arrivals.append((arrival_s, authority.term))
