"""Reports to the platform how many requests of each tenant began to run in each window.

Every host counts its own requests and sends the counts to the collectors. One of them writes the
sums to the store and then reports them, under a claim; the others take over if it fails.
"""

import json
import time
import uuid
from collections.abc import Callable, Mapping
from random import Random
from typing import Final

import logbook
from attrs import frozen

from berylquay.decisions.arrival_bounds import ArrivalBounds
from berylquay.decisions.duties.collectors import CollectorChoice
from berylquay.decisions.duties.true_time import TrueTime
from berylquay.decisions.duties.usage_counts import (
    KEPT_WINDOWS,
    REPORTED_WINDOWS,
    CollectedUsage,
    UsageCounter,
)
from berylquay.decisions.duties.usage_schedule import CollectorView, UsageAction, UsageSchedule
from berylquay.decisions.fleet import Address
from berylquay.decisions.order_claims import ClaimTimes
from berylquay.net.clocks import boot_clock_s
from berylquay.platform.duty_client import CALL_TIMEOUT_S, DutyClient, DutyOutcome
from berylquay.platform.store_client import StoreClient
from berylquay.platform.wire_names import TOPIC_USAGE, USAGE_COUNTS, USAGE_PATH, USAGE_WINDOW
from berylquay.relay.claimant import Claimant
from berylquay.relay.metrics import RelayMetrics
from berylquay.relay.peer_exchange import PeerExchange
from berylquay.relay.usage_messages import (
    CollectorAnswer,
    UsageCounts,
    decode_message,
    encode_answer,
    encode_counts,
)
from berylquay.settings.relay_settings import DutyOptions, RelayOptions

# Validity of a claim: enough for a call and its timeout.
CLAIM_DURATION_S: Final = 2.0
# Time for which a call may be delayed in transit. Added to the lease, it is the time after a
# claim's end in which no other holder may report.
CALL_DELAY_S: Final = 2.0
# Interval between the sending of counts: the least, and that per host of the fleet.
MIN_SEND_INTERVAL_S: Final = 0.25
SEND_INTERVAL_PER_HOST_S: Final = 0.003
# Time over which the hosts spread what they send after a window's end, per host and at most.
END_SPREAD_PER_HOST_S: Final = 0.002
MAX_END_SPREAD_S: Final = 0.6
# Time after a window's end for which its counts are sent again.
SEND_AGAIN_S: Final = 1.5
# Interval between messages to hosts that may be gone.
ASK_INTERVAL_S: Final = 2.0
# Interval between checks of what to send and to report, and between reads of the topic while a
# record is due.
STEP_INTERVAL_S: Final = 0.1
READ_INTERVAL_S: Final = 0.5
# Least time between two answers to one host.
ANSWER_INTERVAL_S: Final = 0.2
# Time without counts of a process after which none are expected.
SOURCE_TTL_S: Final = 3.0
# Time after which hosts and processes that were not heard of are forgotten.
FORGET_AFTER_S: Final = 15.0
# Least validity of a claim with which a call is sent.
MIN_VALIDITY_S: Final = CALL_TIMEOUT_S + 0.05
# Time for which all calls fail before another collector should try, and time for which it should.
# Meanwhile the API may be down for all, and a claim of another collector costs a takeover's delay.
FAILING_TO_YIELD_S: Final = 8.0
YIELD_S: Final = 15.0
# Time for which the sums of a window are not computed again while its record can't be written.
SUMS_TTL_S: Final = 1.0
# Raised by records that are not JSON of the expected form.
RECORD_ERRORS: Final = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)
_log = logbook.Logger("usage")


@frozen
class UsageOptions:
    """Settings of the usage reports of one process."""

    # Name of this host, as the API knows it, and unique name of this process in claims.
    host: str
    incarnation: str
    # Length of a window, and time after its end at which its report is due.
    window_s: float
    due_s: float
    # Time after the last call of a holder for which no other host may call.
    lease_s: float


@frozen
class UsageClocks:
    """Clocks of a host."""

    # Wall clock, in seconds since 1970.
    wall_s: Callable[[], float]
    # Monotonic clock that also runs while the host is suspended.
    boot_s: Callable[[], float]


@frozen
class UsageLinks:
    """What connects the reporter with the other hosts, the store and the API."""

    # Returns the addresses of the other hosts, by name.
    get_hosts: Callable[[], Mapping[str, Address]]
    send: Callable[[bytes, Address], None]
    store_client: StoreClient
    client: DutyClient


class UsageReporter:
    """Counts, sends counts, and collects and reports them if this host is a collector."""

    _options: UsageOptions
    _links: UsageLinks
    _claimant: Claimant
    _claim_times: ClaimTimes
    # Holder of the newest claim that was read or made, and when.
    _newest_claim: tuple[str, float]
    # Whether the store has stated an era, so that it may come back from an older copy.
    _has_store_eras: bool
    _clocks: UsageClocks
    _metrics: RelayMetrics | None
    _rng: Random
    _true_time: TrueTime
    _counter: UsageCounter
    _collected: CollectedUsage
    _collector_choice: CollectorChoice
    # None before the first tick.
    _schedule: UsageSchedule | None
    # Collectors to which the last counts were sent.
    _last_collectors: frozenset[str]
    # Monotonic times at which counts of each process arrived last, and of the last answer to each
    # host.
    _sources_heard_s: dict[str, float]
    _answered_s: dict[str, float]
    # Window of the last tick.
    _present_id: int | None
    # Window that a call in flight reports, or None.
    _reporting_id: int | None
    # Window, payload of its record, and the monotonic time at which the sums were computed.
    _sums: tuple[int, bytes, float] | None
    # Times of the clock that also runs while the host is suspended.
    _next_step_s: float
    _next_send_s: float
    _next_ask_s: float
    _next_read_s: float
    _failing_since_s: float | None
    _yields_until_s: float

    def __init__(
        self,
        options: UsageOptions,
        links: UsageLinks,
        clocks: UsageClocks,
        metrics: RelayMetrics | None,
        rng: Random,
    ) -> None:
        self._options = options
        self._links = links
        self._claim_times = ClaimTimes(CLAIM_DURATION_S, options.lease_s + CALL_DELAY_S)
        self._claimant = Claimant(
            TOPIC_USAGE,
            options.incarnation,
            self._claim_times,
            links.store_client,
            rng,
            listener=self,
            clock=clocks.boot_s,
        )
        self._clocks = clocks
        self._metrics = metrics
        self._rng = rng
        self._true_time = TrueTime()
        self._counter = UsageCounter()
        self._collected = CollectedUsage()
        self._collector_choice = CollectorChoice(options.host)
        self._schedule = None
        self._newest_claim = ("", float("-inf"))
        self._has_store_eras = False
        self._last_collectors = frozenset()
        self._sources_heard_s = {}
        self._answered_s = {}
        self._present_id = None
        self._reporting_id = None
        self._sums = None
        self._next_send_s = float("-inf")
        self._next_ask_s = float("-inf")
        self._next_step_s = float("-inf")
        self._next_read_s = float("-inf")
        self._failing_since_s = None
        self._yields_until_s = float("-inf")

    def on_request_began(self, tenant: str) -> None:
        """Counts a request that began to run at a server."""
        if self._schedule is not None:
            self._counter.count(tenant, self._schedule.window_of(self._true_s()))

    def on_store_era(self, era: int) -> None:
        """Gives up a claim of a former era; what was read before is known further on."""
        self._claimant.on_store_era(era)
        self._has_store_eras = True
        # Also with the first era that this process sees, which may have begun just before.
        if self._schedule is not None:
            self._schedule.on_store_restored(self._true_s())

    def on_tick(self, now_s: float) -> None:
        """Sends counts, and takes the next step of a report, when due.

        Args:
            now_s: Time of the host's monotonic clock.
        """
        clock_s = self._clocks.boot_s()
        self._true_time.on_tick(self._clocks.wall_s(), clock_s)
        self._claimant.on_tick(now_s)
        if clock_s < self._next_step_s:
            return
        self._next_step_s = clock_s + STEP_INTERVAL_S
        true_s = self._true_s()
        schedule = self._schedule
        if schedule is None:
            schedule = self._schedule = self._make_schedule(true_s)
        self._drop_old_windows(schedule, true_s, clock_s)
        collectors, besides = self._collector_choice.choose(self._links.get_hosts(), clock_s)
        self._send_when_due(schedule, collectors, besides, true_s, clock_s)
        if self._options.host in collectors:
            rank = collectors.index(self._options.host)
            self._act(schedule, rank, true_s, clock_s, now_s)

    def send_last_counts(self) -> None:
        """Sends all recent counts to the collectors, as the process ends."""
        if self._schedule is not None:
            window_id = self._schedule.window_of(self._true_s())
            for collector in self._last_collectors:
                self._send_counts(collector, window_id, REPORTED_WINDOWS, has_ended=True)

    # Exchange with the other hosts.

    def on_datagram(self, data: bytes, _arrival: ArrivalBounds) -> None:
        """Takes counts of another host, or the answer of one."""
        message = decode_message(data)
        if message is None:
            _log.warning("unreadable usage datagram", size_bytes=len(data))
            return
        clock_s = self._clocks.boot_s()
        self._true_time.on_clock(message.host, message.time_s, clock_s)
        if isinstance(message, CollectorAnswer):
            self._collector_choice.on_heard(message.host)
            if self._schedule is not None:
                self._schedule.done.update(message.done)
            return
        source = f"{message.host}/{message.incarnation}"
        self._sources_heard_s[source] = clock_s
        self._collector_choice.on_heard(message.host)
        if self._is_kept(message.window_id):
            self._collected.on_counts(
                source,
                message.window_id,
                message.counts,
                total=message.total,
                is_final=message.is_final,
            )
        self._answer(message.host, clock_s)

    def _answer(self, host: str, clock_s: float) -> None:
        address = self._links.get_hosts().get(host)
        last_s = self._answered_s.get(host, float("-inf"))
        if address is None or clock_s - last_s < ANSWER_INTERVAL_S:
            return
        self._answered_s[host] = clock_s
        done = () if self._schedule is None else tuple(sorted(self._schedule.done))
        answer = CollectorAnswer(self._options.host, self._own_time_s(), done)
        self._links.send(encode_answer(answer), address)

    def _send_when_due(
        self,
        schedule: UsageSchedule,
        collectors: list[str],
        besides: list[str],
        true_s: float,
        clock_s: float,
    ) -> None:
        host_count = len(self._links.get_hosts()) + 1
        present_id = schedule.window_of(true_s)
        if self._present_id is not None and present_id != self._present_id:
            spread_s = min(MAX_END_SPREAD_S, END_SPREAD_PER_HOST_S * host_count)
            self._next_send_s = clock_s + self._rng.uniform(0.0, spread_s)
        self._present_id = present_id
        if clock_s < self._next_send_s:
            return
        interval_s = max(MIN_SEND_INTERVAL_S, SEND_INTERVAL_PER_HOST_S * host_count)
        self._next_send_s = clock_s + interval_s * self._rng.uniform(0.8, 1.2)
        is_just_ended = true_s < present_id * schedule.window_s + SEND_AGAIN_S
        window_count = 2 if is_just_ended else 1
        for collector in collectors:
            is_new = collector not in self._last_collectors
            count = REPORTED_WINDOWS if is_new else window_count
            self._send_counts(collector, present_id, count, clock_s=clock_s)
        self._last_collectors = frozenset(collectors)
        if besides and clock_s >= self._next_ask_s:
            self._next_ask_s = clock_s + ASK_INTERVAL_S
            for host in besides:
                self._send_counts(host, present_id, 1, clock_s=clock_s)

    def _send_counts(
        self,
        host: str,
        present_id: int,
        window_count: int,
        *,
        has_ended: bool = False,
        clock_s: float | None = None,
    ) -> None:
        address = self._links.get_hosts().get(host)
        if address is None:
            return
        if clock_s is not None:
            self._collector_choice.on_asked(host, clock_s)
        for window_id in range(present_id - window_count + 1, present_id + 1):
            counts = self._counter.counts(window_id)
            message = UsageCounts(
                self._options.host,
                self._options.incarnation,
                self._own_time_s(),
                window_id,
                is_final=has_ended or window_id < present_id,
                total=sum(counts.values()),
                counts=counts,
            )
            for data in encode_counts(message):
                self._links.send(data, address)

    # Records and reports.

    def on_claim(self, holder: str, payload: bytes, offset: int, now_s: float) -> None:
        """Takes a record of the topic; the first one of a window fixes its counts."""
        self._newest_claim = (holder, self._clocks.boot_s())
        if self._schedule is None:
            return
        try:
            fields = json.loads(payload)
            window_id = int(fields[USAGE_WINDOW])
            counts = {str(name): int(count) for name, count in fields[USAGE_COUNTS].items()}
        except RECORD_ERRORS as error:
            _log.warning("unreadable usage record", holder=holder, offset=offset, detail=str(error))
            return
        is_own = holder == self._options.incarnation
        if self._is_kept(window_id):
            self._schedule.on_record(window_id, counts, is_own=is_own)

    def _act(
        self, schedule: UsageSchedule, rank: int, true_s: float, clock_s: float, now_s: float
    ) -> None:
        unrecorded_id = schedule.oldest_unrecorded(true_s)
        is_read_due = not self._claimant.has_read_to_end or (
            unrecorded_id is not None and clock_s >= self._next_read_s
        )
        if is_read_due:
            # The record of another collector may be there by now.
            self._next_read_s = clock_s + READ_INTERVAL_S
            self._claimant.refresh(now_s)
            return
        view = CollectorView(
            rank,
            complete_id=unrecorded_id if self._is_complete(unrecorded_id, clock_s) else None,
            is_isolated=self._is_isolated(clock_s),
            is_holder=self._is_holder(clock_s),
            yields=clock_s < self._yields_until_s,
        )
        action = schedule.next_action(view, true_s)
        if action is None:
            return
        window_id, step = action
        if step is UsageAction.RECORD:
            self._claimant.advance(self._record_payload(window_id, clock_s), now_s)
        else:
            self._report(schedule, window_id, now_s)

    def _report(self, schedule: UsageSchedule, window_id: int, now_s: float) -> None:
        """Sends a recorded window under a valid claim; claims if there is none."""
        claimant, client = self._claimant, self._links.client
        record = schedule.records[window_id]
        fencing_number = claimant.fencing_number()
        if fencing_number is None:
            if client.may_send(USAGE_PATH, None):
                claimant.advance(_encode_record(window_id, record.counts), now_s)
            return
        can_send = (
            self._reporting_id is None
            and claimant.remaining_s() >= MIN_VALIDITY_S
            and not client.busy
            and client.may_send(USAGE_PATH, fencing_number)
        )
        if not can_send:
            return

        def on_result(outcome: DutyOutcome) -> None:
            self._reporting_id = None
            self._on_reported(window_id, record.counts, fencing_number, outcome)

        self._reporting_id = window_id
        client.report_usage(self._options.host, fencing_number, window_id, record.counts, on_result)

    def _on_reported(
        self, window_id: int, counts: Mapping[str, int], term: int, outcome: DutyOutcome
    ) -> None:
        schedule = self._schedule
        if self._metrics is not None:
            self._metrics.on_usage_reported(outcome.value)
        if schedule is None:
            return
        _log.info(
            "usage reported",
            window=window_id,
            outcome=outcome.value,
            tenants=len(counts),
            requests=sum(counts.values()),
            term=term,
            after_s=round(self._true_s() - schedule.end_s(window_id), 3),
        )
        if outcome in (DutyOutcome.FAILED, DutyOutcome.RATE_LIMITED):
            clock_s = self._clocks.boot_s()
            if self._failing_since_s is None:
                self._failing_since_s = clock_s
            elif clock_s - self._failing_since_s >= FAILING_TO_YIELD_S:
                self._failing_since_s = None
                self._yields_until_s = clock_s + YIELD_S
            return
        self._failing_since_s = None
        self._yields_until_s = float("-inf")
        schedule.done.add(window_id)

    def _record_payload(self, window_id: int, clock_s: float) -> bytes:
        if self._sums is not None:
            summed_id, payload, computed_s = self._sums
            if summed_id == window_id and clock_s - computed_s < SUMS_TTL_S:
                return payload
        self._add_own_counts(window_id)
        payload = _encode_record(window_id, self._collected.sums(window_id))
        self._sums = (window_id, payload, clock_s)
        return payload

    def _add_own_counts(self, window_id: int) -> None:
        counts = self._counter.counts(window_id)
        self._collected.on_counts(
            self._options.incarnation,
            window_id,
            counts,
            total=sum(counts.values()),
            is_final=True,
        )

    def _is_holder(self, clock_s: float) -> bool:
        holder, claimed_s = self._newest_claim
        is_recent = clock_s - claimed_s < self._claim_times.takeover_delay_s
        return holder == self._options.incarnation and is_recent

    def _is_complete(self, window_id: int | None, clock_s: float) -> bool:
        return window_id is not None and self._collected.is_complete(
            window_id, self._live_sources(clock_s)
        )

    def _is_isolated(self, clock_s: float) -> bool:
        heard = 1 + len({source.partition("/")[0] for source in self._live_sources(clock_s)})
        return 2 * heard <= 1 + len(self._links.get_hosts())

    def _live_sources(self, clock_s: float) -> list[str]:
        return [
            source
            for source, heard_s in self._sources_heard_s.items()
            if clock_s - heard_s <= SOURCE_TTL_S
        ]

    # Time and windows.

    def _true_s(self) -> float:
        return self._clocks.boot_s() + self._true_time.offset_s()

    def _own_time_s(self) -> float:
        return self._clocks.boot_s() + (self._true_time.own_offset_s or 0.0)

    def _make_schedule(self, true_s: float) -> UsageSchedule:
        window_s = self._options.window_s
        present_id = int(true_s // window_s)
        # Windows whose reports may still be due: no host may have been there to report them.
        due_windows = int(self._options.due_s // window_s)
        schedule = UsageSchedule(
            window_s, self._options.due_s, present_id + 1, present_id - due_windows
        )
        if self._has_store_eras:
            schedule.on_store_restored(true_s)
        return schedule

    def _is_kept(self, window_id: int) -> bool:
        """Tells whether a window is a recent one; a host's clock may be wrong by far."""
        schedule = self._schedule
        if schedule is None:
            return False
        present_id = schedule.window_of(self._true_s())
        return present_id - KEPT_WINDOWS <= window_id <= present_id + 1

    def _drop_old_windows(self, schedule: UsageSchedule, true_s: float, clock_s: float) -> None:
        present_id = schedule.window_of(true_s)
        if present_id == self._present_id:
            return
        oldest_id = present_id - KEPT_WINDOWS
        self._counter.drop_before(oldest_id)
        self._collected.drop_before(oldest_id)
        schedule.drop_before(oldest_id)
        for heard in (self._sources_heard_s, self._answered_s):
            for name in [
                name for name, heard_s in heard.items() if clock_s - heard_s > FORGET_AFTER_S
            ]:
                del heard[name]


def _encode_record(window_id: int, counts: Mapping[str, int]) -> bytes:
    fields = {USAGE_WINDOW: window_id, USAGE_COUNTS: counts}
    return json.dumps(fields, separators=(",", ":")).encode()


def make_usage_reporter(
    options: RelayOptions,
    duties: DutyOptions,
    *,
    store_client: StoreClient,
    client: DutyClient,
    peer_exchange: PeerExchange,
    metrics: RelayMetrics,
    rng: Random,
) -> UsageReporter:
    """Returns the usage reports of a relay host."""
    usage_options = UsageOptions(
        options.host,
        f"{options.host}-{uuid.uuid4().hex[:8]}",
        duties.usage_window_s,
        duties.usage_due_s,
        options.bounds.lease_s,
    )
    links = UsageLinks(peer_exchange.fleet_addresses, peer_exchange.send, store_client, client)
    clocks = UsageClocks(time.time, boot_clock_s)
    return UsageReporter(usage_options, links, clocks, metrics, rng)
