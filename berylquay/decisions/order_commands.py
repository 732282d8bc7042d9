"""Commands that the order controller returns, its limits, and the phases of an engine."""

from enum import Enum

from attrs import frozen

from berylquay.decisions.engine_orders import EngineChange, Order
from berylquay.decisions.fleet import Address
from berylquay.peers.payloads import DrainNotice


@frozen
class OrderLimits:
    """Times and limits of orders and drains."""

    # Maximum time from the creation of an order until its last byte has left this host.
    order_lifetime_s: float = 2.0
    # Minimum remaining time of the lease for an order to be sent.
    min_remaining_lease_s: float = 1.0
    # Maximum time between the expiry of an order and its last effect.
    order_margin_s: float = 3.0
    # Time over which state reads of an engine must agree before its state counts as known.
    state_confirmation_s: float = 0.5
    # Interval between state reads of an engine in phase UNKNOWN or ORDERED.
    busy_read_interval_s: float = 0.25
    # Minimum interval between state reads of an idle engine.
    idle_read_interval_s: float = 5.0
    # Maximum number of state reads of all idle engines per second.
    idle_reads_per_s: float = 6.0
    # Interval between notices of one drain.
    notice_interval_s: float = 1.0
    # Time for which a host keeps up a drain after a notice, on the controller's clock.
    drain_validity_s: float = 10.0
    # Time after which a change is deferred if its drain has not completed.
    drain_timeout_s: float = 300.0
    # Time after which a deferred change is retried.
    change_retry_delay_s: float = 10.0
    # Maximum number of engines of the data centre that are drained or changed at the same time.
    max_concurrent_changes: int = 8
    # Maximum by which a host's clock runs faster than the controller's, as a fraction.
    clock_drift: float = 0.02

    @property
    def host_drain_validity_s(self) -> float:
        """Returns how long a host keeps up a drain on its own clock.

        It is longer than `drain_validity_s`, so that a fast host clock does not end the drain
        before the controller counts it as expired.
        """
        return self.drain_validity_s * (1.0 + self.clock_drift)


@frozen
class StateReadWanted:
    """Command: read an engine's state."""

    backend: str
    address: Address


@frozen
class OrderSendWanted:
    """Command: pass an order to the sender."""

    order: Order


@frozen
class DrainNoticeWanted:
    """Command: send hosts a notice that a drain begins, continues or ends."""

    notice: DrainNotice
    hosts: tuple[str, ...]


@frozen
class ChangeEnded:
    """Command: report that a change succeeded or was deferred."""

    change: EngineChange
    succeeded: bool
    detail: str


OrderCommand = StateReadWanted | OrderSendWanted | DrainNoticeWanted | ChangeEnded


class EnginePhase(Enum):
    """Phase of an engine in the order controller."""

    # Its state is not known well enough to send an order.
    UNKNOWN = "unknown"
    # Its state is known, it serves requests, and no change is in progress.
    IDLE = "idle"
    # Entry hosts are asked to place no new work on it.
    DRAINING = "draining"
    # An order was passed to the sender and its outcome is not known yet.
    ORDER_IN_FLIGHT = "ordered"
