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
MAX_ANSWERS_BYTES: Final = 16_777_216


class RunState(Enum):
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
class KeyRun:
    """The run of one key."""

    # Hash of the tenant and the key.
    key: str
    # Key as the caller sent it.
    text: str
    call: Call
    # Monotonic time until which the run is kept.
    expires_s: float
    state: RunState = RunState.WAITING
    # Monotonic time at which waiting ends.
    wait_until_s: float = 0.0
    # Offset of the claim that won, or 0.
    claim_offset: int = 0
    # Host that issued the ticket and the id under which it was asked, or empty.
    issuer: str = ""
    ask_id: str = ""
    answer: StoredAnswer | None = None


@define
class KeyRuns:
    """The runs of all keys, bounded."""

    # Runs by key, the one that was begun the longest ago first.
    _by_key: dict[str, KeyRun] = field(factory=dict)
    # Key by call id, for runs that are not over.
    _key_of_call: dict[str, str] = field(factory=dict)
    # Key by the id of the question to the ticket's issuer.
    _key_of_ask: dict[str, str] = field(factory=dict)
    # Keys whose answers are kept, the oldest first.
    _answered: dict[str, int] = field(factory=dict)
    # Bytes of the answers that are kept.
    _answer_bytes: int = 0

    def __len__(self) -> int:
        """Returns the number of keys."""
        return len(self._by_key)

    @property
    def full(self) -> bool:
        """Tells whether no further key can be taken."""
        return len(self._by_key) >= MAX_KEYS

    def get(self, key: str) -> KeyRun | None:
        """Returns the run of the key, or None."""
        return self._by_key.get(key)

    def of_call(self, call_id: str) -> KeyRun | None:
        """Returns the run that the call began, or None."""
        key = self._key_of_call.get(call_id)
        return None if key is None else self._by_key.get(key)

    def of_ask(self, ask_id: str) -> KeyRun | None:
        """Returns the run that waits for the answer to the question, or None."""
        key = self._key_of_ask.get(ask_id)
        return None if key is None else self._by_key.get(key)

    def add(self, run: KeyRun) -> None:
        """Takes a new run."""
        self._by_key[run.key] = run
        self._key_of_call[run.call.call_id] = run.key
        if run.ask_id:
            self._key_of_ask[run.ask_id] = run.key

    def remove(self, run: KeyRun) -> None:
        """Forgets a run."""
        self._by_key.pop(run.key, None)
        self._key_of_call.pop(run.call.call_id, None)
        self._key_of_ask.pop(run.ask_id, None)
        self._answer_bytes -= self._answered.pop(run.key, 0)

    def complete(self, run: KeyRun, answer: StoredAnswer | None) -> None:
        """Notes that the whole answer was delivered, and keeps it if there is room."""
        run.state = RunState.COMPLETED
        self._key_of_call.pop(run.call.call_id, None)
        if answer is None or len(answer.body) > MAX_ANSWER_BYTES:
            return
        run.answer = answer
        self._answered[run.key] = len(answer.body)
        self._answer_bytes += len(answer.body)
        while self._answer_bytes > MAX_ANSWERS_BYTES:
            oldest = next(iter(self._answered))
            self._answer_bytes -= self._answered.pop(oldest)
            self._by_key[oldest].answer = None

    def waiting_too_long(self, now_s: float) -> list[KeyRun]:
        """Returns the runs whose right to run did not come in time."""
        open_keys = list(self._key_of_call.values())
        runs = [self._by_key[key] for key in open_keys]
        return [run for run in runs if run.state is RunState.WAITING and run.wait_until_s <= now_s]

    def forget_expired(self, now_s: float) -> None:
        """Forgets the runs whose time is over."""
        while self._by_key:
            run = next(iter(self._by_key.values()))
            if run.expires_s > now_s or run.state in {RunState.WAITING, RunState.RUNNING}:
                return
            self.remove(run)
