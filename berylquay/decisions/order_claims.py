"""Claims of the authority to order engines, made only when there is something to order.

The store's topic holds one record for each claim, appended on the condition that the topic ends
where the claimant had read it. A claim is good for a short term from before its append was sent. A
claimant that finds another's record waits until that term, and the time for which runners must not
be ordered about by two, have passed since it first read that record: only its own steady clock
counts. There is nothing to renew, so an idle authority costs no call.
"""

from enum import Enum

from attrs import define, field, frozen


@frozen
class ClaimTimes:
    """Times that all hosts share."""

    # Time from before the append for which a claim is good.
    validity_s: float
    # Time after a claim's end in which its last orders may still arrive, and within which no other
    # holder may order.
    in_flight_grace_s: float

    @property
    def takeover_delay_s(self) -> float:
        """Returns how long a claimant waits after it has read another's claim."""
        return self.validity_s + self.in_flight_grace_s


class ClaimStep(Enum):
    """What a claimant does next."""

    # Nothing for now.
    WAIT = "wait"
    # Read the topic from `read_from`.
    READ = "read"
    # Append a claim on the condition that the topic ends at `read_from`.
    APPEND = "append"
    # Order: the claim is good.
    ORDER = "order"


@define
class OrderClaims:
    """Claims of one process."""

    _times: ClaimTimes
    # Unique name of this process.
    _holder: str
    # Offset behind the last record that was read.
    next_offset: int = field(default=0, init=False)
    # Whether the topic was read to its end since the last failure.
    _read_to_end: bool = field(default=False, init=False)
    # Holder of the newest claim that was read, or empty.
    _last_holder: str = field(default="", init=False)
    # Monotonic time at which another's newest claim was first read.
    _other_claim_read_s: float = field(default=float("-inf"), init=False)
    # Fencing number of this process's newest claim, and until when it is good.
    _fencing_number: int = field(default=0, init=False)
    _valid_until_s: float = field(default=float("-inf"), init=False)
    # Monotonic time before the append that is under way, or None.
    _append_sent_s: float | None = field(default=None, init=False)

    def next_step(self, now_s: float) -> ClaimStep:
        """Returns what to do next on the way to an order."""
        if now_s < self._valid_until_s:
            return ClaimStep.ORDER
        if self._append_sent_s is not None:
            return ClaimStep.WAIT
        if not self._read_to_end:
            return ClaimStep.READ
        is_other_holder = self._last_holder not in ("", self._holder)
        if is_other_holder and now_s < self._other_claim_read_s + self._times.takeover_delay_s:
            return ClaimStep.WAIT
        return ClaimStep.APPEND

    def fencing_number(self, now_s: float) -> int | None:
        """Returns the number under which this process may order now, or None."""
        return self._fencing_number if now_s < self._valid_until_s else None

    def on_read(self, holders: list[str], next_offset: int, at_end: bool, now_s: float) -> None:
        """Takes the claims that were read, oldest first."""
        if holders:
            self._last_holder = holders[-1]
            self._other_claim_read_s = now_s
        self.next_offset = next_offset
        self._read_to_end = at_end

    def on_records_gone(self, first_offset: int, now_s: float) -> None:
        """Goes on behind claims that were deleted unread; the last may be of any holder."""
        self.next_offset = first_offset
        self._last_holder = "unknown"
        self._other_claim_read_s = now_s
        self._read_to_end = False

    def on_append_sent(self, now_s: float) -> None:
        """Takes note that a claim is on its way."""
        self._append_sent_s = now_s

    def on_claimed(self, offset: int) -> None:
        """Takes the answer that the claim stands at the offset."""
        sent_s, self._append_sent_s = self._append_sent_s, None
        if sent_s is None:
            return
        self._fencing_number = offset + 1
        self._valid_until_s = sent_s + self._times.validity_s
        self._last_holder = self._holder
        self.next_offset = offset + 1

    def on_claim_failed(self) -> None:
        """Takes a claim that was refused or whose fate is unknown; the topic tells."""
        self._append_sent_s = None
        self._read_to_end = False
