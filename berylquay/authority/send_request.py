"""What a daemon hands to the sender of orders on its host, as JSON over HTTP on loopback."""

import json
from typing import Final

from attrs import frozen

from berylquay.decisions.fleet import Address

ORDERS_PATH: Final = "/v1/orders"


@frozen
class SendRequest:
    """An order as the daemon hands it over."""

    address: Address
    expires_s: float
    term: int
    # Body of the order as engines take it.
    body: dict[str, object]


def encode_send_request(request: SendRequest) -> dict[str, object]:
    """Returns the JSON shape of a request to the sender."""
    return {
        "ip": request.address.ip,
        "port": request.address.port,
        "expires_s": request.expires_s,
        "term": request.term,
        "body": request.body,
    }


def parse_send_request(data: bytes) -> SendRequest:
    """Returns the request in the data; a `ValueError` or `KeyError` means that it is malformed."""
    value = json.loads(data)
    if not isinstance(value, dict) or not isinstance(value["body"], dict):
        raise ValueError(value)
    address = Address(str(value["ip"]), int(value["port"]))
    return SendRequest(address, float(value["expires_s"]), int(value["term"]), value["body"])
