"""Requests to the readiness and metrics pages that are malformed or unusual."""

import socket
from typing import Final

import pytest

from tests.relay.test_malformed_messages import error_lines
from tests.support.relay_fleet import RelayFleet

MALFORMED: Final = {
    "no-http": b"\xff\x00" * 400 + b"\r\n\r\n",
    "no-end": b"GET " + b"x" * 100_000,
    "bad-length": b"GET /ready HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n",
    "bad-chunk": b"GET /ready HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    "unknown-page": b"POST /\xff\x80 HTTP/1.1\r\nHost: h\r\n\r\n",
    "tls": b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
    "nothing": b"",
}


def page_ports(fleet: RelayFleet) -> list[int]:
    settings = (fleet.processes.directory / "host-0.ini").read_text(encoding="utf-8")
    return [
        int(settings.partition(f"{name} = 127.0.0.1:")[2].split()[0])
        for name in ("readiness", "metrics")
    ]


# Guards against a process that ends, or shows its pages no more, after a malformed request.
@pytest.mark.parametrize("kind", MALFORMED)
def test_a_malformed_request_to_a_page_harms_nothing(app_fleet: RelayFleet, kind: str) -> None:
    for port in page_ports(app_fleet):
        with socket.create_connection(("127.0.0.1", port), timeout=2.0) as sock:
            sock.sendall(MALFORMED[kind])
    assert app_fleet.is_ready()
    assert not error_lines(app_fleet)


# Guards against a load balancer that checks with HEAD, and gets no response.
def test_a_page_answers_head(app_fleet: RelayFleet) -> None:
    with socket.create_connection(("127.0.0.1", page_ports(app_fleet)[0]), timeout=2.0) as sock:
        sock.sendall(b"HEAD /ready HTTP/1.1\r\nHost: h\r\n\r\n")
        received = sock.recv(4096)
    assert received.startswith(b"HTTP/1.1 200")
    assert received.endswith(b"\r\n\r\n")
