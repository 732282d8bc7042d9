"""Request from a daemon to the order sender on its host, as JSON over HTTP on loopback."""

import json
from typing import Final

from attrs import frozen

from berylquay.decisions.fleet import Address

ORDERS_PATH: Final = "/v1/orders"


@frozen
class SendRequest:
    """An order as the daemon passes it to the sender."""

    # Address on which the engine listens.
    address: Address
    # Monotonic time of this host after which no byte of the order may be sent.
    expires_s: float
    # Fencing number of the authority under which the order is sent.
    term: int
    # Body of the HTTP request to the engine.
    body: dict[str, object]


def encode_send_request(request: SendRequest) -> dict[str, object]:
    """Returns the JSON object of a request to the sender."""
    return {
        "ip": request.address.ip,
        "port": request.address.port,
        "expires_s": request.expires_s,
        "term": request.term,
        "body": request.body,
    }


def parse_send_request(data: bytes) -> SendRequest:
    """Returns the request in the data.

    Raises:
        ValueError: The data is not JSON or a value is malformed.
        KeyError: A field is missing.
    """
    value = json.loads(data)
    if not isinstance(value, dict) or not isinstance(value["body"], dict):
        raise ValueError(value)
    address = Address(str(value["ip"]), int(value["port"]))
    return SendRequest(address, float(value["expires_s"]), int(value["term"]), value["body"])
