"""The claim desk: gets claims on plain idempotency keys decided by the platform's log."""

from collections.abc import Sequence
from typing import Final

from berylquay.decisions.claim_batches import ClaimBatches
from berylquay.decisions.claims import (
    CLAIMS_STREAM,
    CLOCK_TOLERANCE_S,
    DATED_KEY_LIFETIME_S,
    FINGERPRINT_CHARACTERS,
    Claim,
    ClaimDecision,
    ClaimEntry,
    ClaimFold,
    ClaimState,
    KeyNote,
    batch_record,
    key_time_unix_s,
)
from berylquay.decisions.key_runs import KeyRun
from berylquay.messages import RecordAppendRequested, RecordsRead
from berylquay.verdicts import Refusal, RefusalReason, Verdict

# Longest time that a call waits for its claim to be read back.
CLAIM_WAIT_S: Final = 3.0
# When a caller should ask again for what another host holds.
HELD_RETRY_AFTER_S: Final = 1.0
# When a caller should come back while the platform's log is away.
AWAY_RETRY_AFTER_S: Final = 5.0

_AWAY: Final = Refusal(
    RefusalReason.PLATFORM_AWAY,
    Verdict.MAY_HAVE_RUN,
    "this host did not run the call; the platform's log, which would say whether another host did"
    " under the same key, is away",
    AWAY_RETRY_AFTER_S,
)
_OLD: Final = Refusal(
    RefusalReason.DUPLICATE,
    Verdict.MAY_HAVE_RUN,
    "the key is too old for this host to tell whether its call has run",
)
_EARLY: Final = Refusal(
    RefusalReason.INVALID, Verdict.NOT_RUN, "the key carries a time that lies ahead"
)
_COMPLETED: Final = Refusal(
    RefusalReason.DUPLICATE, Verdict.COMPLETED, "another host completed the call under this key"
)
_HELD: Final = Refusal(
    RefusalReason.DUPLICATE,
    Verdict.MAY_HAVE_RUN,
    "a host took the call under this key already",
    HELD_RETRY_AFTER_S,
)
OTHER_CONTENT: Final = Refusal(
    RefusalReason.INVALID, Verdict.NOT_RUN, "another request was sent under the same key"
)


class ClaimDesk:
    """Appends claims, folds the stream and says which calls may run."""

    # Incarnation that claims.
    _incarnation: str
    # State of all keys.
    _fold: ClaimFold
    # What is still to be appended.
    _batches: ClaimBatches
    # Whether the log answers.
    _reachable: bool
    # Whether the stream has been read to its end once.
    _caught_up: bool
    # Wall-clock time before which claims may be missing from the fold.
    _complete_since_unix_s: float
    # Number of records appended so far, for their ids.
    _record_count: int

    def __init__(self, incarnation: str) -> None:
        self._incarnation = incarnation
        self._fold = ClaimFold(incarnation)
        self._batches = ClaimBatches()
        self._reachable = False
        self._caught_up = False
        self._complete_since_unix_s = 0.0
        self._record_count = 0

    def on_reachability(self, reachable: bool) -> None:
        """Notes whether the log answers."""
        self._reachable = reachable

    def on_hosts(self, count: int) -> None:
        """Notes how many entry hosts share the appends."""
        self._batches.hosts = max(count, 1)

    def begin(self, run: KeyRun, now_s: float, now_unix_s: float) -> Refusal | None:
        """Claims the run's key, or returns why the call is refused."""
        refusal = self._check_age(run.text, now_unix_s)
        if refusal is not None:
            return refusal
        if not self._reachable or not self._caught_up:
            return _AWAY
        entry = self._fold.get(run.key)
        if entry is not None and entry.state is not ClaimState.RELEASED:
            return _refusal_for(entry, run)
        if self._batches.is_releasing(run.key):
            return _HELD
        # What is read from here on, and not what is known when the claim is sent, speaks against
        # it: another host may meanwhile have said that the call was not run.
        after_offset = self._fold.next_offset - 1
        self._batches.add_claim(Claim(run.key, _fingerprint_of(run), after_offset))
        run.wait_until_s = min(run.call.deadline_s, now_s + CLAIM_WAIT_S)
        return None

    def give_up(self, run: KeyRun) -> Refusal:
        """Takes the claim out if it is not sent yet, and returns the refusal of its call."""
        self._batches.drop_claim(run.key)
        return _AWAY

    def lost(self, run: KeyRun) -> Refusal:
        """Returns the refusal of a call whose claim lost."""
        entry = self._fold.get(run.key)
        return _HELD if entry is None else _refusal_for(entry, run)

    def release(self, key: str, claim_offset: int, now_s: float) -> None:
        """Gives a key back, since its call was not run and will not be."""
        self._batches.add_note(KeyNote(key, claim_offset), ClaimState.RELEASED, now_s)

    def complete(self, key: str, claim_offset: int, now_s: float) -> None:
        """Lets the other hosts know that the whole answer was delivered."""
        self._batches.add_note(KeyNote(key, claim_offset), ClaimState.COMPLETED, now_s)

    def on_records(
        self, message: RecordsRead, now_s: float, now_unix_s: float
    ) -> Sequence[ClaimDecision]:
        """Folds what was read and returns what became of this host's claims."""
        before = self._fold.blind_before
        decisions = self._fold.read(message.records, now_s)
        self._fold.skip_to(message.first_offset)
        if self._fold.blind_before != before:
            self._complete_since_unix_s = now_unix_s
        if self._fold.next_offset >= message.next_offset:
            self._caught_up = True
        if message.records:
            self._batches.settle_notes(self._fold)
        return decisions

    def on_tick(self, now_s: float) -> RecordAppendRequested | None:
        """Returns the next append, if one is due."""
        self._fold.forget_expired(now_s)
        batch = self._batches.take_due(now_s)
        if batch is None:
            return None
        self._record_count += 1
        record_id = f"{self._incarnation}-once-{self._record_count}"
        record = batch_record(batch, self._incarnation, record_id)
        return RecordAppendRequested(CLAIMS_STREAM, record, give_up_after_s=CLAIM_WAIT_S)

    def _check_age(self, key: str, now_unix_s: float) -> Refusal | None:
        born_unix_s = key_time_unix_s(key)
        if born_unix_s is None:
            return None
        if born_unix_s > now_unix_s + CLOCK_TOLERANCE_S:
            return _EARLY
        oldest_unix_s = max(
            now_unix_s - DATED_KEY_LIFETIME_S, self._complete_since_unix_s + CLOCK_TOLERANCE_S
        )
        return _OLD if born_unix_s < oldest_unix_s else None


def _fingerprint_of(run: KeyRun) -> str:
    return run.call.fingerprint[:FINGERPRINT_CHARACTERS]


def _refusal_for(entry: ClaimEntry, run: KeyRun) -> Refusal:
    if entry.fingerprint != _fingerprint_of(run):
        return OTHER_CONTENT
    return _COMPLETED if entry.state is ClaimState.COMPLETED else _HELD
