"""Claim batches: gathers the claims of a host into few appends to the platform's log."""

from typing import Final

from attrs import define, field

from berylquay.decisions.claims import Claim, ClaimBatch, ClaimFold, ClaimState, KeyNote

# Appends per second that all entry hosts together may spend on claims.
APPENDS_PER_S: Final = 150.0
# Shortest interval between two appends of one host.
SHORTEST_INTERVAL_S: Final = 0.06
# Most claims, and most notes of each kind, in one record.
MAX_ITEMS: Final = 200
# Time for which a note waits for claims to share its append, by what it says.
NOTE_WAIT_S: Final = {ClaimState.RELEASED: 0.1, ClaimState.COMPLETED: 0.5}
# Time after which a note that was not read back is appended again.
NOTE_RETRY_S: Final = 5.0


@define
class _PendingNote:
    """A note that has not been read back."""

    note: KeyNote
    state: ClaimState
    due_s: float
    sent: bool = False


@define
class ClaimBatches:
    """Decides what goes into the log when."""

    # Number of entry hosts that share the appends.
    hosts: int = 1
    # Claims that were not appended yet.
    _claims: dict[str, Claim] = field(factory=dict)
    # Notes that were not read back, by key.
    _notes: dict[str, _PendingNote] = field(factory=dict)
    # Earliest time of the next append.
    _next_s: float = 0.0

    @property
    def interval_s(self) -> float:
        """Returns the shortest interval between two appends of this host."""
        return max(SHORTEST_INTERVAL_S, self.hosts / APPENDS_PER_S)

    def add_claim(self, claim: Claim) -> None:
        """Takes a claim in."""
        self._claims[claim.key] = claim

    def drop_claim(self, key: str) -> None:
        """Takes a claim out again, if it was not appended yet."""
        self._claims.pop(key, None)

    def add_note(self, note: KeyNote, state: ClaimState, now_s: float) -> None:
        """Takes a note in; it is appended until it was read back."""
        self._notes[note.key] = _PendingNote(note, state, now_s + NOTE_WAIT_S[state])

    def is_releasing(self, key: str) -> bool:
        """Tells whether this host is giving the key back."""
        pending = self._notes.get(key)
        return pending is not None and pending.state is ClaimState.RELEASED

    def settle_notes(self, fold: ClaimFold) -> None:
        """Forgets the notes that took effect or no longer can."""
        for key, pending in list(self._notes.items()):
            entry = fold.get(key)
            held = entry is not None and entry.claim_offset == pending.note.claim_offset
            if not held or (entry is not None and entry.state is not ClaimState.HELD):
                del self._notes[key]

    def take_due(self, now_s: float) -> ClaimBatch | None:
        """Returns what is to be appended now, or None."""
        if now_s < self._next_s:
            return None
        claims = tuple(self._claims.values())[:MAX_ITEMS]
        if not claims and not any(pending.due_s <= now_s for pending in self._notes.values()):
            return None
        released = self._take_notes(ClaimState.RELEASED, now_s)
        completed = self._take_notes(ClaimState.COMPLETED, now_s)
        for claim in claims:
            del self._claims[claim.key]
        self._next_s = now_s + self.interval_s
        return ClaimBatch(claims, released, completed)

    def _take_notes(self, state: ClaimState, now_s: float) -> tuple[KeyNote, ...]:
        due = [
            pending
            for pending in self._notes.values()
            if pending.state is state and (not pending.sent or pending.due_s <= now_s)
        ][:MAX_ITEMS]
        for pending in due:
            pending.sent = True
            pending.due_s = now_s + NOTE_RETRY_S
        return tuple(pending.note for pending in due)
