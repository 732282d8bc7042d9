"""Servers that send bytes without end in place of an answer, or in one, until a host closes."""

import http.client
import time
from pathlib import Path
from threading import Thread
from typing import Final

import pytest

from berylquay.relay.prefill_requests import RELEASE_TIMEOUT_S
from berylquay.relay.role_controller import MAX_ENGINE_RESPONSE_BYTES, EngineResponseCollector
from berylquay.relay.upstream_request import UpstreamRequest
from tests.support.relay_fleet import HOST_NAME, PATHS, RelayFleet, make_configuration, wait_until
from tests.support.scripted_backend import Ending, Script

DEADLINE_S: Final = 1.2
# Time after the deadline within which the caller has its final answer, and the server is left.
SLACK_S: Final = 0.8
MAX_GROWTH_KB: Final = 48_000
SEND_BYTES: Final = 65536
OK: Final = b"HTTP/1.1 200 OK\r\nAttempt-Id: <id>\r\nServer-Seal: s\r\n"
EVENTS: Final = OK + b"Content-Type: text/event-stream\r\n"
CHUNKED: Final = b"Transfer-Encoding: chunked\r\n\r\n"
TEXT: Final = b"x" * SEND_BYTES
CHUNK: Final = f"{SEND_BYTES:x}\r\n".encode() + TEXT + b"\r\n"
ENDLESS_ANSWERS: Final = {
    "no-http": (b"", bytes(range(128, 256)) * 512),
    "nothing-but-zeros": (b"", bytes(SEND_BYTES)),
    "one-header": (b"HTTP/1.1 200 OK\r\nX: ", TEXT),
    "many-headers": (b"HTTP/1.1 200 OK\r\n", b"X-More: 1\r\n" * 6000),
    "informational-heads": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2000),
    "chunk-size": (OK + CHUNKED, b"0" * SEND_BYTES),
    "chunk-extension": (OK + CHUNKED + b"5;", TEXT),
    "trailers": (OK + CHUNKED + b"0\r\n", b"X-More: 1\r\n" * 6000),
    "event-in-chunks": (EVENTS + CHUNKED + b"6\r\ndata: \r\n", CHUNK),
    "event-without-framing": (EVENTS + b"\r\ndata: ", TEXT),
    "lines-of-an-event": (EVENTS + b"\r\n", b"data: x\n" * 8000),
    "json-without-framing": (OK + b"Content-Type: application/json\r\n\r\n", b"[" * SEND_BYTES),
    "long-length": (OK + b"Content-Length: 1000000000000\r\n\r\n", TEXT),
    "error": (b"HTTP/1.1 500 No\r\nAttempt-Id: <id>\r\n" + CHUNKED, CHUNK),
    "not-executed": (b"HTTP/1.1 503 No\r\nNot-Executed: 1\r\n" + CHUNKED, CHUNK),
    "answer-to-another": (OK.replace(b"<id>", b"other") + CHUNKED, CHUNK),
}
# Answers whose parts take the most time to parse.
COSTLY_ANSWERS: Final = {
    "small-chunks": (OK + CHUNKED, b"1\r\nx\r\n" * 10_000),
    "small-events": (EVENTS + CHUNKED, b"3\r\n:\n\n\r\n" * 10_000),
    **{
        kind: ENDLESS_ANSWERS[kind]
        for kind in ("informational-heads", "chunk-size", "lines-of-an-event", "trailers")
    },
    "json-without-framing": ENDLESS_ANSWERS["json-without-framing"],
}
ENDLESS_CALLERS: Final = 12
TROUBLE_S: Final = 4.0
# Time within which callers want their first event, as the route states it.
OBJECTIVE_S: Final = 0.4


def memory_kb(pid: int) -> int:
    text = Path(f"/proc/{pid}/status").read_text(encoding="ascii")
    return int(text.split("VmRSS:")[1].split()[0])


def is_answered_completely(fleet: RelayFleet, path: str, prompt: dict[str, str]) -> bool:
    """Sends a request and tells whether its caller takes what it gets for a success."""
    connection = http.client.HTTPConnection("127.0.0.1", fleet.hosts[0].port, timeout=10)
    headers = {
        "Host": HOST_NAME,
        "Attempt-Id": "id-endless",
        "Deadline-Ms": str(round(DEADLINE_S * 1000)),
        **prompt,
    }
    try:
        connection.request("POST", path, b"", headers)
        response = connection.getresponse()
        while response.read(SEND_BYTES):
            pass
        # The client library does not report a body that is shorter than its stated length.
        return response.status == 200 and not response.length
    except (http.client.HTTPException, OSError):
        return False
    finally:
        connection.close()


# Guards against a host that collects, or waits for the end of, bytes that never end.
@pytest.mark.parametrize("path", ["many", "stream"])
@pytest.mark.parametrize("kind", ENDLESS_ANSWERS)
def test_bytes_without_end_end_with_the_deadline(fleet: RelayFleet, kind: str, path: str) -> None:
    fleet.put_configuration(make_configuration())
    answer, filler = ENDLESS_ANSWERS[kind]
    pool, role = ("app", "") if path == "many" else ("lm", "decode")
    backend = fleet.add_scripted_backend("endless", pool, answer, Ending.SILENCE, role)
    backend.default_script = Script(answer, Ending.SILENCE, filler)
    host = fleet.add_host()
    before_kb = memory_kb(host.popen.pid)
    started_s = time.monotonic()
    prompt = {"Token-Counts": "20,4"} if role else {}
    assert not is_answered_completely(fleet, PATHS[path], prompt)
    assert time.monotonic() - started_s < DEADLINE_S + SLACK_S
    wait_until(lambda: not backend.endless_connections, SLACK_S)
    assert memory_kb(host.popen.pid) - before_kb < MAX_GROWTH_KB
    # Others are served as before.
    assert fleet.is_ready()
    assert backend.requests


def call_until(fleet: RelayFleet, end_s: float) -> None:
    """Sends requests to the server without end, one after the other."""
    while time.monotonic() < end_s:
        is_answered_completely(fleet, PATHS["many"], {})


# Guards against a server whose bytes take the time that the host has for all other callers.
@pytest.mark.parametrize("kind", COSTLY_ANSWERS)
def test_other_callers_are_served_while_a_server_sends_bytes_without_end(
    fleet: RelayFleet, kind: str
) -> None:
    fleet.put_configuration(make_configuration())
    answer, filler = COSTLY_ANSWERS[kind]
    backend = fleet.add_scripted_backend("endless", "app", answer, Ending.SILENCE)
    backend.default_script = Script(answer, Ending.SILENCE, filler)
    fleet.add_backend("decode-0", "lm", "decode")
    host = fleet.add_host()
    before_kb = memory_kb(host.popen.pid)
    end_s = time.monotonic() + TROUBLE_S
    callers = [Thread(target=call_until, args=(fleet, end_s)) for _ in range(ENDLESS_CALLERS)]
    for caller in callers:
        caller.start()
    took_s = []
    while time.monotonic() < end_s:
        sent_s = time.monotonic()
        is_served = is_answered_completely(fleet, PATHS["stream"], {"Token-Counts": "20,4"})
        took_s.append(time.monotonic() - sent_s if is_served else DEADLINE_S)
    for caller in callers:
        caller.join()
    assert backend.requests
    assert max(took_s) < OBJECTIVE_S, sorted(took_s)
    assert memory_kb(host.popen.pid) - before_kb < MAX_GROWTH_KB


# Guards against a prompt that waits for the end of a prefill engine's answer.
def test_a_prefill_that_answers_without_end_is_given_up(fleet: RelayFleet) -> None:
    fleet.put_configuration(make_configuration())
    answer = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + CHUNKED
    backend = fleet.add_scripted_backend("prefill-0", "lm", answer, Ending.SILENCE, "prefill")
    backend.default_script = Script(answer, Ending.SILENCE, CHUNK)
    fleet.add_backend("decode-0", "lm", "decode")
    host = fleet.add_host()
    before_kb = memory_kb(host.popen.pid)
    started_s = time.monotonic()
    prompt = {"Token-Counts": "9000,4", "Prompt-Prefix": "aa:8000,bb:1000"}
    is_answered_completely(fleet, PATHS["stream"], prompt)
    assert time.monotonic() - started_s < DEADLINE_S + SLACK_S
    assert backend.requests
    wait_until(lambda: not backend.endless_connections, SLACK_S)
    assert memory_kb(host.popen.pid) - before_kb < MAX_GROWTH_KB


# Guards against a request that frees a KV cache and reads its answer for ever.
def test_a_release_that_is_answered_without_end_is_given_up(fleet: RelayFleet) -> None:
    fleet.put_configuration(make_configuration())
    handle = b'{"kvHandle":"abc","tokens":9000}'
    prefilled = OK + f"Connection: close\r\nContent-Length: {len(handle)}\r\n\r\n".encode() + handle
    backend = fleet.add_scripted_backend("prefill-0", "lm", b"", Ending.SILENCE, "prefill")
    backend.scripts[b"prompt"] = Script(prefilled, Ending.FIN, delay_s=0.7)
    backend.default_script = Script(OK + CHUNKED, Ending.SILENCE, CHUNK)
    fleet.add_backend("decode-0", "lm", "decode")
    fleet.add_host()

    def remove_decode_engine() -> None:
        wait_until(lambda: bool(backend.requests))
        fleet.put("keyed.servers", "decode-0", None)

    remover = Thread(target=remove_decode_engine)
    remover.start()
    prompt = {"Token-Counts": "9000,4", "Prompt-Prefix": "aa:8000,bb:1000"}
    # No engine is left to decode, so the prefilled KV cache is freed.
    assert fleet.send_request(PATHS["stream"], "id-1", b"prompt", prompt).status == 503
    remover.join()
    wait_until(lambda: any(b"DELETE" in request for request in backend.requests))
    wait_until(lambda: bool(backend.endless_connections))
    wait_until(lambda: not backend.endless_connections, RELEASE_TIMEOUT_S + SLACK_S)


class EndedRequest(UpstreamRequest):
    """A request whose answer has no head."""

    def __init__(self) -> None:
        self.head = None


# Guards against the collection of an engine's answer to a report request or an order without bound.
def test_an_answer_to_an_order_is_collected_up_to_a_bound() -> None:
    bodies: list[bytes] = []
    collector = EngineResponseCollector(lambda _status, body: bodies.append(body))
    upstream = EndedRequest()
    for _ in range(1000):
        collector.on_upstream_data(upstream, TEXT)
    collector.on_upstream_complete(upstream)
    assert len(bodies[0]) == MAX_ENGINE_RESPONSE_BYTES
