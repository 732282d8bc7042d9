"""Keyed calls: the state on this host of the call behind each idempotency key."""

from enum import Enum
from typing import Final

from attrs import define, field, frozen

from berylquay.decisions.calls import Call

# Maximum number of keys kept.
MAX_KEYS: Final = 50_000
# Maximum size of an answer that is stored for a repeated key.
MAX_ANSWER_BYTES: Final = 65_536
# Maximum total size of the stored answers.
MAX_TOTAL_ANSWER_BYTES: Final = 16_777_216


class KeyedCallState(Enum):
    """State of the call behind a key on this host."""

    # The right to run it has been requested.
    WAITING = "waiting"
    # It was passed to dispatch.
    RUNNING = "running"
    # Its complete answer was delivered.
    COMPLETED = "completed"
    # It was not run and the ticket is void, so that it never will be.
    NOT_RUN = "not-run"
    # It may have run, and this host will not get its answer.
    MAY_HAVE_RUN = "may-have-run"


@frozen
class StoredAnswer:
    """The complete answer of a service call."""

    status: int
    body: bytes
    content_type: str


@define(eq=False)
class KeyedCall:
    """A call with an idempotency key, and its state on this host."""

    # Hash of the tenant and the key.
    key_hash: str
    # Key as the caller sent it.
    idempotency_key: str
    call: Call
    # Monotonic time after which the entry is dropped.
    expires_s: float
    state: KeyedCallState = KeyedCallState.WAITING
    # Monotonic time at which the call is refused if it is still waiting.
    wait_deadline_s: float = 0.0
    # Offset of the claim that won, or 0.
    claim_offset: int = 0
    # Other host that issued the ticket, or empty.
    ticket_issuer_host: str = ""
    # Id of the request to that host for the right to spend the ticket, or empty.
    ask_id: str = ""
    answer: StoredAnswer | None = None


@define
class KeyedCallTable:
    """The keyed calls of this host, up to a maximum number of keys and of answer bytes."""

    # Keyed calls by key hash, oldest first.
    _by_key: dict[str, KeyedCall] = field(factory=dict)
    # Key hash by call id, for calls that are not completed.
    _key_by_call_id: dict[str, str] = field(factory=dict)
    # Key hash by the id of the request to the ticket's issuer.
    _key_by_ask_id: dict[str, str] = field(factory=dict)
    # Size of each stored answer in bytes by key hash, oldest first.
    _answer_sizes: dict[str, int] = field(factory=dict)
    # Total size of the stored answers.
    _answer_bytes: int = 0

    def __len__(self) -> int:
        """Returns the number of keys."""
        return len(self._by_key)

    @property
    def is_full(self) -> bool:
        """Returns whether the maximum number of keys is reached."""
        return len(self._by_key) >= MAX_KEYS

    def get(self, key_hash: str) -> KeyedCall | None:
        """Returns the keyed call, or None."""
        return self._by_key.get(key_hash)

    def find_by_call_id(self, call_id: str) -> KeyedCall | None:
        """Returns the keyed call with this call id unless it is completed, or None."""
        key_hash = self._key_by_call_id.get(call_id)
        return None if key_hash is None else self._by_key.get(key_hash)

    def find_by_ask_id(self, ask_id: str) -> KeyedCall | None:
        """Returns the keyed call for which the ticket's issuer was asked under this id, or None."""
        key_hash = self._key_by_ask_id.get(ask_id)
        return None if key_hash is None else self._by_key.get(key_hash)

    def add(self, keyed_call: KeyedCall) -> None:
        """Adds a keyed call and its indexes."""
        self._by_key[keyed_call.key_hash] = keyed_call
        self._key_by_call_id[keyed_call.call.call_id] = keyed_call.key_hash
        if keyed_call.ask_id:
            self._key_by_ask_id[keyed_call.ask_id] = keyed_call.key_hash

    def remove(self, keyed_call: KeyedCall) -> None:
        """Removes a keyed call, its indexes and its stored answer."""
        self._by_key.pop(keyed_call.key_hash, None)
        self._key_by_call_id.pop(keyed_call.call.call_id, None)
        self._key_by_ask_id.pop(keyed_call.ask_id, None)
        self._answer_bytes -= self._answer_sizes.pop(keyed_call.key_hash, 0)

    def complete(self, keyed_call: KeyedCall, answer: StoredAnswer | None) -> None:
        """Marks a call as completed and stores its answer unless that is None or too large.

        Oldest answers are evicted while the total size exceeds its maximum.
        """
        keyed_call.state = KeyedCallState.COMPLETED
        self._key_by_call_id.pop(keyed_call.call.call_id, None)
        if answer is None or len(answer.body) > MAX_ANSWER_BYTES:
            return
        keyed_call.answer = answer
        self._answer_sizes[keyed_call.key_hash] = len(answer.body)
        self._answer_bytes += len(answer.body)
        while self._answer_bytes > MAX_TOTAL_ANSWER_BYTES:
            oldest = next(iter(self._answer_sizes))
            self._answer_bytes -= self._answer_sizes.pop(oldest)
            self._by_key[oldest].answer = None

    def find_timed_out(self, now_s: float) -> list[KeyedCall]:
        """Returns the calls still waiting for the right to run past their deadline."""
        open_key_hashes = list(self._key_by_call_id.values())
        keyed_calls = [self._by_key[key_hash] for key_hash in open_key_hashes]
        return [
            keyed_call
            for keyed_call in keyed_calls
            if keyed_call.state is KeyedCallState.WAITING and keyed_call.wait_deadline_s <= now_s
        ]

    def drop_expired(self, now_s: float) -> None:
        """Drops expired calls, oldest first, up to the first that is not expired or not ended."""
        while self._by_key:
            keyed_call = next(iter(self._by_key.values()))
            if keyed_call.expires_s > now_s or keyed_call.state in {
                KeyedCallState.WAITING,
                KeyedCallState.RUNNING,
            }:
                return
            self.remove(keyed_call)
