"""Claims to the authority to send orders to engines, made only when there is something to order.

The store's topic holds one record for each claim, appended on the condition that the topic still
ends where the claimant has read it. A claim is valid for a short term that begins before its append
is sent. A claimant that finds a record of another holder waits until that term, plus the time in
which two holders must not order the same engines, has passed since it first read the record. It
uses only its own monotonic clock. Nothing is renewed, so an idle authority costs no calls.

When the store comes back from an older copy, a claim of the former era may be lost from the topic
and still be valid for its holder. A claimant therefore waits as after another holder's claim, from
the moment at which it learns of the era. The fencing number orders claims by era, then by offset.
"""

from enum import Enum
from typing import Final

from attrs import define, field, frozen

# Bits of a fencing number that hold the claim's place in the topic; the era is above them.
OFFSET_BITS: Final = 32


@frozen
class ClaimTimes:
    """Durations that are the same on all hosts."""

    # Time for which a claim is valid, counted from before its append is sent.
    validity_s: float
    # Time after the end of a claim in which its last orders may still arrive, and in which no other
    # holder may send orders.
    in_flight_grace_s: float

    @property
    def takeover_delay_s(self) -> float:
        """Returns how long a claimant waits after it has read the claim of another holder."""
        return self.validity_s + self.in_flight_grace_s


class ClaimStep(Enum):
    """Next step of a claimant."""

    # Do nothing for now.
    WAIT = "wait"
    # Read the topic from `next_offset`.
    READ = "read"
    # Append a claim on the condition that the topic ends at `next_offset`.
    APPEND = "append"
    # Send orders: the claim is valid.
    ORDER = "order"


@define
class OrderClaims:
    """Claims of one process."""

    _times: ClaimTimes
    # Unique name of this process.
    _holder: str
    # Offset after the last record that was read.
    next_offset: int = field(default=0, init=False)
    # Whether the topic has been read to its end since the last failure.
    _read_to_end: bool = field(default=False, init=False)
    # Holder of the newest claim that was read, or empty.
    _last_holder: str = field(default="", init=False)
    # Monotonic time at which the newest claim was read.
    _other_claim_read_s: float = field(default=float("-inf"), init=False)
    # Fencing number of this process's newest claim, and monotonic time until which it is valid.
    _fencing_number: int = field(default=0, init=False)
    _valid_until_s: float = field(default=float("-inf"), init=False)
    # Era of the store in which the topic is read, or 0 if the store states none.
    _era: int = field(default=0, init=False)
    # Monotonic time before which a claim of a former era may still be valid.
    _former_era_until_s: float = field(default=float("-inf"), init=False)
    # Monotonic time from before the pending append was sent, or None if none is pending.
    _append_sent_s: float | None = field(default=None, init=False)

    def next_step(self, now_s: float, *, renews: bool = False) -> ClaimStep:
        """Returns the next step towards sending an order.

        Args:
            now_s: Present time.
            renews: Whether a new claim is needed although the present one may still be valid.
        """
        if now_s < self._valid_until_s and not renews:
            return ClaimStep.ORDER
        if self._append_sent_s is not None:
            return ClaimStep.WAIT
        if not self._read_to_end:
            return ClaimStep.READ
        if now_s < self._former_era_until_s:
            return ClaimStep.WAIT
        is_other_holder = self._last_holder not in ("", self._holder)
        if is_other_holder and now_s < self._other_claim_read_s + self._times.takeover_delay_s:
            return ClaimStep.WAIT
        return ClaimStep.APPEND

    def fencing_number(self, now_s: float) -> int | None:
        """Returns the fencing number for orders, or None without a valid claim."""
        return self._fencing_number if now_s < self._valid_until_s else None

    def remaining_s(self, now_s: float) -> float:
        """Returns for how long the claim remains valid; 0 without a valid claim."""
        return max(0.0, self._valid_until_s - now_s)

    def on_read(self, holders: list[str], next_offset: int, at_end: bool, now_s: float) -> None:
        """Applies claims that were read from the topic.

        Args:
            holders: Holders of the claims, oldest first.
            next_offset: Offset after the last record that was read.
            at_end: Whether the topic ends there.
            now_s: Present time.
        """
        if holders:
            self._last_holder = holders[-1]
            self._other_claim_read_s = now_s
        self.next_offset = next_offset
        self._read_to_end = at_end

    def on_records_gone(self, first_offset: int, now_s: float) -> None:
        """Continues after claims that were deleted unread; the last may be of any holder."""
        self.next_offset = first_offset
        self._last_holder = "unknown"
        self._other_claim_read_s = now_s
        self._read_to_end = False

    def on_store_era(self, era: int, now_s: float) -> None:
        """Forgets the topic and this process's claim, which are of a former era of the store.

        Also called with the first era that this process sees: it may have begun just before.
        """
        self._era = era
        self.next_offset = 0
        self._read_to_end = False
        self._last_holder = ""
        self._append_sent_s = None
        self._valid_until_s = float("-inf")
        self._former_era_until_s = now_s + self._times.takeover_delay_s

    def on_append_sent(self, now_s: float) -> None:
        """Records that the append of a claim is being sent."""
        self._append_sent_s = now_s

    def on_claimed(self, offset: int) -> None:
        """Records that the claim was appended at the offset, which makes it valid."""
        sent_s, self._append_sent_s = self._append_sent_s, None
        if sent_s is None:
            return
        self._fencing_number = (self._era << OFFSET_BITS) + offset + 1
        self._valid_until_s = sent_s + self._times.validity_s
        self._last_holder = self._holder
        self.next_offset = offset + 1

    def on_claim_failed(self) -> None:
        """Records that a claim was refused or its outcome is unknown; the topic is read again."""
        self._append_sent_s = None
        self._read_to_end = False
