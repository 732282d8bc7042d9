"""What the order keeper tells its shell to do, and the bounds that it keeps."""

from enum import Enum

from attrs import frozen

from berylquay.decisions.engine_orders import EngineChange, Order
from berylquay.decisions.fleet import Address
from berylquay.peers.payloads import DrainNotice


@frozen
class OrderLimits:
    """Times and bounds of orders and drains."""

    # Longest time that an order has to leave this host.
    order_lifetime_s: float = 2.0
    # Shortest rest of a lease in which an order is still begun.
    min_remaining_lease_s: float = 1.0
    # Longest time between the expiry of an order and its last effect.
    order_margin_s: float = 3.0
    # Time between two equal readings of an engine that make its state known.
    state_confirmation_s: float = 0.5
    # Interval between readings of an engine that is unknown or amid a change.
    busy_read_interval_s: float = 0.25
    # Shortest interval between readings of an idle engine.
    idle_read_interval_s: float = 5.0
    # Most readings of idle engines in a second.
    idle_reads_per_s: float = 6.0
    # Interval between notices of one drain.
    notice_interval_s: float = 1.0
    # Time for which a host keeps the promise that it gave on a notice.
    drain_validity_s: float = 10.0
    # Time after which a change is put off if the drain has not come to its end.
    drain_timeout_s: float = 300.0
    # Time after which a change that was put off is tried again.
    change_retry_delay_s: float = 10.0
    # Most engines of the data centre that are drained or changed at once.
    max_concurrent_changes: int = 8
    # Most by which a host's clock runs fast against the controller's, as a share.
    clock_drift: float = 0.02

    @property
    def host_drain_validity_s(self) -> float:
        """Returns how long a host holds a drain on its own clock."""
        return self.drain_validity_s * (1.0 + self.clock_drift)


@frozen
class StateReadWanted:
    """Command: read an engine's state."""

    backend: str
    address: Address


@frozen
class OrderSendWanted:
    """Command: hand an order to the sender."""

    order: Order


@frozen
class DrainNoticeWanted:
    """Command: tell hosts about a drain."""

    notice: DrainNotice
    hosts: tuple[str, ...]


@frozen
class ChangeEnded:
    """Command: tell that a change was made or put off."""

    change: EngineChange
    succeeded: bool
    detail: str


OrderCommand = StateReadWanted | OrderSendWanted | DrainNoticeWanted | ChangeEnded


class EnginePhase(Enum):
    """Where an engine stands with its controller."""

    # Its state is not known well enough for an order.
    UNKNOWN = "unknown"
    # It serves and nothing is planned.
    IDLE = "idle"
    # New work is kept away from it.
    DRAINING = "draining"
    # An order was handed to the sender and its end was not seen.
    ORDERED = "ordered"
