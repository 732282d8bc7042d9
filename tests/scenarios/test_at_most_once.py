"""Scenarios of at-most-once calls; the logs of the service stand-ins show what ran."""

import json
import time
from itertools import permutations
from typing import Final

import pytest
from attrs import define, field
from pytest_bdd import given, parsers, scenarios, then, when

from examples.processes import Process
from tests.scenarios.conftest import (
    ANSWER_TIMEOUT_S,
    READY_TIMEOUT_S,
    ScenarioState,
    wait_until_served,
)
from tests.support.caller import Answer, ask
from tests.support.fleet import start_fleet

ACKNOWLEDGE_PATH: Final = "/alarms/acknowledge"

scenarios("../../test-data/scenarios/at_most_once.feature")


@define
class Tickets:
    """Issued tickets by the name that the scenario gives them."""

    by_name: dict[str, str] = field(factory=dict)


@pytest.fixture
def tickets() -> Tickets:
    return Tickets()


def _acknowledge(host: Process, key: str, request_class: str = "alarm-acknowledgement") -> Answer:
    headers = {
        "X-Tenant": "fes",
        "X-Class": request_class,
        "Idempotency-Key": key,
        "Content-Type": "application/json",
    }
    body = json.dumps({"key": key}).encode()
    return ask(host.port, f"/v1/services/cellar-log{ACKNOWLEDGE_PATH}", body, headers)


def _count_runs(scenario_state: ScenarioState, key: str) -> int:
    entries = [
        entry for service in scenario_state.fleet.services for entry in _witness_entries(service)
    ]
    bodies = [body for _, path, body in entries if path == ACKNOWLEDGE_PATH]
    return sum(json.loads(body)["key"] == key for body in bodies)


def _witness_entries(service: Process) -> list[tuple[str, str, str]]:
    entries = service.get("/witness")["entries"]
    assert isinstance(entries, list)
    return entries


def _wait_for_all_and_get(scenario_state: ScenarioState, name: str) -> Answer:
    scenario_state.callers.wait(ANSWER_TIMEOUT_S)
    return scenario_state.callers.answers[name]


@given(parsers.parse("a data centre with a log, {services:d} services and {hosts:d} hosts"))
def given_data_centre_with_log(scenario_state: ScenarioState, services: int, hosts: int) -> None:
    scenario_state.fleets.append(
        start_fleet(scenario_state.directory, 0, services, hosts, with_log=True)
    )
    for number, host in enumerate(scenario_state.fleet.hosts):
        wait_until_served(host)
        assert _acknowledge(host, f"ready-{number}").status == 200
    for issuer, other in permutations(scenario_state.fleet.hosts, 2):
        _wait_until_linked(issuer, other)


def _wait_until_linked(issuer: Process, other: Process) -> None:
    deadline_s = time.monotonic() + READY_TIMEOUT_S
    while _acknowledge(other, _issue_ticket(issuer)).status != 200:
        assert time.monotonic() < deadline_s, f"{issuer.name} and {other.name} are not linked"
        time.sleep(0.05)


def _issue_ticket(host: Process) -> str:
    answer = ask(host.port, "/v1/tickets", b"", {"X-Tenant": "fes"})
    assert answer.status == 201
    return str(answer.value()["ticket"])


@given(parsers.parse("every service takes {seconds:g} seconds"))
def given_slow_services(scenario_state: ScenarioState, seconds: float) -> None:
    for service in scenario_state.fleet.services:
        service.post("/faults", {"delay_s": seconds})


@when(parsers.parse("the log has the faults {faults}"))
def when_log_fails(scenario_state: ScenarioState, faults: str) -> None:
    assert scenario_state.fleet.log is not None
    scenario_state.fleet.log.post("/faults", json.loads(faults))


@when(parsers.parse('"{host}" issues ticket "{name}"'))
def when_issues(scenario_state: ScenarioState, tickets: Tickets, host: str, name: str) -> None:
    tickets.by_name[name] = _issue_ticket(scenario_state.process(host))


@when(parsers.parse('"{name}" acknowledges under key "{key}" on "{host}"'))
def when_acknowledges(scenario_state: ScenarioState, name: str, key: str, host: str) -> None:
    process = scenario_state.process(host)
    scenario_state.callers.send(name, lambda: _acknowledge(process, key))


@when(parsers.parse('"{name}" acknowledges an unknown class under key "{key}" on "{host}"'))
def when_acknowledges_unknown(
    scenario_state: ScenarioState, name: str, key: str, host: str
) -> None:
    process = scenario_state.process(host)
    scenario_state.callers.send(name, lambda: _acknowledge(process, key, "unknown"))


@when(parsers.parse('"{name}" acknowledges under ticket "{ticket}" on "{host}"'))
def when_acknowledges_under_ticket(
    scenario_state: ScenarioState, tickets: Tickets, name: str, ticket: str, host: str
) -> None:
    when_acknowledges(scenario_state, name, tickets.by_name[ticket], host)


@then(parsers.parse('"{host}" gives no ticket'))
def then_no_ticket(scenario_state: ScenarioState, host: str) -> None:
    answer = ask(scenario_state.process(host).port, "/v1/tickets", b"", {"X-Tenant": "fes"})
    assert answer.status == 503


@then(parsers.parse('"{name}" is answered'))
def then_answered(scenario_state: ScenarioState, name: str) -> None:
    assert _wait_for_answer(scenario_state, name).status == 200


@then(parsers.parse('one of "{first}" and "{second}" is answered'))
def then_one_answered(scenario_state: ScenarioState, first: str, second: str) -> None:
    answers = [_wait_for_all_and_get(scenario_state, name) for name in (first, second)]
    assert sorted(answer.status for answer in answers) == [200, 409]


@then(parsers.parse('"{name}" is refused as {reason} with verdict "{verdict}"'))
def then_refused(scenario_state: ScenarioState, name: str, reason: str, verdict: str) -> None:
    answer = _wait_for_answer(scenario_state, name)
    error = answer.value()["error"]
    assert isinstance(error, dict)
    assert (error["reason"], answer.headers["x-verdict"]) == (reason, verdict)


@then(parsers.parse('"{host}" comes to refuse key "{key}" as {reason} with verdict "{verdict}"'))
def then_refuses_eventually(
    scenario_state: ScenarioState, host: str, key: str, reason: str, verdict: str
) -> None:
    # Until the record of the completed run has reached the host, it knows only that the call may
    # have run.
    expected_before = "may-have-run"
    deadline_s = time.monotonic() + READY_TIMEOUT_S
    while True:
        answer = _acknowledge(scenario_state.process(host), key)
        error = answer.value()["error"]
        assert isinstance(error, dict)
        assert error["reason"] == reason
        if answer.headers["x-verdict"] == verdict:
            return
        assert answer.headers["x-verdict"] == expected_before
        assert time.monotonic() < deadline_s
        time.sleep(0.1)


@then(parsers.parse('"{name}" gets no verdict "{verdict}"'))
def then_other_verdict(scenario_state: ScenarioState, name: str, verdict: str) -> None:
    assert _wait_for_answer(scenario_state, name).headers["x-verdict"] != verdict


@then(parsers.parse('"{name}" is told when to come back'))
def then_retry_after_given(scenario_state: ScenarioState, name: str) -> None:
    assert int(_wait_for_answer(scenario_state, name).headers["retry-after"]) >= 1


@then(parsers.parse('the call under key "{key}" ran once'))
def then_ran_once(scenario_state: ScenarioState, key: str) -> None:
    scenario_state.callers.wait(ANSWER_TIMEOUT_S)
    assert _count_runs(scenario_state, key) == 1


@then(parsers.parse('the call under key "{key}" ran at most once'))
def then_ran_at_most_once(scenario_state: ScenarioState, key: str) -> None:
    scenario_state.callers.wait(ANSWER_TIMEOUT_S)
    assert _count_runs(scenario_state, key) <= 1


@then(parsers.parse('the call under key "{key}" did not run'))
def then_did_not_run(scenario_state: ScenarioState, key: str) -> None:
    scenario_state.callers.wait(ANSWER_TIMEOUT_S)
    assert _count_runs(scenario_state, key) == 0


@then(parsers.parse('the call under ticket "{ticket}" ran once'))
def then_ticket_ran_once(scenario_state: ScenarioState, tickets: Tickets, ticket: str) -> None:
    then_ran_once(scenario_state, tickets.by_name[ticket])


@then(parsers.parse('the call under ticket "{ticket}" ran at most once'))
def then_ticket_ran_at_most_once(
    scenario_state: ScenarioState, tickets: Tickets, ticket: str
) -> None:
    then_ran_at_most_once(scenario_state, tickets.by_name[ticket])


def _wait_for_answer(scenario_state: ScenarioState, name: str) -> Answer:
    thread = scenario_state.callers.threads[scenario_state.callers.names.index(name)]
    thread.join(ANSWER_TIMEOUT_S)
    return scenario_state.callers.answers[name]
