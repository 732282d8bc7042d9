"""Claims in a topic of the store that let one host at a time act: the store calls around them.

Each use has its own topic. A claim's record names its holder and may carry a payload, which all
hosts that read the topic receive in order.
"""

from collections.abc import Callable
from random import Random
from typing import Final, Protocol

import logbook

from berylquay.decisions.order_claims import ClaimStep, ClaimTimes, OrderClaims
from berylquay.net.clocks import boot_clock_s
from berylquay.platform.store_client import AppendResult, RecordPage, StoreClient, StoreFailure
from berylquay.relay.follower import FAILURE_BACKOFF

# Separates the holder's name from the payload in a record.
_PAYLOAD_SEPARATOR: Final = b"\n"
_log = logbook.Logger("claims")


class ClaimListener(Protocol):
    """Receives the claims of a topic."""

    def on_claim(self, holder: str, payload: bytes, offset: int, now_s: float) -> None:
        """Called for each record that was read or appended, in order, own ones included.

        After a new era of the store, the topic is read again from its start.
        """


class Claimant:
    """Claims of one process in one topic."""

    _topic: str
    # Unique name of this process.
    _holder: str
    _store_client: StoreClient
    _claims: OrderClaims
    _rng: Random
    _listener: ClaimListener | None
    # Monotonic clock that also runs while the host is suspended.
    _clock: Callable[[], float]
    # Payload of the newest own claim that became valid.
    _claimed_payload: bytes | None
    # Monotonic times of the last tick, and before which no call is made after a failure.
    _now_s: float
    _next_call_s: float
    _consecutive_failures: int
    _has_read_to_end: bool

    def __init__(
        self,
        topic: str,
        holder: str,
        times: ClaimTimes,
        store_client: StoreClient,
        rng: Random,
        *,
        listener: ClaimListener | None = None,
        clock: Callable[[], float] | None = None,
    ) -> None:
        self._topic = topic
        self._holder = holder
        self._store_client = store_client
        self._claims = OrderClaims(times, holder)
        self._rng = rng
        self._listener = listener
        self._clock = boot_clock_s if clock is None else clock
        self._claimed_payload = None
        self._now_s = float("-inf")
        self._next_call_s = float("-inf")
        self._consecutive_failures = 0
        self._has_read_to_end = False

    @property
    def has_read_to_end(self) -> bool:
        """Tells whether the topic was read to its end, and no call has failed since."""
        return self._has_read_to_end

    def fencing_number(self) -> int | None:
        """Returns the fencing number of the newest own claim, or None if it is not valid."""
        return self._claims.fencing_number(self._clock())

    def remaining_s(self) -> float:
        """Returns for how long the newest own claim remains valid; 0 without a valid claim."""
        return self._claims.remaining_s(self._clock())

    def on_store_era(self, era: int) -> None:
        """Gives up a claim of a former era; calls sent under it may still be carried out."""
        self._store_client.abandon_call()
        self._claims.on_store_era(era, self._clock())
        self._claimed_payload = None
        self._has_read_to_end = False

    def on_tick(self, now_s: float) -> None:
        """Fails a store call that has exceeded its deadline."""
        self._now_s = now_s
        self._store_client.on_tick(now_s)

    def advance(self, payload: bytes, now_s: float) -> ClaimStep:
        """Takes the next step towards a valid claim with this payload.

        Returns:
            The step that was taken; `ClaimStep.ORDER` only once the newest own claim is valid and
            has this payload.
        """
        clock_s = self._clock()
        is_claimed = payload == self._claimed_payload
        if is_claimed and self._claims.fencing_number(clock_s) is not None:
            return ClaimStep.ORDER
        if self._is_waiting(now_s):
            return ClaimStep.WAIT
        step = self._claims.next_step(clock_s, renews=True)
        if step is ClaimStep.READ:
            self._read()
        elif step is ClaimStep.APPEND:
            self._append(payload)
        return step

    def refresh(self, now_s: float) -> None:
        """Reads newer records, unless a call is in flight or a failure was just before."""
        if not self._is_waiting(now_s):
            self._read()

    def _is_waiting(self, now_s: float) -> bool:
        self._now_s = now_s
        return self._store_client.busy or now_s < self._next_call_s

    def _read(self) -> None:
        self._store_client.read(self._topic, self._claims.next_offset, 0.0, self._on_read)

    def _append(self, payload: bytes) -> None:
        record = self._holder.encode()
        if payload:
            record += _PAYLOAD_SEPARATOR + payload

        def on_appended(result: AppendResult | StoreFailure) -> None:
            self._on_appended(payload, result)

        self._claims.on_append_sent(self._clock())
        self._store_client.append(
            self._topic, [record], on_appended, expected_end_offset=self._claims.next_offset
        )

    def _on_read(self, result: RecordPage | StoreFailure) -> None:
        clock_s = self._clock()
        if isinstance(result, RecordPage) and not (result.contents or result.is_at_end):
            failure = StoreFailure("a page without records", 0, may_have_happened=False)
            self._on_failure(failure)
        elif isinstance(result, RecordPage):
            claims = [_decode_claim(content) for content in result.contents]
            at_end = result.is_at_end
            holders = [holder for holder, _ in claims]
            self._claims.on_read(holders, result.next_offset, at_end, clock_s)
            self._has_read_to_end = at_end
            for offset, (holder, payload) in enumerate(claims, result.first_offset):
                self._notify(holder, payload, offset)
        elif result.records_gone:
            self._claims.on_records_gone(result.first_offset, clock_s)
            self._has_read_to_end = False
        elif result.is_topic_missing:
            # Nobody has claimed yet: the first append creates the topic.
            self._claims.on_read([], 0, True, clock_s)
            self._has_read_to_end = True
        else:
            self._on_failure(result)

    def _on_appended(self, payload: bytes, result: AppendResult | StoreFailure) -> None:
        if isinstance(result, StoreFailure):
            self._claims.on_claim_failed()
            self._on_failure(result)
            return
        self._consecutive_failures = 0
        self._claims.on_claimed(result.offset)
        self._claimed_payload = payload
        _log.info(
            "authority claimed",
            topic=self._topic,
            holder=self._holder,
            term=self._claims.fencing_number(self._clock()),
        )
        self._notify(self._holder, payload, result.offset)

    def _notify(self, holder: str, payload: bytes, offset: int) -> None:
        if self._listener is not None:
            self._listener.on_claim(holder, payload, offset, self._now_s)

    def _on_failure(self, failure: StoreFailure) -> None:
        self._has_read_to_end = False
        self._consecutive_failures += 1
        self._next_call_s = self._now_s + FAILURE_BACKOFF.delay_s(
            self._consecutive_failures, self._rng
        )
        _log.info(
            "authority claim failed",
            topic=self._topic,
            status=failure.status,
            detail=failure.detail,
            may_have_happened=failure.may_have_happened,
        )


def _decode_claim(content: bytes) -> tuple[str, bytes]:
    """Returns the holder and the payload of a record."""
    holder, _, payload = content.partition(_PAYLOAD_SEPARATOR)
    return holder.decode("utf-8", "replace"), payload
