"""Calls through a relay host process: responses to callers, and requests at backend servers."""

import time

import pytest

from tests.support.relay_fleet import PATHS, RelayFleet, make_configuration, wait_until

LONG_PROMPT = {"Model": "m", "Token-Counts": "20000,40", "Prompt-Prefix": "aa:5000,bb:15000"}
SHORT_PROMPT = {"Model": "m", "Token-Counts": "300,40", "Prompt-Prefix": "cc:100,dd:200"}


def test_a_request_and_its_response_pass_unchanged(app_fleet: RelayFleet) -> None:
    response = app_fleet.send_request(
        PATHS["once"] + "x?y=%2f&z=1", "id-1", b"booking \x00\xff", {"X-Own": "kept"}
    )
    assert response.status == 200
    assert response.headers["server-seal"].startswith("seal-app-")
    runs = app_fleet.runs("app-0", "app-1")
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
def test_headers_reserved_for_the_relay_are_not_forwarded(app_fleet: RelayFleet, name: str) -> None:
    assert app_fleet.send_request(PATHS["once"], "id-1", b"b", {name: "7"}).status == 200
    runs = app_fleet.runs("app-0", "app-1")
    assert name.lower() not in str(runs[0]["headers"])


@pytest.mark.parametrize(
    ("path", "fault", "status", "runs"),
    [
        # The backend server reports that it did not run the request: the call is refused as not
        # run, after one server at most.
        ("once", {"reject": True}, 503, 0),
        # The request may have run: no promise in the response, and no retry.
        ("once", {"lose_answer": True}, 502, 1),
        # The server's error response is forwarded unchanged.
        ("once", {"fail": True}, 500, 1),
        # Repeatable: retried at the other server, whose outcome is final.
        ("many", {"fail": True}, 500, 2),
        ("many", {"lose_answer": True}, 502, 2),
        ("many", {"reject": True}, 503, 0),
        ("once", {"foreign_answer": True}, 200, 1),
    ],
)
def test_outcomes_of_requests_at_faulty_servers(
    app_fleet: RelayFleet, path: str, fault: dict[str, object], status: int, runs: int
) -> None:
    for backend in app_fleet.backends.values():
        backend.post("/faults", fault)
    response = app_fleet.send_request(PATHS[path], "id-1", b"body")
    assert response.status == status
    assert len(app_fleet.runs("app-0", "app-1")) == runs
    assert ("retry-after" in response.headers) == (status == 503)


def test_a_long_prompt_is_prefilled_separately_and_its_kv_cache_transferred(
    engine_fleet: RelayFleet,
) -> None:
    response = engine_fleet.send_request(PATHS["stream"], "id-1", b"prompt", LONG_PROMPT)
    assert response.status == 200
    assert response.body.count(b"id: ") == 4
    assert [run["stage"] for run in engine_fleet.executed_requests("prefill-0")] == ["prefill"]
    runs = engine_fleet.runs("decode-0", "decode-1")
    assert len(runs) == 1
    assert str(engine_fleet.get_witness("prefill-0", "handles")[0]) in str(runs[0]["headers"])


def test_a_short_prompt_is_prefilled_by_its_decode_engine(engine_fleet: RelayFleet) -> None:
    for _ in range(3):
        # Slow responses to earlier requests raise the estimate for the prefill engine.
        engine_fleet.backends["prefill-0"].post("/faults", {"delay_s": 0.3})
        assert (
            engine_fleet.send_request(PATHS["stream"], "id-1", b"prompt", LONG_PROMPT).status == 200
        )
    before = len(engine_fleet.executed_requests("prefill-0"))
    assert engine_fleet.send_request(PATHS["stream"], "id-9", b"prompt", SHORT_PROMPT).status == 200
    assert len(engine_fleet.executed_requests("prefill-0")) == before


def test_a_decode_engine_prefills_a_prompt_whose_prefill_engine_fails(
    engine_fleet: RelayFleet,
) -> None:
    engine_fleet.backends["prefill-0"].post("/faults", {"reject": True})
    response = engine_fleet.send_request(PATHS["stream"], "id-1", b"prompt", LONG_PROMPT)
    assert response.status == 200
    assert len(engine_fleet.runs("decode-0", "decode-1")) == 1


def test_a_prompt_whose_kv_cache_handle_expired_is_prefilled_again(
    engine_fleet: RelayFleet,
) -> None:
    """Guards against failed calls when KV cache handles expire at once at the engines."""
    for name in ("decode-0", "decode-1"):
        engine_fleet.backends[name].post("/faults", {"lapsed_handles": True})
    response = engine_fleet.send_request(PATHS["stream"], "id-1", b"prompt", LONG_PROMPT)
    assert response.status == 200
    assert len(engine_fleet.runs("decode-0", "decode-1")) == 1


def test_a_broken_stream_of_a_resumable_route_is_resumed_at_another_engine(
    engine_fleet: RelayFleet,
) -> None:
    engine_fleet.backends["decode-0"].post("/faults", {"break_after": 2})
    engine_fleet.backends["decode-1"].post("/faults", {})
    for number in range(4):
        response = engine_fleet.send_request(
            PATHS["resumable"], f"id-{number}", b"prompt", SHORT_PROMPT
        )
        assert response.status == 200
        ids = [line for line in response.body.split(b"\n") if line.startswith(b"id:")]
        assert ids == [b"id: 1", b"id: 2", b"id: 3", b"id: 4"]


def test_a_broken_stream_that_is_not_resumable_reaches_the_caller_truncated(
    engine_fleet: RelayFleet,
) -> None:
    for name in ("decode-0", "decode-1"):
        engine_fleet.backends[name].post("/faults", {"break_after": 2})
    with pytest.raises(Exception, match="IncompleteRead"):
        engine_fleet.send_request(PATHS["stream"], "id-1", b"prompt", SHORT_PROMPT)
    assert len(engine_fleet.runs("decode-0", "decode-1")) == 1


def test_a_disconnecting_caller_cancels_the_run(engine_fleet: RelayFleet) -> None:
    for name in ("decode-0", "decode-1"):
        engine_fleet.backends[name].post("/faults", {"delay_s": 0.2})
    caller = engine_fleet.connect()
    head = f"POST {PATHS['stream']} HTTP/1.1\r\nHost: calls.example\r\nAttempt-Id: id-1\r\n"
    caller.sendall(f"{head}Token-Counts: 300,40\r\nContent-Length: 0\r\n\r\n".encode())
    wait_until(lambda: bool(engine_fleet.runs("decode-0", "decode-1")))
    caller.close()
    wait_until(
        lambda: any(
            "id-1" in engine_fleet.get_witness(name, "cancelled")
            for name in ("decode-0", "decode-1")
        )
    )


def test_a_stopping_host_is_not_ready_and_finishes_open_requests(app_fleet: RelayFleet) -> None:
    for backend in app_fleet.backends.values():
        backend.post("/faults", {"delay_s": 1.0})
    caller = app_fleet.connect()
    head = f"POST {PATHS['once']} HTTP/1.1\r\nHost: calls.example\r\nAttempt-Id: id-1\r\n"
    caller.sendall(f"{head}Content-Length: 0\r\n\r\n".encode())
    wait_until(lambda: bool(app_fleet.runs("app-0", "app-1")))
    app_fleet.hosts[0].terminate()
    wait_until(lambda: not app_fleet.is_ready())
    received = b""
    while data := caller.recv(4096):
        received += data
    assert received.startswith(b"HTTP/1.1 200")
    assert b"connection: close" in received.lower()
    assert app_fleet.hosts[0].popen.wait(timeout=10) == 0


def test_a_host_without_a_configuration_refuses_calls(fleet: RelayFleet) -> None:
    fleet.add_host(wait=False)
    response = fleet.send_request(PATHS["once"], "id-1")
    assert response.status == 503
    assert float(response.headers["retry-after"]) > 0.0
    assert not fleet.is_ready()


def test_an_unknown_path_gets_404_only_under_a_fresh_configuration(app_fleet: RelayFleet) -> None:
    assert app_fleet.send_request("/nowhere/", "id-1").status == 404
    app_fleet.store.post("/faults", {"away": True})
    wait_until(lambda: any(line["message"] == "store lost" for line in app_fleet.log_lines()), 15.0)
    time.sleep(3.0)
    assert app_fleet.send_request("/nowhere/", "id-2").status == 503
    assert app_fleet.send_request(PATHS["once"], "id-3").status == 200


def test_an_unknown_path_gets_404_also_after_a_long_time_without_changes(
    app_fleet: RelayFleet,
) -> None:
    """Guards against taking the configuration for stale while a long-poll read is in flight.

    A read waits for seconds at the store, which returns new records at once.
    """
    time.sleep(3.5)
    assert [app_fleet.send_request("/nowhere/", f"id-{n}").status for n in range(3)] == [
        404,
        404,
        404,
    ]


@pytest.fixture
def engine_fleet_without_retries(fleet: RelayFleet) -> RelayFleet:
    """Returns a fleet of two engines and a host with hardly any retry budget."""
    fleet.put_configuration(make_configuration())
    fleet.add_backend("prefill-0", "lm", "prefill")
    fleet.add_backend("decode-0", "lm", "decode")
    fleet.add_host(retry_extra=0)
    return fleet


def test_the_first_prefill_of_a_prompt_needs_no_retry_budget(
    engine_fleet_without_retries: RelayFleet,
) -> None:
    """Guards against long prompts overloading the decode engines.

    When failures had used up the retry budget, no prompt was sent to a prefill engine any more.
    """
    fleet = engine_fleet_without_retries
    fleet.backends["decode-0"].post("/faults", {"lapsed_handles": True})
    statuses = [
        fleet.send_request(PATHS["stream"], f"id-{n}", b"", LONG_PROMPT).status for n in range(4)
    ]
    fleet.backends["decode-0"].post("/faults", {})
    assert 503 in statuses
    assert fleet.send_request(PATHS["stream"], "id-last", b"", LONG_PROMPT).status == 200
    assert fleet.executed_requests("prefill-0")[-1]["id"] == "id-last"
    headers = fleet.runs("decode-0")[-1]["headers"]
    assert isinstance(headers, dict)
    assert "kv-source" in headers
