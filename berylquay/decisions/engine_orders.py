"""Planned changes of engines, the orders that carry them out, and the states of engines."""

from enum import Enum

from attrs import frozen

from berylquay.decisions.fleet import Address, Role
from berylquay.decisions.roles import RoleChange


@frozen
class ModelChange:
    """An engine is to load another model or version."""

    # Name of the backend server.
    backend: str
    model: str
    version: str
    # Adapters to load with the model.
    adapters: tuple[str, ...] = ()


@frozen
class AdapterChange:
    """An engine is to load other adapters for the model that it runs."""

    # Name of the backend server.
    backend: str
    # The whole set.
    adapters: tuple[str, ...]


EngineChange = RoleChange | ModelChange | AdapterChange


@frozen
class Order:
    """A change as it is sent to an engine."""

    # Unique id, by which the engine recognises a repetition.
    order_id: str
    # Fencing number of the authority under which the order is given.
    term: int
    change: EngineChange
    # Where the engine listens.
    address: Address
    # Monotonic time of this host after which no byte of the order may leave it.
    expires_s: float


class OrderSendOutcome(Enum):
    """What became of an order that was handed to the sender."""

    # The engine accepted it.
    ACCEPTED = "accepted"
    # The engine refused it.
    REFUSED = "refused"
    # No byte of it left this host.
    NOT_SENT = "not-sent"
    # It may have reached the engine.
    UNKNOWN = "unknown"


@frozen
class EngineState:
    """What an engine says of itself at this moment."""

    # Name of the backend server.
    backend: str
    # Changes with each start of the engine.
    incarnation: str
    role: Role
    # Model and version, as model@version.
    model: str
    adapters: frozenset[str]
    # Requests in the batch.
    running_requests: int
    # Order that is under way, or empty.
    order_in_progress: str
    # Order that was accepted last since the engine's start, or empty.
    last_order: str


def order_request_body(order: Order) -> dict[str, object]:
    """Returns the body of the order as engines take it."""
    common_fields: dict[str, object] = {"order_id": order.order_id, "fencing_number": order.term}
    change = order.change
    if isinstance(change, RoleChange):
        return {**common_fields, "kind": "role", "role": change.role.value}
    adapters = list(change.adapters)
    if isinstance(change, AdapterChange):
        return {**common_fields, "kind": "load_adapter", "adapters": adapters}
    model = {"model": change.model, "version": change.version}
    return {**common_fields, "kind": "load_model", **model, "adapters": adapters}
