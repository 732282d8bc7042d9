"""Messages that the components of every program receive: the time, and the request to stop.

They are apart from `berylquay.component_messages` because a relay host needs no other of those: the
time that it takes to import them delays its return after a crash.
"""

from attrs import frozen


@frozen
class Tick:
    """ticker -> all: the monotonic time, posted at a regular interval."""

    now_s: float


@frozen
class StopRequested:
    """daemon -> all: stop this host gracefully; it reports itself as not ready from now on."""

    now_s: float
