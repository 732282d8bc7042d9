"""How answers of backend servers that end too early reach their callers."""

import http.client
import socket
from typing import Final

import pytest

from tests.support.relay_fleet import HOST_NAME, PATHS, RelayFleet, make_configuration, wait_until
from tests.support.scripted_backend import Ending, Script

EVENT: Final = b"id: 1\ndata: first\n\n"
UNFRAMED_STREAM_HEAD: Final = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nAttempt-Id: <id>\r\n"
    b"Server-Seal: seal\r\n\r\n"
)


@pytest.mark.parametrize(
    ("framing_header", "body", "framing"),
    [
        (b"Content-Length: 2\r\n", b"{}", "length"),
        (b"Transfer-Encoding: chunked\r\n", b"2\r\n{}\r\n0\r\n\r\n", "chunked"),
        (b"", b"{}", "connection-end"),
    ],
)
def test_the_log_names_how_an_answer_was_framed(
    fleet: RelayFleet, framing_header: bytes, body: bytes, framing: str
) -> None:
    fleet.put_configuration(make_configuration())
    head = b"HTTP/1.1 200 OK\r\nAttempt-Id: <id>\r\nServer-Seal: seal\r\n"
    answer = head + framing_header + b"\r\n" + body
    fleet.add_scripted_backend("app", "app", answer, Ending.FIN)
    fleet.add_host()
    assert fleet.send_request(PATHS["many"], "id-1").body == b"{}"
    wait_until(lambda: _logged_framings(fleet) == [framing])


def _logged_framings(fleet: RelayFleet) -> list[object]:
    return [line["framing"] for line in fleet.log_lines() if line["message"] == "call ended"]


# Guards against a stream without length and chunks that ends within an event, and that its caller
# got as complete.
def test_a_stream_that_ends_within_an_event_with_its_connection_is_broken_off(
    fleet: RelayFleet,
) -> None:
    fleet.put_configuration(make_configuration())
    answer = UNFRAMED_STREAM_HEAD + EVENT + b"id: 2\ndata: sec"
    fleet.add_scripted_backend("engine", "lm", answer, Ending.FIN, "decode")
    fleet.add_host()
    with pytest.raises(http.client.IncompleteRead) as broken:
        fleet.send_request(PATHS["stream"], "id-1")
    assert broken.value.partial.startswith(EVENT)


# Guards against a JSON answer without length and chunks that is cut off, and that its caller got as
# complete.
@pytest.mark.parametrize(
    ("body", "is_complete"),
    [
        (b'{"a": [1, "}"]}', True),
        (b'{"a": [1, "}"]', False),
        (b'{"a": "\\"}', False),
        (b'"cut', False),
        (b"", False),
    ],
)
def test_an_unframed_json_answer_that_is_cut_off_is_not_passed_on(
    fleet: RelayFleet, body: bytes, is_complete: bool
) -> None:
    fleet.put_configuration(make_configuration())
    head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nServer-Seal: seal\r\n\r\n"
    fleet.add_scripted_backend("app", "app", head + body, Ending.FIN)
    fleet.add_host()
    response = fleet.send_request(PATHS["once"], "id-1")
    assert (response.status, "server-seal" in response.headers) == (
        (200, True) if is_complete else (502, False)
    )


def _receive_until_end(caller: socket.socket) -> tuple[bytes, bool]:
    """Returns what a caller received, and whether its connection ended with a reset."""
    received = b""
    while True:
        try:
            data = caller.recv(65536)
        except ConnectionResetError:
            return received, True
        if not data:
            return received, False
        received += data


# Guards against a broken-off answer that an HTTP/1.0 caller takes as complete: nothing but the end
# of its connection tells it.
@pytest.mark.parametrize("ending", [Ending.FIN, Ending.RESET])
@pytest.mark.parametrize("is_complete", [True, False])
def test_an_http_1_0_caller_sees_a_broken_off_answer_as_a_reset(
    fleet: RelayFleet, ending: Ending, is_complete: bool
) -> None:
    fleet.put_configuration(make_configuration())
    head = UNFRAMED_STREAM_HEAD.replace(b"\r\n\r\n", b"\r\nTransfer-Encoding: chunked\r\n\r\n")
    answer = head + b"%x\r\n%b\r\n" % (len(EVENT), EVENT) + (b"0\r\n\r\n" if is_complete else b"")
    fleet.add_scripted_backend("engine", "lm", answer, ending, "decode")
    fleet.add_host()
    with fleet.connect() as caller:
        request = f"POST {PATHS['stream']} HTTP/1.0\r\nHost: {HOST_NAME}\r\nAttempt-Id: id-1\r\n"
        caller.sendall(request.encode() + b"Content-Length: 0\r\n\r\n")
        received, was_reset = _receive_until_end(caller)
    assert received.endswith(EVENT)
    assert was_reset is not is_complete


# Guards against an error answer to a resumption that is appended to the events of the stream, and
# framed as its end.
@pytest.mark.parametrize(
    "resumption",
    [
        b"HTTP/1.1 500 Error\r\nAttempt-Id: <id>\r\nContent-Length: 4\r\n\r\noops",
        b"HTTP/1.1 400 Bad\r\nAttempt-Id: <id>\r\nContent-Length: 4\r\n\r\noops",
        b"HTTP/1.1 200 OK\r\nAttempt-Id: <id>\r\nContent-Type: application/json\r\n"
        b"Server-Seal: seal\r\nContent-Length: 2\r\n\r\n{}",
    ],
)
def test_an_error_answer_to_a_resumption_does_not_end_the_stream(
    fleet: RelayFleet, resumption: bytes
) -> None:
    fleet.put_configuration(make_configuration())
    broken = UNFRAMED_STREAM_HEAD + EVENT + b"id: 2\ndata: sec"
    backends = [
        fleet.add_scripted_backend(name, "lm", broken, Ending.FIN, "decode")
        for name in ("engine-0", "engine-1")
    ]
    for backend in backends:
        backend.resumption_script = Script(resumption, Ending.FIN)
    fleet.add_host()
    with pytest.raises(http.client.IncompleteRead) as broken_off:
        fleet.send_request(PATHS["resumable"], "id-1")
    assert broken_off.value.partial == EVENT
    resumed = [request for backend in backends for request in backend.requests[-1:]]
    assert sum(b"last-event-id: 1" in request.lower() for request in resumed) == 1
