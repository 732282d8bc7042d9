"""Scenarios of calls while backend servers fail, stop responding, crash or leave."""

import json
import time
from collections.abc import Iterator
from typing import Final

import pytest
from attrs import define, field
from pytest_bdd import given, parsers, scenarios, then, when

from standins.engine import token_text
from tests.scenarios.conftest import ANSWER_TIMEOUT_S, MODEL, ScenarioState, wait_until_served
from tests.support.caller import Answer, ask, ask_model
from tests.support.raw_backend import RawBackend

scenarios("../../test-data/scenarios/fates.feature")

ALARM_PATH: Final = "/v1/services/cellar-log/alarms/7"
MEMBERSHIP_UPDATE_S: Final = 1.2
LINK_WAIT_TIMEOUT_S: Final = 20.0


@define
class Observations:
    """Raw backend servers, answers and durations of a scenario, beside its state."""

    raw_backends: list[RawBackend] = field(factory=list)
    answers: list[Answer] = field(factory=list)
    durations_s: dict[str, float] = field(factory=dict)
    started: int = 0


@pytest.fixture
def observations() -> Iterator[Observations]:
    created = Observations()
    yield created
    for backend in created.raw_backends:
        backend.stop()


def _update_membership(
    scenario_state: ScenarioState, changes: dict[str, dict[str, object]], *added: object
) -> None:
    membership = scenario_state.fleet.membership
    value = membership.get("/v1/members")
    backends = value["backends"]
    assert isinstance(backends, list)
    updated = [{**member, **changes.get(member["name"], {})} for member in backends]
    value["backends"] = [m for m in updated if m["state"] != "gone"] + list(added)
    membership.post("/v1/members", value, method="PUT")


def _member(name: str, kind: str, pool: str, port: int) -> dict[str, object]:
    location = {"region": "fes", "data_centre": "fes-1", "state": "live"}
    return {"name": name, "kind": kind, "pool": pool, "address": f"127.0.0.1:{port}", **location}


def _add_raw_backend(
    scenario_state: ScenarioState, observations: Observations, behaviour: str, kind: str, pool: str
) -> None:
    backend = RawBackend(behaviour)
    backend.start()
    observations.raw_backends.append(backend)
    removed: dict[str, dict[str, object]] = {}
    if kind == "service":
        removed = {process.name: {"state": "gone"} for process in scenario_state.fleet.services}
    _update_membership(scenario_state, removed, _member("raw", kind, pool, backend.port))
    time.sleep(MEMBERSHIP_UPDATE_S)


@given(parsers.parse("a service that {behaviour} in place of the services"))
def given_raw_service(
    scenario_state: ScenarioState, observations: Observations, behaviour: str
) -> None:
    _add_raw_backend(scenario_state, observations, behaviour, "service", "cellar-log")


@given(parsers.parse("an engine that {behaviour} beside the engines"))
def given_raw_engine(
    scenario_state: ScenarioState, observations: Observations, behaviour: str
) -> None:
    _add_raw_backend(scenario_state, observations, behaviour, "engine", MODEL)


@given("an engine of version 2 beside the engines")
def given_other_version(scenario_state: ScenarioState) -> None:
    name = "engine-of-version-2"
    process = scenario_state.fleet.processes.start_standin(
        name, "engine", "--name", name, "--model", f"{MODEL}@2"
    )
    _update_membership(scenario_state, {}, _member(name, "engine", MODEL, process.port))
    time.sleep(MEMBERSHIP_UPDATE_S)


@given(parsers.parse('engine "{name}" goes silent after {count:d} tokens'))
def given_engine_stalls(scenario_state: ScenarioState, name: str, count: int) -> None:
    scenario_state.process(name).post("/faults", {"silent_after_tokens": count})


@given(parsers.parse('engine "{name}" breaks off after {count:d} tokens'))
def given_engine_disconnects(scenario_state: ScenarioState, name: str, count: int) -> None:
    scenario_state.process(name).post("/faults", {"cut_after_tokens": count})


@given(parsers.parse('every engine crashes on "{text}"'))
def given_engines_crash(scenario_state: ScenarioState, text: str) -> None:
    for engine in scenario_state.fleet.engines:
        engine.post("/faults", {"crash_on": text})


@given("the hosts have found each other")
def given_hosts_linked(scenario_state: ScenarioState) -> None:
    logs = [scenario_state.directory / f"{host.name}.log" for host in scenario_state.fleet.hosts]
    deadline_s = time.monotonic() + LINK_WAIT_TIMEOUT_S
    while any(log.read_text().count('"peer link up"') < len(logs) - 1 for log in logs):
        assert time.monotonic() < deadline_s
        time.sleep(0.05)


@when(parsers.parse('an alarm is acknowledged at "{host}" within {seconds:g} seconds'))
def when_acknowledged(
    scenario_state: ScenarioState, observations: Observations, host: str, seconds: float
) -> None:
    headers = {
        "X-Tenant": "fes",
        "X-Class": "alarm-acknowledgement",
        "X-Deadline-Ms": str(seconds * 1000),
    }
    observations.answers.append(ask(scenario_state.process(host).port, ALARM_PATH, b"{}", headers))


@when(parsers.parse('{callers:d} callers ask "{host}" for {count:d} tokens each'))
def when_callers_ask(
    scenario_state: ScenarioState, observations: Observations, callers: int, host: str, count: int
) -> None:
    port = scenario_state.process(host).port

    def send(name: str) -> Answer:
        started_s = time.monotonic()
        answer = ask_model(
            port, "fes", "cellar-summary", MODEL, name, stream=True, max_tokens=count
        )
        observations.durations_s[name] = time.monotonic() - started_s
        return answer

    for n in range(callers):
        name = f"{host}-{count}-{n}"
        scenario_state.sent_requests[name] = (name, count)
        scenario_state.callers.send(name, lambda name=name: send(name))  # type: ignore[misc]


@when(parsers.parse("{callers:d} callers ask every host for {count:d} tokens each"))
def when_callers_ask_all(
    scenario_state: ScenarioState, observations: Observations, callers: int, count: int
) -> None:
    for host in scenario_state.fleet.hosts:
        when_callers_ask(scenario_state, observations, callers, host.name, count)


def _send_crashing_request(port: int, text: str) -> Answer:
    return ask_model(port, "fes", "cellar-summary", MODEL, text, stream=True, max_tokens=10)


@when(parsers.parse('a request with "{text}" is sent {count:d} times to every host at once'))
def when_crashing_requests_sent(scenario_state: ScenarioState, text: str, count: int) -> None:
    for n in range(count):
        for host in scenario_state.fleet.hosts:
            scenario_state.callers.send(
                f"{text}-{host.name}-{n}",
                lambda port=host.port: _send_crashing_request(port, text),  # type: ignore[misc]
            )


@when(
    parsers.parse(
        'a caller of "{host}" that asks for {count:d} tokens goes away after {s:g} seconds'
    )
)
def when_caller_disconnects(scenario_state: ScenarioState, host: str, count: int, s: float) -> None:
    body = {"model": MODEL, "messages": [{"role": "user", "content": "x"}], "max_tokens": count}
    headers = {"X-Tenant": "fes", "X-Class": "cellar-summary"}
    with pytest.raises(TimeoutError):
        ask(
            scenario_state.process(host).port,
            "/v1/chat/completions",
            json.dumps(body).encode(),
            headers,
            s,
        )


@when(parsers.parse('engine "{name}" is listed as leaving'))
def when_engine_leaves(scenario_state: ScenarioState, name: str) -> None:
    _update_membership(scenario_state, {name: {"state": "leaving"}})


@then(parsers.parse('its answer is "{body}"'))
def then_answered_with(observations: Observations, body: str) -> None:
    answer = observations.answers[0]
    assert (answer.status, answer.body) == (200, body.encode())


@then(parsers.parse('it is refused with verdict "{verdict}" and the service saw {calls:d} calls'))
def then_refused_with_verdict(
    scenario_state: ScenarioState, observations: Observations, verdict: str, calls: int
) -> None:
    answer = observations.answers[0]
    assert answer.status >= 400
    assert answer.headers["x-verdict"] == verdict
    assert len(observations.raw_backends[0].received) == calls
    if verdict == "not-run":
        assert int(answer.headers["retry-after"]) >= 1
    assert scenario_state.fleet.hosts[0].popen.poll() is None


@then(parsers.parse('"{name}" ends the attempt before it has finished'))
def then_attempt_ended(scenario_state: ScenarioState, name: str) -> None:
    engine = scenario_state.process(name)
    deadline_s = time.monotonic() + 3.0
    while engine.get("/v1/load")["running"]:
        assert time.monotonic() < deadline_s
        time.sleep(0.05)
    entries = engine.get("/witness")["entries"]
    assert isinstance(entries, list)
    assert [entry[0] for entry in entries] == ["started"]


@then(parsers.parse("every answer took less than {seconds:g} seconds"))
def then_answers_within(observations: Observations, seconds: float) -> None:
    assert max(observations.durations_s.values()) < seconds


@then("every answer is of one version, whole or ended by a refusal")
def then_each_answer_is_of_one_version(scenario_state: ScenarioState) -> None:
    scenario_state.callers.wait(ANSWER_TIMEOUT_S)
    refused = 0
    for name, (prompt, count) in scenario_state.sent_requests.items():
        answer = scenario_state.callers.answers[name]
        expected = [token_text(MODEL, f"user: {prompt}", index) for index in range(count)]
        received = "".join(answer.tokens())
        assert "".join(expected).startswith(received)
        if not answer.is_complete:
            refused += 1
            assert b"may-have-run" in answer.body
            assert received == "".join(expected[:10])
    assert refused


@then(parsers.parse("at most {count:d} engines have ended"))
def then_at_most_ended(scenario_state: ScenarioState, count: int) -> None:
    scenario_state.callers.wait(ANSWER_TIMEOUT_S)
    exited = [engine for engine in scenario_state.fleet.engines if engine.popen.poll() is not None]
    assert 1 <= len(exited) <= count


@then(parsers.parse('"{text}" is refused as "{reason}" at every host'))
def then_request_refused_everywhere(scenario_state: ScenarioState, text: str, reason: str) -> None:
    for host in scenario_state.fleet.hosts:
        error = _send_crashing_request(host.port, text).value()["error"]
        assert isinstance(error, dict)
        assert error["reason"] == reason
        wait_until_served(host)


@then(parsers.parse('"{name}" started nothing more than 3 seconds after it was listed as leaving'))
def then_started_nothing(scenario_state: ScenarioState, name: str) -> None:
    entries = scenario_state.process(name).get("/witness")["entries"]
    assert isinstance(entries, list)
    started_late = [entry for entry in entries if entry[0] == "started" and "-5-" in entry[2]]
    assert not started_late
    finished = [entry for entry in entries if entry[0] == "finished"]
    assert finished
