"""Key runs: what this host did with each idempotency key that came to it."""

from enum import Enum
from typing import Final

from attrs import define, field, frozen

from berylquay.decisions.calls import Call

# Most keys that are kept at once.
MAX_KEYS: Final = 50_000
# Longest answer that is kept for a repeated key.
MAX_ANSWER_BYTES: Final = 65_536
# Most bytes of answers that are kept in all.
MAX_TOTAL_ANSWER_BYTES: Final = 16_777_216


class KeyedCallState(Enum):
    """How far the call behind a key has come on this host."""

    # The right to run it is asked for.
    WAITING = "waiting"
    # It was handed to dispatch.
    RUNNING = "running"
    # Its whole answer was delivered.
    COMPLETED = "completed"
    # It was not run and the ticket is void, so that it never will be.
    NOT_RUN = "not-run"
    # It may have run, and no answer will come.
    MAY_HAVE_RUN = "may-have-run"


@frozen
class StoredAnswer:
    """The whole answer of a service call."""

    status: int
    body: bytes
    content_type: str


@define(eq=False)
class KeyedCall:
    """The run of one key."""

    # Hash of the tenant and the key.
    key_hash: str
    # Key as the caller sent it.
    idempotency_key: str
    call: Call
    # Monotonic time until which the run is kept.
    expires_s: float
    state: KeyedCallState = KeyedCallState.WAITING
    # Monotonic time at which waiting ends.
    wait_deadline_s: float = 0.0
    # Offset of the claim that won, or 0.
    claim_offset: int = 0
    # Host that issued the ticket and the id under which it was asked, or empty.
    issuer: str = ""
    ask_id: str = ""
    answer: StoredAnswer | None = None


@define
class KeyedCallTable:
    """The runs of all keys, bounded."""

    # Runs by key, the one that was begun the longest ago first.
    _by_key: dict[str, KeyedCall] = field(factory=dict)
    # Key by call id, for runs that are not over.
    _key_by_call_id: dict[str, str] = field(factory=dict)
    # Key by the id of the question to the ticket's issuer.
    _key_by_ask_id: dict[str, str] = field(factory=dict)
    # Keys whose answers are kept, the oldest first.
    _answer_sizes: dict[str, int] = field(factory=dict)
    # Bytes of the answers that are kept.
    _answer_bytes: int = 0

    def __len__(self) -> int:
        """Returns the number of keys."""
        return len(self._by_key)

    @property
    def is_full(self) -> bool:
        """Tells whether no further key can be taken."""
        return len(self._by_key) >= MAX_KEYS

    def get(self, key_hash: str) -> KeyedCall | None:
        """Returns the run of the key, or None."""
        return self._by_key.get(key_hash)

    def find_by_call_id(self, call_id: str) -> KeyedCall | None:
        """Returns the run that the call began, or None."""
        key_hash = self._key_by_call_id.get(call_id)
        return None if key_hash is None else self._by_key.get(key_hash)

    def find_by_ask_id(self, ask_id: str) -> KeyedCall | None:
        """Returns the run that waits for the answer to the question, or None."""
        key_hash = self._key_by_ask_id.get(ask_id)
        return None if key_hash is None else self._by_key.get(key_hash)

    def add(self, keyed_call: KeyedCall) -> None:
        """Takes a new run."""
        self._by_key[keyed_call.key_hash] = keyed_call
        self._key_by_call_id[keyed_call.call.call_id] = keyed_call.key_hash
        if keyed_call.ask_id:
            self._key_by_ask_id[keyed_call.ask_id] = keyed_call.key_hash

    def remove(self, keyed_call: KeyedCall) -> None:
        """Forgets a run."""
        self._by_key.pop(keyed_call.key_hash, None)
        self._key_by_call_id.pop(keyed_call.call.call_id, None)
        self._key_by_ask_id.pop(keyed_call.ask_id, None)
        self._answer_bytes -= self._answer_sizes.pop(keyed_call.key_hash, 0)

    def complete(self, keyed_call: KeyedCall, answer: StoredAnswer | None) -> None:
        """Notes that the whole answer was delivered, and keeps it if there is room."""
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

    def timed_out(self, now_s: float) -> list[KeyedCall]:
        """Returns the runs whose right to run did not come in time."""
        open_keys = list(self._key_by_call_id.values())
        keyed_calls = [self._by_key[key_hash] for key_hash in open_keys]
        return [
            keyed_call
            for keyed_call in keyed_calls
            if keyed_call.state is KeyedCallState.WAITING and keyed_call.wait_deadline_s <= now_s
        ]

    def forget_expired(self, now_s: float) -> None:
        """Forgets the runs whose time is over."""
        while self._by_key:
            keyed_call = next(iter(self._by_key.values()))
            if keyed_call.expires_s > now_s or keyed_call.state in {
                KeyedCallState.WAITING,
                KeyedCallState.RUNNING,
            }:
                return
            self.remove(keyed_call)
