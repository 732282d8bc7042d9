"""Claims on idempotency keys: the platform's log decides which host may run the call of a key.

Every entry host appends its claims to one stream and applies the stream's records in offset order.
A claim wins if the key was free at the claim's offset and its state had not changed since the
claimant received the call. Only the winner may run the call, and only it may report that the call
was not run.
"""

import hashlib
import uuid
from collections.abc import Iterable
from enum import Enum
from typing import Final

from attrs import define, field, frozen

from berylquay.standalone.records import LogRecord, NewRecord

# Stream of the platform's log that carries the claims of all data centres.
CLAIMS_STREAM: Final = "once"
CLAIMS_KIND: Final = "once"
# Time for which a key's state is kept after its last claim was read.
KEY_RETENTION_S: Final = 900.0
# Maximum age of a key that carries a timestamp.
TIMESTAMPED_KEY_MAX_AGE_S: Final = 600.0
# Maximum difference between the wall clocks of callers and hosts.
MAX_CLOCK_SKEW_S: Final = 120.0
# Number of characters of the content hash that a claim carries.
FINGERPRINT_CHARACTERS: Final = 16
_KEY_HASH_BYTES: Final = 12
_UUID_TIMESTAMP_SHIFT_BITS: Final = 80
_MILLISECONDS_PER_SECOND: Final = 1000.0


class ClaimState(Enum):
    """State of a claimed key."""

    # The holder may run the call, or has run it.
    HELD = "held"
    # The holder delivered the complete answer.
    COMPLETED = "completed"
    # The holder did not run the call; the key is free for later calls.
    RELEASED = "released"


@frozen
class Claim:
    """A host's request for the right to run the call of a key."""

    # Hash of the tenant and the key.
    key_hash: str
    # Prefix of the hash of the request's content.
    fingerprint: str
    # Offset up to which the host had read the stream when it received the call.
    read_offset: int


@frozen
class ClaimUpdate:
    """A release or completion of a claim, appended by its holder."""

    key_hash: str
    # Offset of the claim, so that a late update does not change a later claim.
    claim_offset: int


@frozen
class ClaimBatch:
    """The claims and updates that one host appends in one record."""

    claims: tuple[Claim, ...] = ()
    released: tuple[ClaimUpdate, ...] = ()
    completed: tuple[ClaimUpdate, ...] = ()


@define
class ClaimEntry:
    """Claim and state of one key."""

    # Incarnation that holds the key, or held it last.
    holder: str
    fingerprint: str
    # Offset of the claim that won.
    claim_offset: int
    # Offset of the last record that changed the key's state.
    changed_offset: int
    # Monotonic time at which the entry is dropped.
    expires_s: float
    state: ClaimState = ClaimState.HELD


@frozen
class ClaimDecision:
    """Outcome of a claim once its record was read."""

    key_hash: str
    # Offset of the claim's record.
    offset: int
    won: bool


@define
class ClaimTable:
    """State machine that applies the stream's records to the state of all keys."""

    # Incarnation of this process; only decisions on its claims are returned.
    incarnation: str
    # Offset of the next record to read.
    next_offset: int = 1
    # Offset before which this host has missed records.
    lost_before_offset: int = 1
    # Entries by key hash, least recently claimed first.
    _entries: dict[str, ClaimEntry] = field(factory=dict)

    def get(self, key_hash: str) -> ClaimEntry | None:
        """Returns a key's entry, or None if no claim on it is known."""
        return self._entries.get(key_hash)

    def __len__(self) -> int:
        """Returns the number of keys with an entry."""
        return len(self._entries)

    def apply_records(self, records: Iterable[LogRecord], now_s: float) -> list[ClaimDecision]:
        """Applies records in offset order and returns the decisions on this process's claims.

        Records that were already applied are ignored.
        """
        decisions: list[ClaimDecision] = []
        for record in records:
            if record.offset < self.next_offset:
                continue
            self.skip_to(record.offset)
            self.next_offset = record.offset + 1
            if record.kind == CLAIMS_KIND:
                decisions += self._apply_record(record, now_s)
        return decisions

    def skip_to(self, offset: int) -> None:
        """Moves to the offset; unread records before it count as lost."""
        if offset > self.next_offset:
            self.next_offset = offset
            self.lost_before_offset = offset

    def drop_expired(self, now_s: float) -> None:
        """Drops the entries that have expired."""
        while self._entries:
            key_hash, entry = next(iter(self._entries.items()))
            if entry.expires_s > now_s:
                return
            del self._entries[key_hash]

    def _apply_record(self, record: LogRecord, now_s: float) -> list[ClaimDecision]:
        incarnation = str(record.fields.get("by"))
        batch = parse_batch(record.fields)
        for update in batch.released:
            self._apply_update(update, incarnation, ClaimState.RELEASED, record.offset)
        for update in batch.completed:
            self._apply_update(update, incarnation, ClaimState.COMPLETED, record.offset)
        decisions: list[ClaimDecision] = []
        for claim in batch.claims:
            won = self._apply_claim(claim, incarnation, record.offset, now_s)
            if incarnation == self.incarnation:
                decisions.append(ClaimDecision(claim.key_hash, record.offset, won))
        return decisions

    def _apply_update(
        self, update: ClaimUpdate, incarnation: str, state: ClaimState, offset: int
    ) -> None:
        entry = self._entries.get(update.key_hash)
        if (
            entry is None
            or entry.holder != incarnation
            or entry.claim_offset != update.claim_offset
        ):
            return
        if entry.state is ClaimState.HELD:
            entry.state = state
            entry.changed_offset = offset

    def _apply_claim(self, claim: Claim, incarnation: str, offset: int, now_s: float) -> bool:
        # Reinserted, so that the entry is kept for the full retention period after each claim,
        # including one that lost: a host that dropped the entry earlier may take that claim for
        # the winner.
        entry = self._entries.pop(claim.key_hash, None)
        won = self._claim_wins(claim, entry)
        if entry is None or won:
            entry = ClaimEntry(incarnation, claim.fingerprint, offset, offset, 0.0)
        entry.expires_s = now_s + KEY_RETENTION_S
        self._entries[claim.key_hash] = entry
        return won

    def _claim_wins(self, claim: Claim, entry: ClaimEntry | None) -> bool:
        if claim.read_offset < self.lost_before_offset - 1:
            # Another host's claim may be among the lost records.
            return False
        if entry is None:
            return True
        return entry.state is ClaimState.RELEASED and entry.changed_offset <= claim.read_offset


def hash_key(tenant: str, key: str) -> str:
    """Returns the hash that stands for a tenant's key in the log."""
    digest = hashlib.blake2b(f"{tenant}\0{key}".encode(), digest_size=_KEY_HASH_BYTES)
    return digest.hexdigest()


def key_timestamp_unix_s(key: str) -> float | None:
    """Returns the timestamp in a key that is a UUID of version 7, or None for any other key."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != 7 or parsed.variant != uuid.RFC_4122:  # noqa: PLR2004
        return None
    return (parsed.int >> _UUID_TIMESTAMP_SHIFT_BITS) / _MILLISECONDS_PER_SECOND


def batch_to_record(batch: ClaimBatch, incarnation: str, record_id: str) -> NewRecord:
    """Returns the record that carries a batch."""
    fields: dict[str, object] = {
        "by": incarnation,
        "claims": [
            [claim.key_hash, claim.fingerprint, claim.read_offset] for claim in batch.claims
        ],
    }
    if batch.released:
        fields["released"] = [[update.key_hash, update.claim_offset] for update in batch.released]
    if batch.completed:
        fields["completed"] = [[update.key_hash, update.claim_offset] for update in batch.completed]
    return NewRecord(record_id, CLAIMS_KIND, fields)


def parse_batch(fields: dict[str, object]) -> ClaimBatch:
    """Returns the batch in a record's fields; malformed items are left out."""
    return ClaimBatch(
        _parse_claims(fields.get("claims")),
        _parse_updates(fields.get("released")),
        _parse_updates(fields.get("completed")),
    )


def _parse_claims(value: object) -> tuple[Claim, ...]:
    claims: list[Claim] = []
    for row in value if isinstance(value, list) else ():
        match row:
            case [str(key_hash), str(fingerprint), int(read_offset)]:
                claims.append(Claim(key_hash, fingerprint, read_offset))
    return tuple(claims)


def _parse_updates(value: object) -> tuple[ClaimUpdate, ...]:
    updates: list[ClaimUpdate] = []
    for row in value if isinstance(value, list) else ():
        match row:
            case [str(key_hash), int(claim_offset)]:
                updates.append(ClaimUpdate(key_hash, claim_offset))
    return tuple(updates)
