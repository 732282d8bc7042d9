"""A world in virtual time for leases: hosts with drifting clocks, a log, and one engine's arrivals.

The engine ignores fencing numbers, so its arrivals show whether two authorities ever interleave.
"""

import random
from typing import Final

from attrs import define, field

from berylquay.component_messages import RecordAppendRequested, RecordsRead
from berylquay.decisions.controller_lease import LeaseManager, LeaseTiming
from berylquay.standalone.records import LogRecord

# Clocks drift more than in truth, so that a missing allowance for it is seen.
LIMITS: Final = LeaseTiming(clock_drift=0.1)
STEP_S: Final = 0.5
LENGTH_S: Final = 150.0
RETENTION_S: Final = 60.0


@define
class Host:
    """One process that may claim the lease; its clock runs at its own rate."""

    name: str
    keeper: LeaseManager
    rate: float
    origin_s: float
    paused_until_s: float = 0.0
    cut_until_s: float = 0.0

    def clock_s(self, real_s: float) -> float:
        """Returns the host's monotonic time."""
        return self.origin_s + real_s * self.rate


@define
class World:
    """Everything outside the keepers."""

    rng: random.Random
    # Whether an order is dropped when its write comes after the end of the lease.
    guarded: bool
    hosts: list[Host] = field(factory=list)
    # Appended records with the real time of their append.
    log: list[tuple[float, LogRecord]] = field(factory=list)
    # Appends under way: real time of arrival and the request.
    under_way: list[tuple[float, RecordAppendRequested]] = field(factory=list)
    # Real time of arrival and term of each order.
    arrivals: list[tuple[float, int]] = field(factory=list)
    away_until_s: float = 0.0
    started: int = 0

    def run(self, host_count: int) -> list[int]:
        """Runs the world to its end and returns the terms of the orders as they arrived."""
        self.hosts = [self._start_host(0.0) for _ in range(host_count)]
        for step in range(int(LENGTH_S / STEP_S)):
            self._step(step * STEP_S)
        return [term for _, term in sorted(self.arrivals)]

    def _start_host(self, real_s: float) -> Host:
        self.started += 1
        name = f"host-{self.started}"
        drift = LIMITS.clock_drift
        keeper = LeaseManager("fes-1", name, LIMITS, random.Random(self.rng.random()))
        return Host(
            name,
            keeper,
            rate=1.0 + self.rng.choice((-drift, 0.0, drift)),
            origin_s=self.rng.uniform(0.0, 1000.0),
            paused_until_s=real_s,
        )

    def _step(self, real_s: float) -> None:
        if self.rng.random() < 0.01:
            self.away_until_s = real_s + self.rng.choice((3.0, 15.0, 40.0))
        self._land_appends(real_s)
        for index, host in enumerate(self.hosts):
            self._upset(index, host, real_s)
            if host.paused_until_s <= real_s:
                self._run_host(host, real_s)

    def _upset(self, index: int, host: Host, real_s: float) -> None:
        lot = self.rng.random()
        if lot < 0.01:
            host.paused_until_s = real_s + self.rng.choice((2.0, 12.0, 30.0))
        elif lot < 0.013:
            self.hosts[index] = self._start_host(real_s)
        elif lot < 0.02:
            host.cut_until_s = real_s + self.rng.choice((4.0, 20.0))

    def _run_host(self, host: Host, real_s: float) -> None:
        reachable = max(self.away_until_s, host.cut_until_s) <= real_s
        if reachable and self.rng.random() < 0.8:
            self._read(host, real_s)
        requests = list(host.keeper.on_tick(host.clock_s(real_s)))
        if self.rng.random() < 0.002:
            requests += host.keeper.release(host.clock_s(real_s))
        for request in requests:
            self._send_append(host, request, real_s, reachable)
        self._maybe_order(host, real_s)

    def _read(self, host: Host, real_s: float) -> None:
        oldest_s = real_s - RETENTION_S
        kept = [record for appended_s, record in self.log if appended_s >= oldest_s]
        next_offset = len(self.log) + 1
        first_offset = kept[0].offset if kept else next_offset
        now_s = host.clock_s(real_s)
        read = RecordsRead(
            host.keeper.stream, tuple(kept), first_offset, next_offset, sent_s=now_s - 0.1
        )
        host.keeper.on_records(read, now_s)

    def _send_append(
        self, host: Host, request: RecordAppendRequested, real_s: float, reachable: bool
    ) -> None:
        lot = self.rng.random()
        if lot < 0.05 or not reachable:
            if self.rng.random() < 0.5:
                host.keeper.on_append_failed(request.record.record_id)
            return
        delay_s = self.rng.choice((0.0, 0.1, 1.0, 9.0, 25.0) if lot < 0.3 else (0.0, 0.1))
        self.under_way.append((real_s + delay_s, request))
        if lot > 0.9:
            self.under_way.append((real_s + 2.0 * delay_s + 0.5, request))

    def _land_appends(self, real_s: float) -> None:
        landing = sorted(
            (item for item in self.under_way if item[0] <= real_s), key=lambda item: item[0]
        )
        self.under_way = [item for item in self.under_way if item[0] > real_s]
        for _, request in landing:
            new = request.record
            offset = len(self.log) + 1
            record = LogRecord(offset, new.record_id, new.kind, new.fields)
            self.log.append((real_s, record))

    def _maybe_order(self, host: Host, real_s: float) -> None:
        authority = host.keeper.authority(host.clock_s(real_s))
        if authority is None or self.rng.random() < 0.5:
            return
        # A pause between the check and the write.
        write_s = real_s + (self.rng.choice((1.0, 8.0, 25.0)) if self.rng.random() < 0.1 else 0.0)
        host.paused_until_s = max(host.paused_until_s, write_s)
        if self.guarded and host.clock_s(write_s) >= authority.expires_s:
            return
        arrival_s = write_s + self.rng.uniform(0.0, LIMITS.order_margin_s)
        self.arrivals.append((arrival_s, authority.term))
