"""Planned changes of engines, the orders that carry them out, and the states of engines."""

from enum import Enum

from attrs import frozen

from berylquay.decisions.fleet import Address, Role
from berylquay.decisions.roles import RoleChange


@frozen
class ModelChange:
    """A planned load of another model or version by an engine."""

    # Name of the backend server.
    backend: str
    model: str
    version: str
    # Adapters to load with the model.
    adapters: tuple[str, ...] = ()


@frozen
class AdapterChange:
    """A planned load of other adapters for the model that an engine runs."""

    # Name of the backend server.
    backend: str
    # All adapters that the engine is to have loaded.
    adapters: tuple[str, ...]


EngineChange = RoleChange | ModelChange | AdapterChange


@frozen
class Order:
    """A command to an engine to make a change."""

    # Unique id, by which the engine recognises a duplicate.
    order_id: str
    # Fencing number of the authority under which the order is sent.
    term: int
    change: EngineChange
    # Address on which the engine listens.
    address: Address
    # Monotonic time of this host after which it must not send any byte of the order.
    expires_s: float


class OrderSendOutcome(Enum):
    """Outcome of an order that was passed to the sender."""

    # The engine accepted it.
    ACCEPTED = "accepted"
    # The engine refused it.
    REFUSED = "refused"
    # No byte of it left this host.
    NOT_SENT = "not-sent"
    # It may or may not have reached the engine.
    UNKNOWN = "unknown"


@frozen
class EngineState:
    """State that an engine reports about itself."""

    # Name of the backend server.
    backend: str
    # Id that changes with each start of the engine.
    incarnation: str
    role: Role
    # Model and version, as model@version.
    model: str
    adapters: frozenset[str]
    # Number of requests in the batch.
    running_requests: int
    # Id of the order that the engine is executing, or empty.
    order_in_progress: str
    # Id of the order accepted most recently since the engine's start, or empty.
    last_order: str


def order_request_body(order: Order) -> dict[str, object]:
    """Returns the JSON object that the engines' order endpoint takes."""
    common_fields: dict[str, object] = {"order_id": order.order_id, "fencing_number": order.term}
    change = order.change
    if isinstance(change, RoleChange):
        return {**common_fields, "kind": "role", "role": change.role.value}
    adapters = list(change.adapters)
    if isinstance(change, AdapterChange):
        return {**common_fields, "kind": "load_adapter", "adapters": adapters}
    model = {"model": change.model, "version": change.version}
    return {**common_fields, "kind": "load_model", **model, "adapters": adapters}
