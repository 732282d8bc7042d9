"""Bytes of servers that are no answer of a runner: without signature, encoded, or no HTTP/1."""

from typing import Final

import pytest
from attrs import frozen

from tests.support.raw_sockets import find_header
from tests.support.relay_fleet import HOST_NAME, PATHS, RelayFleet, make_configuration
from tests.support.scripted_backend import Ending, Script

BODY: Final = b"id: 1\ndata: x\n\n"
ID: Final = b"Attempt-Id: <id>\r\n"
SEAL: Final = b"Server-Seal: seal\r\n"
# Kinds of request, and whether one may be sent to another server.
KINDS: Final = {"once": False, "stream": False, "many": True, "resumable": True}
FAILURES: Final = (404, 500, 502, 503, 504)


@frozen
class Answer:
    """The head of an answer, before its framing."""

    first_line: bytes
    headers: bytes


# What is no answer of a runner.
FOREIGN: Final = {
    "no-seal": Answer(b"HTTP/1.1 200 OK", ID),
    "empty-seal": Answer(b"HTTP/1.1 200 OK", ID + b"Server-Seal: \r\n"),
    "neither": Answer(b"HTTP/1.1 200 OK", b""),
    "no-seal-204": Answer(b"HTTP/1.1 204 None", ID),
    "no-seal-299": Answer(b"HTTP/1.1 299 X", ID),
    "gzip": Answer(b"HTTP/1.1 200 OK", ID + SEAL + b"Content-Encoding: gzip\r\n"),
    "gzip-500": Answer(b"HTTP/1.1 500 X", ID + SEAL + b"Content-Encoding: gzip\r\n"),
    "status-000": Answer(b"HTTP/1.1 000 X", ID + SEAL),
    "status-099": Answer(b"HTTP/1.1 099 X", ID + SEAL),
    "status-600": Answer(b"HTTP/1.1 600 X", ID + SEAL),
    "status-999": Answer(b"HTTP/1.1 999 X", ID + SEAL),
    "version-0.9": Answer(b"HTTP/0.9 200 OK", ID + SEAL),
    "version-2.0": Answer(b"HTTP/2.0 200 OK", ID + SEAL),
}
# What is passed on unchanged.
OWN: Final = {
    "200": Answer(b"HTTP/1.1 200 OK", ID + SEAL),
    "200-without-id": Answer(b"HTTP/1.1 200 OK", SEAL),
    "200-http-1.0": Answer(b"HTTP/1.0 200 OK", ID + SEAL),
    "201": Answer(b"HTTP/1.1 201 Created", ID + SEAL),
    "206": Answer(b"HTTP/1.1 206 Part", ID + SEAL),
    **{f"{status}": Answer(b"HTTP/1.1 %d X" % status, ID + SEAL) for status in FAILURES},
    **{f"{status}-no-seal": Answer(b"HTTP/1.1 %d X" % status, ID) for status in FAILURES},
    "302-no-seal": Answer(b"HTTP/1.1 302 X", ID + b"Location: /x\r\n"),
}


def encode(answer: Answer, framing: str) -> bytes:
    head = answer.first_line + b"\r\n" + answer.headers + b"Content-Type: text/event-stream\r\n"
    if framing == "length":
        return head + b"Content-Length: %d\r\n\r\n" % len(BODY) + BODY
    if framing == "chunks":
        return head + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (
            len(BODY),
            BODY,
        )
    return head + b"\r\n" + BODY


def add_server(fleet: RelayFleet, name: str, kind: str, answer: bytes) -> None:
    pool, role = ("lm", "decode") if kind in ("stream", "resumable") else ("app", "")
    fleet.add_scripted_backend(name, pool, answer, Ending.FIN, role)


def send(
    fleet: RelayFleet, kind: str, call_id: str, version: str = "1.1", *, prompt_tokens: int = 20
) -> tuple[bytes, bytes]:
    """Sends a request and returns what comes until the connection ends: head and body."""
    head = (
        f"POST {PATHS[kind]} HTTP/{version}\r\nHost: {HOST_NAME}\r\nAttempt-Id: {call_id}\r\n"
        "Deadline-Ms: 3000\r\nContent-Length: 0\r\nConnection: close\r\n"
    )
    if kind in ("stream", "resumable"):
        head += f"Model: m\r\nToken-Counts: {prompt_tokens},1\r\n"
    received = b""
    with fleet.connect() as sock:
        sock.sendall(f"{head}\r\n".encode())
        while data := sock.recv(65536):
            received += data
    answer_head, _, body = received.partition(b"\r\n\r\n")
    return answer_head, body


def status_of(head: bytes) -> int:
    return int(head.split(b" ")[1])


def start(fleet: RelayFleet) -> None:
    fleet.put_configuration(make_configuration())


# Guards against callers who take bytes of a faulty server for the success of their request.
@pytest.mark.parametrize("name", FOREIGN)
def test_foreign_bytes_are_no_answer(fleet: RelayFleet, name: str) -> None:
    start(fleet)
    framing = "length" if b" 204 " not in FOREIGN[name].first_line else "none"
    answer = encode(FOREIGN[name], framing)
    for kind in ("once", "stream"):
        add_server(fleet, f"faulty-{kind}", kind, answer)
    fleet.add_host()
    for number, (kind, version) in enumerate(
        (kind, version) for kind in KINDS for version in ("1.0", "1.1")
    ):
        head, body = send(fleet, kind, f"call-{number}", version)
        # It may have run: neither a success nor a promise that it has not.
        assert status_of(head) == 502, (kind, version, head)
        assert b"server-seal" not in head.lower()
        assert BODY not in body


# Guards against answers of sound servers that are taken for foreign bytes.
@pytest.mark.parametrize("framing", ["length", "chunks", "close"])
def test_own_answers_are_passed_on(fleet: RelayFleet, framing: str) -> None:
    start(fleet)
    for kind in ("once", "stream"):
        add_server(fleet, f"server-{kind}", kind, encode(OWN["200"], framing))
    fleet.add_host()
    for name, answer in OWN.items():
        script = Script(encode(answer, framing), Ending.FIN)
        for server in fleet.scripted_backends:
            server.default_script = script
        status = int(answer.first_line.split(b" ")[1])
        for kind in KINDS:
            head, body = send(fleet, kind, f"call-{name}-{kind}")
            assert status_of(head) == status, (name, kind, head)
            assert BODY in body, (name, kind, body)
            assert (b"server-seal: seal" in head.lower()) is (SEAL in answer.headers)


# Guards against a request that is answered 502 although it may be repeated and a sound server is
# left.
@pytest.mark.parametrize("name", ["no-seal", "gzip", "status-600"])
@pytest.mark.parametrize("kind", [kind for kind, repeatable in KINDS.items() if repeatable])
def test_another_server_answers_a_request_that_may_be_repeated(
    fleet: RelayFleet, kind: str, name: str
) -> None:
    start(fleet)
    add_server(fleet, "faulty", kind, encode(FOREIGN[name], "length"))
    add_server(fleet, "sound", kind, encode(OWN["200"], "length"))
    fleet.add_host()
    for number in range(8):
        head, body = send(fleet, kind, f"call-{number}")
        assert (status_of(head), b"seal: seal" in head.lower()) == (200, True)
        assert b"content-encoding" not in head.lower()
        assert BODY in body
    # The one that fails is used less.
    faulty, sound = fleet.scripted_backends
    assert len(faulty.requests) < len(sound.requests)


# Guards against a request that runs twice because foreign bytes came in place of its answer.
@pytest.mark.parametrize("kind", [kind for kind, repeatable in KINDS.items() if not repeatable])
def test_a_request_that_may_have_run_is_not_sent_again(fleet: RelayFleet, kind: str) -> None:
    start(fleet)
    for number in range(2):
        add_server(fleet, f"faulty-{number}", kind, encode(FOREIGN["neither"], "length"))
    fleet.add_host()
    for number in range(4):
        assert status_of(send(fleet, kind, f"call-{number}")[0]) == 502
    assert sum(len(server.requests) for server in fleet.scripted_backends) == 4


# Guards against foreign bytes that are taken for an answer on a connection that was kept.
@pytest.mark.parametrize("name", ["no-seal", "gzip", "version-2.0"])
def test_foreign_bytes_on_a_kept_connection_are_no_answer(fleet: RelayFleet, name: str) -> None:
    start(fleet)
    add_server(fleet, "faulty", "many", encode(FOREIGN[name], "length"))
    fleet.scripted_backends[0].first_answer = encode(OWN["200"], "length")
    fleet.add_host()
    statuses = [status_of(send(fleet, "many", f"call-{number}")[0]) for number in range(4)]
    assert statuses[:2] == [200, 502]
    assert set(statuses) <= {200, 502}


# Guards against a stream that goes on with bytes that no engine has signed.
@pytest.mark.parametrize("name", ["no-seal", "gzip", "version-0.9"])
def test_a_stream_does_not_go_on_with_foreign_bytes(fleet: RelayFleet, name: str) -> None:
    start(fleet)
    begun = OWN["200"].first_line + b"\r\n" + OWN["200"].headers
    begun += b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    begun += b"%x\r\n%b\r\n" % (len(BODY), BODY)
    rest = encode(FOREIGN[name], "length").replace(b"id: 1", b"id: 2")
    for number in range(2):
        add_server(fleet, f"engine-{number}", "resumable", begun)
        fleet.scripted_backends[number].resumption_script = Script(rest, Ending.FIN)
    fleet.add_host()
    head, body = send(fleet, "resumable", "call-1")
    assert status_of(head) == 200
    assert b"id: 1" in body
    assert b"id: 2" not in body
    assert not body.endswith(b"0\r\n\r\n")


# Guards against a KV cache that is fetched by a handle from an encoded body.
def test_an_encoded_answer_to_a_prefill_has_no_handle(fleet: RelayFleet) -> None:
    start(fleet)
    handle = b'{"kvHandle": "3fa09c", "tokens": 1460, "version": 1}'
    head = b"HTTP/1.1 200 OK\r\nContent-Encoding: x\r\nContent-Length: %d\r\n" % len(handle)
    answer = head + ID + b"\r\n" + handle
    prefill = fleet.add_scripted_backend("prefill", "lm", answer, Ending.FIN, "prefill")
    add_server(fleet, "decode", "stream", encode(OWN["200"], "length"))
    fleet.add_host()
    assert status_of(send(fleet, "stream", "call-1", prompt_tokens=1460)[0]) == 200
    assert prefill.requests
    (run,) = fleet.scripted_backends[1].requests
    assert not find_header(run, b"kv-source")
