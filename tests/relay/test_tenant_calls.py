"""Calls with keys through relay host processes."""

import http.client
import json
from functools import partial
from pathlib import Path
from typing import Final

import pytest

from berylquay.decisions.tenants.call_counts import LARGEST_TENANTS, TenantCallCounts
from tests.relay.test_gateways import CUT, start_cut_host
from tests.relay.test_relay_calls import LONG_PROMPT, SHORT_PROMPT
from tests.support.relay_fleet import (
    HOST_NAME,
    PATHS,
    RelayFleet,
    make_configuration,
    wait_until,
)

KEY: Final = "m82tSecret"
OTHER_KEY: Final = "y5rcSecret"
TENANTS: Final = [
    {"name": "hule930", "apiKeys": [KEY], "priority": 0},
    {"name": "fida11", "apiKeys": [OTHER_KEY]},
]
WITH_KEY: Final = {"Authorization": f"Bearer {KEY}"}
KEYLESS_PATH: Final = "/open/"


def make_tenant_configuration(version: int, tenants: object = TENANTS) -> dict[str, object]:
    """Returns a configuration with tenants, and with a keyless route."""
    configuration = make_configuration(version, tenants=tenants)
    routes = configuration["routes"]
    assert isinstance(routes, list)
    once = next(route for route in routes if route["name"] == "once")
    routes.append({**once, "name": "open", "pathPrefix": KEYLESS_PATH, "keyless": True})
    return configuration


def put_tenants(fleet: RelayFleet, version: int, tenants: object = TENANTS) -> None:
    """Writes a configuration with tenants, and waits until the hosts have it in force."""
    fleet.put_configuration(make_tenant_configuration(version, tenants))
    for host in range(len(fleet.hosts)):
        wait_until(partial(has_version, fleet, host, version))


def has_version(fleet: RelayFleet, host: int, version: int) -> bool:
    return any(
        line["message"] == "configuration in force" and line["version"] == version
        for line in fleet.log_lines(host)
    )


def server_headers(fleet: RelayFleet) -> list[dict[str, str]]:
    """Returns the headers of all requests that servers executed."""
    requests = [request for name in fleet.backends for request in fleet.executed_requests(name)]
    return [dict(request["headers"]) for request in requests]  # type: ignore[call-overload]


def check_no_key(fleet: RelayFleet) -> None:
    """Checks that no server got a key, and that no host has logged one."""
    headers = server_headers(fleet)
    assert headers
    assert "authorization" not in {name for each in headers for name in each}
    logs = "".join(
        (fleet.processes.directory / f"{host.name}.log").read_text(encoding="utf-8")
        for host in fleet.hosts
    )
    for text in (json.dumps(headers), logs):
        assert "Secret" not in text


def raw_request(fleet: RelayFleet, head: str) -> bytes:
    """Sends the lines of a request's head and returns what comes back first."""
    with fleet.connect() as sock:
        sock.sendall(head.replace("\n", "\r\n").encode() + b"\r\n")
        return sock.recv(65536)


# Guards against work for a caller whose key is refused, and against a status that hides the cause.
@pytest.mark.parametrize(
    ("path", "lines", "status"),
    [
        (PATHS["once"], "", b"401"),
        (PATHS["once"], "Authorization:\n", b"401"),
        (PATHS["once"], "Authorization: Bearer\n", b"401"),
        (PATHS["once"], "Authorization: Bearer wrong\n", b"401"),
        (PATHS["once"], f"Authorization: Basic {KEY}\n", b"401"),
        (PATHS["once"], f"Authorization: Bearer {KEY}\nauthorization: Bearer {KEY}\n", b"401"),
        (PATHS["once"], f"authorization: Bearer {KEY}\nAUTHORIZATION: Bearer wrong\n", b"401"),
        (PATHS["once"], f"AUTHORIZATION: bearer {KEY}\n", b"200"),
        (PATHS["once"], f"Authorization: Bearer {KEY}\nConnection: Authorization\n", b"200"),
        (KEYLESS_PATH, "", b"200"),
        (KEYLESS_PATH, "Authorization: Bearer wrong\n", b"200"),
        # Nothing is told of keys where there is no route.
        ("/none/", "", b"404"),
    ],
)
def test_the_key_decides(app_fleet: RelayFleet, path: str, lines: str, status: bytes) -> None:
    put_tenants(app_fleet, 2)
    answer = raw_request(
        app_fleet, f"POST {path} HTTP/1.1\nHost: {HOST_NAME}\nAttempt-Id: id-1\n{lines}"
    )
    assert answer.split(b" ")[1] == status
    assert len(app_fleet.runs("app-0", "app-1")) == (status == b"200")
    if status == b"200":
        check_no_key(app_fleet)
    if status == b"401":
        assert b"www-authenticate: Bearer" in answer
        assert b"retry-after" not in answer.lower()


# Guards against a tenant that the caller has chosen, and against a key that reaches a server.
@pytest.mark.parametrize(("path", "tenant"), [(PATHS["once"], "hule930"), (KEYLESS_PATH, None)])
def test_servers_get_the_tenant_of_the_key(
    app_fleet: RelayFleet, path: str, tenant: str | None
) -> None:
    put_tenants(app_fleet, 2)
    answer = raw_request(
        app_fleet,
        f"POST {path} HTTP/1.1\nHost: {HOST_NAME}\nAttempt-Id: id-1\ntenant: mallory\n"
        f"Authorization: Bearer {KEY}\nTENANT: fida11\nConnection: Tenant, authorization\n",
    )
    assert answer.split(b" ")[1] == b"200"
    assert [headers.get("tenant") for headers in server_headers(app_fleet)] == [tenant]
    check_no_key(app_fleet)


def test_a_retry_at_another_server_carries_the_tenant(app_fleet: RelayFleet) -> None:
    put_tenants(app_fleet, 2)
    for backend in app_fleet.backends.values():
        backend.post("/faults", {"fail": True})
    assert app_fleet.send_request(PATHS["many"], "id-1", b"b", WITH_KEY).status == 500
    assert [each.get("tenant") for each in server_headers(app_fleet)] == ["hule930"] * 2
    check_no_key(app_fleet)


# Guards against a stage or a continued run that is sent with a key or without the tenant.
def test_prefills_retries_and_continued_streams_carry_the_tenant(engine_fleet: RelayFleet) -> None:
    put_tenants(engine_fleet, 2)
    answer = engine_fleet.send_request(
        PATHS["stream"], "long", b"prompt", {**LONG_PROMPT, **WITH_KEY, "Tenant": "mallory"}
    )
    assert answer.status == 200
    assert {str(run["stage"]) for run in engine_fleet.executed_requests("prefill-0")} == {"prefill"}
    engine_fleet.backends["decode-0"].post("/faults", {"break_after": 2})
    for number in range(4):
        engine_fleet.send_request(
            PATHS["resumable"],
            f"id-{number}",
            b"prompt",
            {**SHORT_PROMPT, **WITH_KEY, "Connection": "Authorization, Tenant"},
        )
    headers = server_headers(engine_fleet)
    assert any("last-event-id" in each for each in headers)
    assert {each.get("tenant") for each in headers} == {"hule930"}
    check_no_key(engine_fleet)


def test_the_tenant_s_priority_becomes_the_urgency(engine_fleet: RelayFleet) -> None:
    put_tenants(engine_fleet, 2)
    for key in (KEY, OTHER_KEY):
        headers = {**SHORT_PROMPT, "Authorization": f"Bearer {key}", "Urgency-Level": "7"}
        assert engine_fleet.send_request(PATHS["stream"], key[:4], b"p", headers).status == 200
    urgencies = {each["tenant"]: each["urgency-level"] for each in server_headers(engine_fleet)}
    # The route's priority, 1, applies to the tenant without one.
    assert urgencies == {"hule930": "1", "fida11": "3"}


# Guards against a way to a server on which the headers of the caller pass unchanged.
def test_requests_by_way_of_a_gateway_carry_the_tenant(fleet: RelayFleet, tmp_path: Path) -> None:
    start_cut_host(fleet, tmp_path)
    before = len(server_headers(fleet))
    put_tenants(fleet, 2)
    headers = {**WITH_KEY, "Tenant": "mallory"}
    answer = fleet.send_request(PATHS["once"], "by-gateway", b"b", headers, host=CUT)
    assert answer.status == 200
    assert fleet.send_request(PATHS["once"], "no-key", b"c", host=CUT).status == 401
    by_id = {each["attempt-id"]: each for each in server_headers(fleet)}
    assert len(by_id) == before + 1
    assert by_id["by-gateway"]["tenant"] == "hule930"
    assert "authorization" not in by_id["by-gateway"]


# Guards against changed requests where the configuration has no tenants.
def test_without_tenants_the_headers_pass(app_fleet: RelayFleet) -> None:
    headers = {**WITH_KEY, "Tenant": "own"}
    assert app_fleet.send_request(PATHS["once"], "id-1", b"b", headers).status == 200
    (received,) = server_headers(app_fleet)
    assert (received["tenant"], received["authorization"]) == ("own", f"Bearer {KEY}")


def metrics_of(fleet: RelayFleet) -> dict[str, float]:
    """Returns the first host's metrics of tenants and keys."""
    settings = (fleet.processes.directory / "host-0.ini").read_text(encoding="utf-8")
    port = int(settings.partition("metrics = 127.0.0.1:")[2].split()[0])
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
    connection.request("GET", "/metrics")
    lines = connection.getresponse().read().decode().splitlines()
    connection.close()
    samples = [line.rpartition(" ") for line in lines if not line.startswith("#")]
    return {
        name.removeprefix("berylquay_relay_"): float(value)
        for name, _, value in samples
        if name.startswith(("berylquay_relay_tenant", "berylquay_relay_key"))
    }


# Guards against refusals and tenants that operators can't see, and against changed metrics where
# there are none.
def test_metrics_and_log_lines_of_tenants(app_fleet: RelayFleet) -> None:
    assert metrics_of(app_fleet) == {}
    put_tenants(app_fleet, 2)
    for call_id, key in (("a", KEY), ("b", KEY), ("c", OTHER_KEY), ("d", "wrong")):
        app_fleet.send_request(
            PATHS["once"], call_id, call_id.encode(), {"Authorization": f"Bearer {key}"}
        )
    app_fleet.send_request(PATHS["once"], "e")
    assert metrics_of(app_fleet) == {
        "tenants": 2,
        "tenant_keys": 2,
        'tenant_calls{tenant="hule930"}': 2,
        'tenant_calls{tenant="fida11"}': 1,
        'tenant_calls{tenant=""}': 0,
        'tenant_calls_answered{tenant="hule930"}': 2,
        'tenant_calls_answered{tenant="fida11"}': 1,
        'tenant_calls_answered{tenant=""}': 0,
        'key_refusals_total{cause="unknown"}': 1,
        'key_refusals_total{cause="missing"}': 1,
    }
    wait_until(lambda: any(line.get("id") == "e" for line in app_fleet.log_lines()))
    lines = app_fleet.log_lines()
    assert next(line for line in lines if line.get("id") == "a")["tenant"] == "hule930"
    refused = next(line for line in lines if line.get("id") == "d")
    assert (refused["message"], refused["cause"], refused["version"]) == (
        "key refused",
        "unknown",
        2,
    )
    in_force = [line for line in lines if line["message"] == "configuration in force"]
    assert "tenants" not in in_force[0]
    assert (in_force[1]["tenants"], in_force[1]["keys_added"]) == (2, 2)


# Guards against a time series for each of thousands of tenants.
def test_only_the_largest_tenants_have_figures_of_their_own() -> None:
    counts = TenantCallCounts()
    for number in range(4900):
        for _ in range(2 if number < LARGEST_TENANTS else 1):
            counts.on_call_ended(f"t{number}", was_answered=number % 2 == 0)
    largest = counts.largest()
    assert [each.tenant for each in largest] == [f"t{n}" for n in range(LARGEST_TENANTS)] + [""]
    assert (largest[-1].calls, largest[-1].answered) == (4880, 2440)


# Guards against a stand-in whose check lets a key or another tenant pass.
def test_the_stand_in_refuses_keys_and_other_tenants(fleet: RelayFleet) -> None:
    backend = fleet.add_backend("app-0", "app", "", "--tenants", "hule930")
    statuses = []
    for headers in (
        {"Tenant": "hule930"},
        {"Tenant": "fida11"},
        {},
        {**WITH_KEY, "Tenant": "hule930"},
    ):
        connection = http.client.HTTPConnection("127.0.0.1", backend.port, timeout=5)
        connection.request("POST", "/", b"", {"Expect-Instance": "app-0", **headers})
        statuses.append(connection.getresponse().status)
        connection.close()
    assert statuses == [200, 400, 400, 400]
