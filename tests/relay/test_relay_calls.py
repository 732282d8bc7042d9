"""Calls through a relay host on real processes: what callers get and what backend servers ran."""

import time

import pytest

from tests.support.relay_fleet import PATHS, RelayFleet, make_configuration, wait_until

PROMPT = {"Model": "m", "Token-Counts": "20000,40", "Prompt-Prefix": "aa:5000,bb:15000"}
SHORT = {"Model": "m", "Token-Counts": "300,40", "Prompt-Prefix": "cc:100,dd:200"}


def test_a_request_passes_unchanged_and_its_answer_comes_back(plain: RelayFleet) -> None:
    answer = plain.ask(
        PATHS["once"] + "x?y=%2f&z=1", "id-1", b"booking \x00\xff", {"X-Own": "kept"}
    )
    assert answer.status == 200
    assert answer.headers["server-seal"].startswith("seal-app-")
    runs = plain.runs("app-0", "app-1")
    assert len(runs) == 1
    assert runs[0]["target"] == PATHS["once"] + "x?y=%2f&z=1"
    assert runs[0]["body"] == "booking \x00\xff"
    headers = runs[0]["headers"]
    assert isinstance(headers, dict)
    assert headers["x-own"] == "kept"
    assert headers["attempt-id"] == "id-1"
    assert 0 < int(headers["deadline-ms"]) <= 3500


@pytest.mark.parametrize(
    "name", ["Kv-Hold", "Kv-Source", "Kv-Fetch", "Kv-Backup", "Pin-Ms", "Stage", "Expect-Version"]
)
def test_headers_that_are_the_systems_to_set_do_not_pass(plain: RelayFleet, name: str) -> None:
    assert plain.ask(PATHS["once"], "id-1", b"b", {name: "7"}).status == 200
    runs = plain.runs("app-0", "app-1")
    assert name.lower() not in str(runs[0]["headers"])


@pytest.mark.parametrize(
    ("path", "fault", "status", "runs"),
    [
        # The backend server says that it did not run: a truthful refusal, one server at most.
        ("once", {"reject": True}, 503, 0),
        # It may have run: nothing is promised, and it is not sent again.
        ("once", {"lose_answer": True}, 502, 1),
        # The server's own failure passes unchanged.
        ("once", {"fail": True}, 500, 1),
        # May run again: sent to the other server, whose end is the last word.
        ("many", {"fail": True}, 500, 2),
        ("many", {"lose_answer": True}, 502, 2),
        ("many", {"reject": True}, 503, 0),
        ("once", {"foreign_answer": True}, 200, 1),
    ],
)
def test_fates_of_requests_at_faulty_servers(
    plain: RelayFleet, path: str, fault: dict[str, object], status: int, runs: int
) -> None:
    for backend in plain.backends.values():
        backend.post("/faults", fault)
    answer = plain.ask(PATHS[path], "id-1", b"body")
    assert answer.status == status
    assert len(plain.runs("app-0", "app-1")) == runs
    assert ("retry-after" in answer.headers) == (status == 503)


def test_a_long_prompt_is_read_apart_and_handed_over(engines: RelayFleet) -> None:
    answer = engines.ask(PATHS["stream"], "id-1", b"prompt", PROMPT)
    assert answer.status == 200
    assert answer.body.count(b"id: ") == 4
    assert [run["stage"] for run in engines.ran("reader")] == ["prefill"]
    runs = engines.runs("maker-0", "maker-1")
    assert len(runs) == 1
    assert str(engines.witness("reader", "handles")[0]) in str(runs[0]["headers"])


def test_a_short_prompt_is_read_where_its_tokens_are_made(engines: RelayFleet) -> None:
    for _ in range(3):
        # The reader is made to look slow by what it was given before.
        engines.backends["reader"].post("/faults", {"delay_s": 0.3})
        assert engines.ask(PATHS["stream"], "id-1", b"prompt", PROMPT).status == 200
    before = len(engines.ran("reader"))
    assert engines.ask(PATHS["stream"], "id-9", b"prompt", SHORT).status == 200
    assert len(engines.ran("reader")) == before


def test_a_prompt_whose_reader_fails_is_read_by_the_maker(engines: RelayFleet) -> None:
    engines.backends["reader"].post("/faults", {"reject": True})
    answer = engines.ask(PATHS["stream"], "id-1", b"prompt", PROMPT)
    assert answer.status == 200
    assert len(engines.runs("maker-0", "maker-1")) == 1


def test_a_prompt_whose_handle_has_lapsed_is_read_again(engines: RelayFleet) -> None:
    """Answers engines at which handles lapse at once."""
    for name in ("maker-0", "maker-1"):
        engines.backends[name].post("/faults", {"lapsed_handles": True})
    answer = engines.ask(PATHS["stream"], "id-1", b"prompt", PROMPT)
    assert answer.status == 200
    assert len(engines.runs("maker-0", "maker-1")) == 1


def test_a_broken_stream_goes_on_elsewhere_where_the_route_allows_it(engines: RelayFleet) -> None:
    engines.backends["maker-0"].post("/faults", {"break_after": 2})
    engines.backends["maker-1"].post("/faults", {})
    for number in range(4):
        answer = engines.ask(PATHS["resumable"], f"id-{number}", b"prompt", SHORT)
        assert answer.status == 200
        ids = [line for line in answer.body.split(b"\n") if line.startswith(b"id:")]
        assert ids == [b"id: 1", b"id: 2", b"id: 3", b"id: 4"]


def test_a_broken_stream_that_may_not_go_on_looks_incomplete(engines: RelayFleet) -> None:
    for name in ("maker-0", "maker-1"):
        engines.backends[name].post("/faults", {"break_after": 2})
    with pytest.raises(Exception, match="IncompleteRead"):
        engines.ask(PATHS["stream"], "id-1", b"prompt", SHORT)
    assert len(engines.runs("maker-0", "maker-1")) == 1


def test_a_caller_that_leaves_stops_the_run(engines: RelayFleet) -> None:
    for name in ("maker-0", "maker-1"):
        engines.backends[name].post("/faults", {"delay_s": 0.2})
    caller = engines.connect()
    head = f"POST {PATHS['stream']} HTTP/1.1\r\nHost: calls.example\r\nAttempt-Id: id-1\r\n"
    caller.sendall(f"{head}Token-Counts: 300,40\r\nContent-Length: 0\r\n\r\n".encode())
    wait_until(lambda: bool(engines.runs("maker-0", "maker-1")))
    caller.close()
    wait_until(
        lambda: any("id-1" in engines.witness(name, "cancelled") for name in ("maker-0", "maker-1"))
    )


def test_a_stop_finishes_what_was_begun_and_is_not_ready_at_once(plain: RelayFleet) -> None:
    for backend in plain.backends.values():
        backend.post("/faults", {"delay_s": 1.0})
    caller = plain.connect()
    head = f"POST {PATHS['once']} HTTP/1.1\r\nHost: calls.example\r\nAttempt-Id: id-1\r\n"
    caller.sendall(f"{head}Content-Length: 0\r\n\r\n".encode())
    wait_until(lambda: bool(plain.runs("app-0", "app-1")))
    plain.hosts[0].terminate()
    wait_until(lambda: not plain.is_ready())
    received = b""
    while data := caller.recv(4096):
        received += data
    assert received.startswith(b"HTTP/1.1 200")
    assert b"connection: close" in received.lower()
    assert plain.hosts[0].popen.wait(timeout=10) == 0


def test_unknown_routes_and_hosts_without_a_configuration(fleet: RelayFleet) -> None:
    fleet.add_host(wait=False)
    answer = fleet.ask(PATHS["once"], "id-1")
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0.0
    assert not fleet.is_ready()


def test_a_path_is_denied_only_under_a_fresh_configuration(plain: RelayFleet) -> None:
    assert plain.ask("/nowhere/", "id-1").status == 404
    plain.store.post("/faults", {"away": True})
    wait_until(lambda: any(line["message"] == "store lost" for line in plain.log_lines()), 15.0)
    time.sleep(3.0)
    assert plain.ask("/nowhere/", "id-2").status == 503
    assert plain.ask(PATHS["once"], "id-3").status == 200


def test_a_path_is_denied_also_when_nothing_has_changed_for_long(plain: RelayFleet) -> None:
    """Answers reads that wait for seconds at the store, which brings what is new at once."""
    time.sleep(3.5)
    assert [plain.ask("/nowhere/", f"id-{n}").status for n in range(3)] == [404, 404, 404]


@pytest.fixture
def engines_without_retries(fleet: RelayFleet) -> RelayFleet:
    """Returns engines and a host that may make hardly any extra send."""
    fleet.configure(make_configuration())
    fleet.add_backend("reader", "lm", "prefill")
    fleet.add_backend("maker", "lm", "decode")
    fleet.add_host(retry_extra=0)
    return fleet


def test_the_first_reading_of_a_prompt_needs_no_retry(engines_without_retries: RelayFleet) -> None:
    """Once failures had used up the retries, long prompts flooded the engines that make tokens."""
    fleet = engines_without_retries
    fleet.backends["maker"].post("/faults", {"lapsed_handles": True})
    statuses = [fleet.ask(PATHS["stream"], f"id-{n}", b"", PROMPT).status for n in range(4)]
    fleet.backends["maker"].post("/faults", {})
    assert 503 in statuses
    assert fleet.ask(PATHS["stream"], "id-last", b"", PROMPT).status == 200
    assert fleet.ran("reader")[-1]["id"] == "id-last"
    headers = fleet.runs("maker")[-1]["headers"]
    assert isinstance(headers, dict)
    assert "kv-source" in headers
