"""The lease of a data centre's controller, decided by the records of one stream of the log.

A claim names the offset up to which its writer had read the stream. It is valid only if its own
offset directly follows that one, so all readers come to the same decision, including a reader that
starts after older records have expired. The offset of a valid claim is its term, and the term is
the fencing number.
"""

import random
from collections.abc import Sequence
from typing import Final

from attrs import frozen

from berylquay.component_messages import RecordAppendRequested, RecordsRead
from berylquay.standalone.records import LogRecord, NewRecord

CLAIM: Final = "claim"
RENEWAL: Final = "renewal"
RELEASE: Final = "release"


def authority_stream(data_centre: str) -> str:
    """Returns the name of the stream whose records decide who controls a data centre."""
    return f"authority-{data_centre}"


@frozen
class LeaseTiming:
    """Lease times, which must be the same on every host of a data centre."""

    # Duration of a lease, counted from just before the append that claimed or renewed it.
    lease_s: float = 10.0
    # Interval between renewals.
    renewal_interval_s: float = 3.0
    # Maximum time from the end of a lease to the last effect of an order sent under it.
    order_margin_s: float = 3.0
    # Maximum drift of a monotonic clock in either direction, as a fraction.
    clock_drift: float = 0.005
    # Maximum random delay of a claim, which keeps the hosts from all claiming at the same time.
    claim_jitter_s: float = 1.0

    @property
    def takeover_wait_s(self) -> float:
        """Returns how long a successor waits after the last record that it read before it claims.

        The wait covers the lease and the order margin for clocks that drift apart.
        """
        skew = (1.0 + self.clock_drift) / (1.0 - self.clock_drift)
        return (self.lease_s + self.order_margin_s) * skew


@frozen
class Authority:
    """The right of this process to send orders, according to the records that it has read."""

    # Fencing number.
    term: int
    # Monotonic time of this host at which the right ends unless the lease is renewed.
    expires_s: float


class LeaseManager:
    """Claims, renews and releases the lease on behalf of one process.

    A response to an append is not relied on: an append takes effect here only when its record is
    read back. The lease then counts from the time just before that append was sent.
    """

    # Stream that carries the lease's records.
    _stream: str
    # Unique id of this process, different after each restart.
    _holder: str
    _timing: LeaseTiming
    _rng: random.Random
    # Highest valid term read; 0 before the first.
    _term: int
    # Holder of that term, or empty if it is unknown or the term was released.
    _term_holder: str
    # Offset up to which the stream has been read.
    _read_offset: int
    # Monotonic time since which no record was read, or None before the first tick.
    _stream_idle_since_s: float | None
    # Monotonic time just before each append of this process that was not read back, by record id.
    _pending_appends: dict[str, float]
    # Monotonic time at which this process's lease expires.
    _lease_expires_s: float
    # Monotonic time of the next renewal.
    _next_renewal_s: float
    # Random delay of the next claim.
    _claim_jitter_s: float
    # Number of records created, used for their ids.
    _record_count: int
    # Whether this process released its authority; it never claims again.
    _released: bool

    def __init__(
        self, data_centre: str, holder: str, timing: LeaseTiming, rng: random.Random
    ) -> None:
        self._stream = authority_stream(data_centre)
        self._holder = holder
        self._timing = timing
        self._rng = rng
        self._term = 0
        self._term_holder = ""
        self._read_offset = 0
        self._stream_idle_since_s = None
        self._pending_appends = {}
        self._lease_expires_s = float("-inf")
        self._next_renewal_s = float("-inf")
        self._claim_jitter_s = self._random_jitter_s()
        self._record_count = 0
        self._released = False

    @property
    def stream(self) -> str:
        """Returns the name of the stream, which is to be read from its start."""
        return self._stream

    @property
    def term(self) -> int:
        """Returns the highest valid term read, whoever holds it; 0 before the first."""
        return self._term

    @property
    def term_holder(self) -> str:
        """Returns the incarnation that holds the term, or empty if unknown or released."""
        return self._term_holder

    def authority(self, now_s: float) -> Authority | None:
        """Returns the authority that this process holds at present, or None."""
        if self._released or not self._holds_term() or now_s >= self._lease_expires_s:
            return None
        return Authority(self._term, self._lease_expires_s)

    def on_records(self, read: RecordsRead, now_s: float) -> None:
        """Applies records that were read from the stream; those of other streams are ignored."""
        if read.stream != self._stream:
            return
        if read.first_offset > self._read_offset + 1:
            self._skip_expired_records(read.first_offset - 1, now_s)
        for record in read.records:
            if record.offset > self._read_offset:
                self._apply_record(record, now_s)

    def on_append_failed(self, record_id: str) -> None:
        """Drops an append that is known to have had no effect."""
        self._pending_appends.pop(record_id, None)

    def on_tick(self, now_s: float) -> Sequence[RecordAppendRequested]:
        """Returns the append of a renewal, or of a claim once the stream has been idle enough."""
        if self._stream_idle_since_s is None:
            self._stream_idle_since_s = now_s
        self._drop_stale_appends(now_s)
        if self._released:
            return []
        if self._holds_term():
            return self._renew_if_due(now_s)
        return self._claim_if_due(now_s, self._stream_idle_since_s)

    def release(self, now_s: float) -> Sequence[RecordAppendRequested]:
        """Releases the authority, the right to send orders to engines, at once and permanently.

        No order may be in flight. Returns the append of the release record, or nothing if this
        process does not hold the lease.
        """
        authority = self.authority(now_s)
        self._released = True
        if authority is None:
            return []
        return [self._append_request(RELEASE, {"term": authority.term}, now_s)]

    def _holds_term(self) -> bool:
        return self._term > 0 and self._term_holder == self._holder

    def _random_jitter_s(self) -> float:
        return self._rng.uniform(0.0, self._timing.claim_jitter_s)

    def _skip_expired_records(self, offset: int, now_s: float) -> None:
        """Skips records that expired unread; another process's claim may be among them."""
        self._read_offset = offset
        self._stream_idle_since_s = now_s
        self._term_holder = ""

    def _apply_record(self, record: LogRecord, now_s: float) -> None:
        previous_offset = self._read_offset
        self._read_offset = record.offset
        self._stream_idle_since_s = now_s
        self._claim_jitter_s = self._random_jitter_s()
        if record.kind == CLAIM:
            self._apply_claim(record, previous_offset)
        elif record.kind == RENEWAL:
            self._apply_renewal(record)
        elif record.kind == RELEASE and record.fields.get("term") == self._term:
            self._term_holder = ""
            self._stream_idle_since_s = now_s - self._timing.lease_s

    def _apply_claim(self, record: LogRecord, previous_offset: int) -> None:
        sent_s = self._pending_appends.pop(record.record_id, None)
        if (
            record.fields.get("read_to") != record.offset - 1
            or previous_offset != record.offset - 1
        ):
            return
        self._term = record.offset
        self._term_holder = str(record.fields.get("holder", ""))
        self._lease_expires_s = float("-inf")
        if sent_s is not None:
            self._extend_lease(sent_s)

    def _apply_renewal(self, record: LogRecord) -> None:
        sent_s = self._pending_appends.pop(record.record_id, None)
        term = record.fields.get("term")
        if isinstance(term, int) and term > self._term:
            # The claim's record expired before this process read the stream.
            self._term = term
            self._term_holder = str(record.fields.get("holder", ""))
        if sent_s is not None and term == self._term and self._holds_term():
            self._extend_lease(sent_s)

    def _extend_lease(self, sent_s: float) -> None:
        self._lease_expires_s = max(self._lease_expires_s, sent_s + self._timing.lease_s)
        self._next_renewal_s = max(self._next_renewal_s, sent_s + self._timing.renewal_interval_s)

    def _drop_stale_appends(self, now_s: float) -> None:
        oldest_s = now_s - self._timing.lease_s
        self._pending_appends = {
            key: sent_s for key, sent_s in self._pending_appends.items() if sent_s > oldest_s
        }

    def _renew_if_due(self, now_s: float) -> list[RecordAppendRequested]:
        if now_s < self._next_renewal_s:
            return []
        self._next_renewal_s = now_s + self._timing.renewal_interval_s
        return [self._append_request(RENEWAL, {"term": self._term, "holder": self._holder}, now_s)]

    def _claim_if_due(
        self, now_s: float, stream_idle_since_s: float
    ) -> list[RecordAppendRequested]:
        wait_s = self._timing.takeover_wait_s + self._claim_jitter_s
        if now_s < stream_idle_since_s + wait_s or self._pending_appends:
            return []
        fields = {"holder": self._holder, "supersedes": self._term, "read_to": self._read_offset}
        return [self._append_request(CLAIM, fields, now_s)]

    def _append_request(
        self, kind: str, fields: dict[str, object], now_s: float
    ) -> RecordAppendRequested:
        self._record_count += 1
        record_id = f"{self._holder}-{self._record_count}"
        self._pending_appends[record_id] = now_s
        return RecordAppendRequested(self._stream, NewRecord(record_id, kind, fields))
