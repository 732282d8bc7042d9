"""Messages of a tunnel: a connection to a backend server by way of another host, the gateway.

A tunnel is a WebSocket between two hosts that carries CBOR. The host that needs the gateway opens
the tunnel with the server's name; from then on byte strings are the data of the connection. Arrays
are events, which begin with their name. Only `END` says that the server has closed its side.
"""

from typing import Final

import cbor2

from berylquay.decisions.server_instance import ServerInstance
from berylquay.peers.websocket import MAX_MESSAGE_BYTES
from berylquay.relay.report_fields import FIELD_ERRORS

# Data in one message; the rest follows in the next ones.
MAX_DATA_BYTES: Final = MAX_MESSAGE_BYTES // 4
# The server has been reached.
OPENED: Final = "opened"
# The gateway can't be used, whatever the server.
GATEWAY_REFUSED: Final = "gateway-refused"
# The gateway has not reached the server: either of them, or the link between them, is at fault.
UNREACHED: Final = "unreached"
# The server is not known to the gateway, is leaving, or wants no requests; from hosts of earlier
# builds also that the gateway has not reached it.
SERVER_REFUSED: Final = "server-refused"
# The server has closed its side after all that was sent before. The detail is `UNDELIVERED` if it
# had not received all data by then; earlier builds state none.
END: Final = "end"
UNDELIVERED: Final = "undelivered"
# The server has asked for a pause.
PAUSE: Final = "pause"
_OPEN: Final = "open"
TunnelMessage = bytes | tuple[str, str]


def encode_open(instance: ServerInstance) -> bytes:
    """Returns the message that opens a tunnel to a server."""
    return cbor2.dumps([_OPEN, instance.name, instance.started_unix_ms])


def decode_open(data: bytes) -> ServerInstance | None:
    """Returns the server to which a tunnel is to lead, or None if the message is another one."""
    try:
        kind, name, started_unix_ms = cbor2.loads(data)
        return ServerInstance(str(name), int(started_unix_ms)) if kind == _OPEN else None
    except FIELD_ERRORS:
        return None


def encode_event(event: str, detail: str = "") -> bytes:
    """Returns the message of an event."""
    return cbor2.dumps([event, detail])


def encode_data(data: bytes) -> list[bytes]:
    """Returns the messages that carry the data."""
    return [
        cbor2.dumps(data[start : start + MAX_DATA_BYTES])
        for start in range(0, len(data), MAX_DATA_BYTES)
    ]


def decode_message(data: bytes) -> TunnelMessage | None:
    """Returns the data, or an event and its detail; None if the message is neither."""
    try:
        value = cbor2.loads(data)
        if isinstance(value, bytes):
            return value
        event, detail = value
        return str(event), str(detail)
    except FIELD_ERRORS:
        return None
