"""The lease of a data centre's controller, agreed on through one stream of the platform's log.

A claim names the offset up to which its writer had read the stream. It is valid only if it stands
right behind that offset, so every reader decides alike, also one that starts after older records
have expired. The offset of a valid claim is its term, and the term is the fencing number.
"""

import random
from collections.abc import Sequence
from typing import Final

from attrs import frozen

from berylquay.messages import RecordAppendRequested, RecordsRead
from berylquay.standalone.records import LogRecord, NewRecord

CLAIM: Final = "claim"
RENEWAL: Final = "renewal"
RELEASE: Final = "release"


def authority_stream(data_centre: str) -> str:
    """Returns the name of the stream in which the authority over a data centre is settled."""
    return f"authority-{data_centre}"


@frozen
class LeaseTiming:
    """Times that every host of a data centre must share."""

    # Length of a lease, counted from before the append that began or renewed it.
    lease_s: float = 10.0
    # Interval between renewals.
    renewal_interval_s: float = 3.0
    # Longest time between the end of a lease and the last effect of an order sent under it.
    order_margin_s: float = 3.0
    # Most by which a monotonic clock runs fast or slow, as a share.
    clock_drift: float = 0.005
    # Most by which a claim is delayed at random, so that hosts do not all claim at once.
    claim_jitter_s: float = 1.0

    @property
    def takeover_wait_s(self) -> float:
        """Returns how long a successor waits after the last record that it read."""
        skew = (1.0 + self.clock_drift) / (1.0 - self.clock_drift)
        return (self.lease_s + self.order_margin_s) * skew


@frozen
class Authority:
    """The right to give orders, as far as this host knows."""

    # Fencing number.
    term: int
    # Monotonic time of this host at which the right ends unless it is renewed.
    expires_s: float


class LeaseManager:
    """Claims, renews and gives up the lease on behalf of one process.

    It never trusts the answer to an append, only what it reads back, and it counts a lease from
    before the append that it reads back.
    """

    # Stream in which the lease is settled.
    _stream: str
    # Unique id of this process, different after each restart.
    _holder: str
    _limits: LeaseTiming
    _rng: random.Random
    # Highest valid term that was read; 0 before the first.
    _term: int
    # Holder of that term, or empty when it is unknown or was released.
    _term_holder: str
    # Offset up to which the stream was read.
    _read_offset: int
    # Monotonic time from which the stream has been quiet, or None before the first tick.
    _stream_idle_since_s: float | None
    # Monotonic time before each append of this process that was not read back, by record id.
    _pending_appends: dict[str, float]
    # Monotonic time at which the lease of this process ends.
    _lease_expires_s: float
    # Monotonic time of the next renewal.
    _next_renewal_s: float
    # Random delay of the next claim.
    _claim_jitter_s: float
    # Number of records written, for their ids.
    _record_count: int
    # Whether this process gave its authority up for good.
    _released: bool

    def __init__(
        self, data_centre: str, holder: str, limits: LeaseTiming, rng: random.Random
    ) -> None:
        self._stream = authority_stream(data_centre)
        self._holder = holder
        self._limits = limits
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
        """Returns the stream to follow from its start."""
        return self._stream

    @property
    def term(self) -> int:
        """Returns the highest valid term that was read, whoever holds it; 0 before the first."""
        return self._term

    @property
    def term_holder(self) -> str:
        """Returns the incarnation that holds the term, or empty if that is unknown or nobody."""
        return self._term_holder

    def authority(self, now_s: float) -> Authority | None:
        """Returns the authority that this process holds now, or None."""
        if self._released or not self._holds_term() or now_s >= self._lease_expires_s:
            return None
        return Authority(self._term, self._lease_expires_s)

    def on_records(self, read: RecordsRead, now_s: float) -> None:
        """Takes records that were read from the stream."""
        if read.stream != self._stream:
            return
        if read.first_offset > self._read_offset + 1:
            self._skip_expired_records(read.first_offset - 1, now_s)
        for record in read.records:
            if record.offset > self._read_offset:
                self._apply_record(record, now_s)

    def on_append_failed(self, record_id: str) -> None:
        """Forgets an append that is known to have had no effect."""
        self._pending_appends.pop(record_id, None)

    def on_tick(self, now_s: float) -> Sequence[RecordAppendRequested]:
        """Renews the lease, or claims it when the holder has been quiet for long enough."""
        if self._stream_idle_since_s is None:
            self._stream_idle_since_s = now_s
        self._drop_stale_appends(now_s)
        if self._released:
            return []
        if self._holds_term():
            return self._renew_if_due(now_s)
        return self._claim_if_due(now_s, self._stream_idle_since_s)

    def release(self, now_s: float) -> Sequence[RecordAppendRequested]:
        """Gives the authority up at once and for good; the caller has no order under way."""
        authority = self.authority(now_s)
        self._released = True
        if authority is None:
            return []
        return [self._append_request(RELEASE, {"term": authority.term}, now_s)]

    def _holds_term(self) -> bool:
        return self._term > 0 and self._term_holder == self._holder

    def _random_jitter_s(self) -> float:
        return self._rng.uniform(0.0, self._limits.claim_jitter_s)

    def _skip_expired_records(self, offset: int, now_s: float) -> None:
        """Goes on after records that expired unread; a claim of another may be among them."""
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
            self._stream_idle_since_s = now_s - self._limits.lease_s

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
            # The claim expired before this process read the stream.
            self._term = term
            self._term_holder = str(record.fields.get("holder", ""))
        if sent_s is not None and term == self._term and self._holds_term():
            self._extend_lease(sent_s)

    def _extend_lease(self, sent_s: float) -> None:
        self._lease_expires_s = max(self._lease_expires_s, sent_s + self._limits.lease_s)
        self._next_renewal_s = max(self._next_renewal_s, sent_s + self._limits.renewal_interval_s)

    def _drop_stale_appends(self, now_s: float) -> None:
        oldest_s = now_s - self._limits.lease_s
        self._pending_appends = {
            key: sent_s for key, sent_s in self._pending_appends.items() if sent_s > oldest_s
        }

    def _renew_if_due(self, now_s: float) -> list[RecordAppendRequested]:
        if now_s < self._next_renewal_s:
            return []
        self._next_renewal_s = now_s + self._limits.renewal_interval_s
        return [self._append_request(RENEWAL, {"term": self._term, "holder": self._holder}, now_s)]

    def _claim_if_due(
        self, now_s: float, stream_idle_since_s: float
    ) -> list[RecordAppendRequested]:
        wait_s = self._limits.takeover_wait_s + self._claim_jitter_s
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
