"""Obtains the right to run calls with plain idempotency keys, by claims in the platform's log."""

from collections.abc import Sequence
from typing import Final

from berylquay.call_verdicts import Refusal, RefusalReason, Verdict
from berylquay.component_messages import RecordAppendRequested, RecordsRead
from berylquay.decisions.claim_batcher import ClaimBatcher
from berylquay.decisions.key_claims import (
    CLAIMS_STREAM,
    FINGERPRINT_CHARACTERS,
    MAX_CLOCK_SKEW_S,
    TIMESTAMPED_KEY_MAX_AGE_S,
    Claim,
    ClaimDecision,
    ClaimEntry,
    ClaimState,
    ClaimTable,
    ClaimUpdate,
    batch_to_record,
    key_timestamp_unix_s,
)
from berylquay.decisions.keyed_calls import KeyedCall

# Maximum time that a call waits for its claim to be read back.
CLAIM_TIMEOUT_S: Final = 3.0
# Time after which a caller should retry a key that another host holds.
HELD_RETRY_AFTER_S: Final = 1.0
# Time after which a caller should retry while the platform's log is unreachable.
LOG_UNREACHABLE_RETRY_AFTER_S: Final = 5.0

_LOG_UNREACHABLE: Final = Refusal(
    RefusalReason.PLATFORM_UNAVAILABLE,
    Verdict.MAY_HAVE_RUN,
    "this host did not run the call; the platform's log, which would say whether another host did"
    " under the same key, is away",
    LOG_UNREACHABLE_RETRY_AFTER_S,
)
_KEY_TOO_OLD: Final = Refusal(
    RefusalReason.DUPLICATE,
    Verdict.MAY_HAVE_RUN,
    "the key is too old for this host to tell whether its call has run",
)
_KEY_FROM_FUTURE: Final = Refusal(
    RefusalReason.INVALID, Verdict.NOT_RUN, "the key carries a time that lies ahead"
)
_ALREADY_COMPLETED: Final = Refusal(
    RefusalReason.DUPLICATE, Verdict.COMPLETED, "another host completed the call under this key"
)
_KEY_HELD: Final = Refusal(
    RefusalReason.DUPLICATE,
    Verdict.MAY_HAVE_RUN,
    "a host took the call under this key already",
    HELD_RETRY_AFTER_S,
)
CONTENT_MISMATCH: Final = Refusal(
    RefusalReason.INVALID, Verdict.NOT_RUN, "another request was sent under the same key"
)


class ClaimCoordinator:
    """Appends claims, applies the stream's records and decides which calls may run."""

    # Incarnation of this process, under which it claims.
    _incarnation: str
    # State of all keys.
    _table: ClaimTable
    # Claims and updates that are still to be appended.
    _batcher: ClaimBatcher
    # Whether the log answers.
    _log_reachable: bool
    # Whether the stream was ever read to its end.
    _caught_up: bool
    # Wall-clock time before which claims may be missing from the table.
    _complete_since_unix_s: float
    # Number of records created so far, used for their ids.
    _record_count: int

    def __init__(self, incarnation: str) -> None:
        self._incarnation = incarnation
        self._table = ClaimTable(incarnation)
        self._batcher = ClaimBatcher()
        self._log_reachable = False
        self._caught_up = False
        self._complete_since_unix_s = 0.0
        self._record_count = 0

    def on_log_reachability(self, reachable: bool) -> None:
        """Updates whether the log is reachable."""
        self._log_reachable = reachable

    def on_host_count(self, count: int) -> None:
        """Updates the number of entry hosts, which share the rate of appends."""
        self._batcher.host_count = max(count, 1)

    def begin_claim(self, keyed_call: KeyedCall, now_s: float, now_unix_s: float) -> Refusal | None:
        """Queues a claim on the call's key and sets its wait deadline, or returns a refusal."""
        refusal = self._check_key_age(keyed_call.idempotency_key, now_unix_s)
        if refusal is not None:
            return refusal
        if not self._log_reachable or not self._caught_up:
            return _LOG_UNREACHABLE
        entry = self._table.get(keyed_call.key_hash)
        if entry is not None and entry.state is not ClaimState.RELEASED:
            return _refusal_for(entry, keyed_call)
        if self._batcher.is_releasing(keyed_call.key_hash):
            return _KEY_HELD
        # The claim must lose to any record on its key that is read from now on, even before it is
        # sent: another host may meanwhile have claimed the key and reported the call as not run.
        read_offset = self._table.next_offset - 1
        self._batcher.add_claim(
            Claim(keyed_call.key_hash, _fingerprint_of(keyed_call), read_offset)
        )
        keyed_call.wait_deadline_s = min(keyed_call.call.deadline_s, now_s + CLAIM_TIMEOUT_S)
        return None

    def cancel_claim(self, keyed_call: KeyedCall) -> Refusal:
        """Removes the claim if it was not appended yet, and returns the refusal of its call."""
        self._batcher.remove_claim(keyed_call.key_hash)
        return _LOG_UNREACHABLE

    def refusal_for_lost_claim(self, keyed_call: KeyedCall) -> Refusal:
        """Returns the refusal for a call whose claim lost."""
        entry = self._table.get(keyed_call.key_hash)
        return _KEY_HELD if entry is None else _refusal_for(entry, keyed_call)

    def release_claim(self, key_hash: str, claim_offset: int, now_s: float) -> None:
        """Releases a claim whose call was not run and will not be."""
        self._batcher.add_update(ClaimUpdate(key_hash, claim_offset), ClaimState.RELEASED, now_s)

    def complete_claim(self, key_hash: str, claim_offset: int, now_s: float) -> None:
        """Notifies the other hosts that the complete answer was delivered."""
        self._batcher.add_update(ClaimUpdate(key_hash, claim_offset), ClaimState.COMPLETED, now_s)

    def on_records(
        self, message: RecordsRead, now_s: float, now_unix_s: float
    ) -> Sequence[ClaimDecision]:
        """Applies the records that were read and returns the decisions on this host's claims."""
        lost_before = self._table.lost_before_offset
        decisions = self._table.apply_records(message.records, now_s)
        self._table.skip_to(message.first_offset)
        if self._table.lost_before_offset != lost_before:
            self._complete_since_unix_s = now_unix_s
        if self._table.next_offset >= message.next_offset:
            self._caught_up = True
        if message.records:
            self._batcher.remove_settled_updates(self._table)
        return decisions

    def on_tick(self, now_s: float) -> RecordAppendRequested | None:
        """Returns the next append, if one is due."""
        self._table.drop_expired(now_s)
        batch = self._batcher.take_due_batch(now_s)
        if batch is None:
            return None
        self._record_count += 1
        record_id = f"{self._incarnation}-once-{self._record_count}"
        record = batch_to_record(batch, self._incarnation, record_id)
        return RecordAppendRequested(CLAIMS_STREAM, record, timeout_s=CLAIM_TIMEOUT_S)

    def _check_key_age(self, key: str, now_unix_s: float) -> Refusal | None:
        created_unix_s = key_timestamp_unix_s(key)
        if created_unix_s is None:
            return None
        if created_unix_s > now_unix_s + MAX_CLOCK_SKEW_S:
            return _KEY_FROM_FUTURE
        oldest_unix_s = max(
            now_unix_s - TIMESTAMPED_KEY_MAX_AGE_S, self._complete_since_unix_s + MAX_CLOCK_SKEW_S
        )
        return _KEY_TOO_OLD if created_unix_s < oldest_unix_s else None


def _fingerprint_of(keyed_call: KeyedCall) -> str:
    return keyed_call.call.fingerprint[:FINGERPRINT_CHARACTERS]


def _refusal_for(entry: ClaimEntry, keyed_call: KeyedCall) -> Refusal:
    if entry.fingerprint != _fingerprint_of(keyed_call):
        return CONTENT_MISMATCH
    return _ALREADY_COMPLETED if entry.state is ClaimState.COMPLETED else _KEY_HELD
