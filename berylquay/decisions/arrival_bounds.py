"""When a datagram can have arrived that waited in the socket's queue.

A host that stood still handles datagrams of before and during that time when it goes on. What they
state is as old as they are, and those that arrived last are lost if the queue was full. The queue
does not tell how long a datagram has waited in it, but whatever it holds has arrived since it was
last seen empty.
"""

from typing import Final

from attrs import define, frozen

MS_PER_S: Final = 1000.0


@frozen
class ArrivalBounds:
    """Monotonic times between which a datagram has arrived.

    What the sender states of the present counts from the earliest one; what is retained for some
    time, or must be answered, from the latest one.
    """

    earliest_s: float
    # When the datagram was taken from the queue.
    latest_s: float

    @property
    def longest_wait_ms(self) -> int:
        """Returns the longest time for which the datagram can have waited, in milliseconds."""
        return round((self.latest_s - self.earliest_s) * MS_PER_S)

    def with_earlier_wait(self, wait_ms: int) -> "ArrivalBounds":
        """Returns the bounds of a datagram that had waited at another host before."""
        return ArrivalBounds(self.earliest_s - wait_ms / MS_PER_S, self.latest_s)


@define
class ReceiveQueue:
    """Tracks when the queue of a socket was last seen empty."""

    # Time on the clock that also runs while the machine is suspended.
    _empty_boot_s: float

    def on_empty(self, boot_s: float) -> None:
        """Records that the queue was empty after a time.

        Args:
            boot_s: A time before the read that found no datagram.
        """
        self._empty_boot_s = max(self._empty_boot_s, boot_s)

    def bound_arrival(self, boot_s: float, now_s: float) -> ArrivalBounds:
        """Returns when a datagram has arrived that was just taken from the queue.

        Args:
            boot_s: Present time on the clock that also runs while the machine is suspended.
            now_s: Present monotonic time.
        """
        return ArrivalBounds(now_s - max(0.0, boot_s - self._empty_boot_s), now_s)
