"""Batches the claims and claim updates of a host into few appends to the platform's log."""

from typing import Final

from attrs import define, field

from berylquay.decisions.key_claims import Claim, ClaimBatch, ClaimState, ClaimTable, ClaimUpdate

# Maximum rate of claim appends of all entry hosts together.
TOTAL_APPENDS_PER_S: Final = 150.0
# Minimum interval between two appends of one host.
MIN_APPEND_INTERVAL_S: Final = 0.06
# Maximum number of claims, and of updates to each state, in one record.
MAX_ITEMS_PER_RECORD: Final = 200
# Time for which an update waits for claims that share its append, by the state that it sets.
UPDATE_DELAY_S: Final = {ClaimState.RELEASED: 0.1, ClaimState.COMPLETED: 0.5}
# Time after which an update that was not read back is appended again.
UPDATE_RETRY_S: Final = 5.0


@define
class _PendingUpdate:
    """A claim update that has not been read back."""

    update: ClaimUpdate
    state: ClaimState
    due_s: float
    sent: bool = False


@define
class ClaimBatcher:
    """Decides when to append, and which claims and updates an append carries."""

    # Number of entry hosts that share the maximum rate of appends.
    host_count: int = 1
    # Claims that were not appended yet, by key hash.
    _pending_claims: dict[str, Claim] = field(factory=dict)
    # Updates that were not read back, by key hash.
    _pending_updates: dict[str, _PendingUpdate] = field(factory=dict)
    # Earliest time of the next append.
    _next_append_s: float = 0.0

    @property
    def append_interval_s(self) -> float:
        """Returns the minimum time between two appends of this host to the log, in seconds.

        It grows with the number of hosts, which share the maximum rate of appends.
        """
        return max(MIN_APPEND_INTERVAL_S, self.host_count / TOTAL_APPENDS_PER_S)

    def add_claim(self, claim: Claim) -> None:
        """Queues a claim for the next append."""
        self._pending_claims[claim.key_hash] = claim

    def remove_claim(self, key_hash: str) -> None:
        """Removes a claim if it was not appended yet."""
        self._pending_claims.pop(key_hash, None)

    def add_update(self, update: ClaimUpdate, state: ClaimState, now_s: float) -> None:
        """Queues an update, which is appended repeatedly until it is read back."""
        self._pending_updates[update.key_hash] = _PendingUpdate(
            update, state, now_s + UPDATE_DELAY_S[state]
        )

    def is_releasing(self, key_hash: str) -> bool:
        """Returns whether a release of the key by this host is pending."""
        pending = self._pending_updates.get(key_hash)
        return pending is not None and pending.state is ClaimState.RELEASED

    def remove_settled_updates(self, table: ClaimTable) -> None:
        """Drops the updates that took effect or no longer can."""
        for key_hash, pending in list(self._pending_updates.items()):
            entry = table.get(key_hash)
            is_current_claim = (
                entry is not None and entry.claim_offset == pending.update.claim_offset
            )
            if not is_current_claim or (entry is not None and entry.state is not ClaimState.HELD):
                del self._pending_updates[key_hash]

    def take_due_batch(self, now_s: float) -> ClaimBatch | None:
        """Returns the batch to append now, or None if none is due."""
        if now_s < self._next_append_s:
            return None
        claims = tuple(self._pending_claims.values())[:MAX_ITEMS_PER_RECORD]
        if not claims and not any(
            pending.due_s <= now_s for pending in self._pending_updates.values()
        ):
            return None
        released = self._take_updates(ClaimState.RELEASED, now_s)
        completed = self._take_updates(ClaimState.COMPLETED, now_s)
        for claim in claims:
            del self._pending_claims[claim.key_hash]
        self._next_append_s = now_s + self.append_interval_s
        return ClaimBatch(claims, released, completed)

    def _take_updates(self, state: ClaimState, now_s: float) -> tuple[ClaimUpdate, ...]:
        due = [
            pending
            for pending in self._pending_updates.values()
            if pending.state is state and (not pending.sent or pending.due_s <= now_s)
        ][:MAX_ITEMS_PER_RECORD]
        for pending in due:
            pending.sent = True
            pending.due_s = now_s + UPDATE_RETRY_S
        return tuple(pending.update for pending in due)
