"""Scenarios of calls that may not be repeated; the services' own logs are the witness."""

import json
import time
from itertools import permutations
from typing import Final

import pytest
from attrs import define, field
from pytest_bdd import given, parsers, scenarios, then, when

from examples.processes import Process
from tests.scenarios.conftest import ANSWER_TIMEOUT_S, READY_TIMEOUT_S, World, wait_until_served
from tests.support.caller import Answer, ask
from tests.support.fleet import start_fleet

ACKNOWLEDGE_PATH: Final = "/alarms/acknowledge"

scenarios("../../test-data/scenarios/at_most_once.feature")


@define
class Tickets:
    """Tickets by the scenario's name for them."""

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


def _runs(world: World, key: str) -> int:
    entries = [entry for service in world.fleet.services for entry in _ran(service)]
    bodies = [body for _, path, body in entries if path == ACKNOWLEDGE_PATH]
    return sum(json.loads(body)["key"] == key for body in bodies)


def _ran(service: Process) -> list[tuple[str, str, str]]:
    entries = service.get("/witness")["entries"]
    assert isinstance(entries, list)
    return entries


def _answer(world: World, name: str) -> Answer:
    world.callers.wait(ANSWER_TIMEOUT_S)
    return world.callers.answers[name]


@given(parsers.parse("a data centre with a log, {services:d} services and {hosts:d} hosts"))
def given_data_centre_with_log(world: World, services: int, hosts: int) -> None:
    world.fleets.append(start_fleet(world.directory, 0, services, hosts, with_log=True))
    for number, host in enumerate(world.fleet.hosts):
        wait_until_served(host)
        assert _acknowledge(host, f"ready-{number}").status == 200
    for issuer, other in permutations(world.fleet.hosts, 2):
        _wait_until_linked(issuer, other)


def _wait_until_linked(issuer: Process, other: Process) -> None:
    give_up_s = time.monotonic() + READY_TIMEOUT_S
    while _acknowledge(other, _issue(issuer)).status != 200:
        assert time.monotonic() < give_up_s, f"{issuer.name} and {other.name} are not linked"
        time.sleep(0.05)


def _issue(host: Process) -> str:
    answer = ask(host.port, "/v1/tickets", b"", {"X-Tenant": "fes"})
    assert answer.status == 201
    return str(answer.value()["ticket"])


@given(parsers.parse("every service takes {seconds:g} seconds"))
def given_slow_services(world: World, seconds: float) -> None:
    for service in world.fleet.services:
        service.post("/faults", {"delay_s": seconds})


@when(parsers.parse("the log has the faults {faults}"))
def when_log_fails(world: World, faults: str) -> None:
    assert world.fleet.log is not None
    world.fleet.log.post("/faults", json.loads(faults))


@when(parsers.parse('"{host}" issues ticket "{name}"'))
def when_issues(world: World, tickets: Tickets, host: str, name: str) -> None:
    tickets.by_name[name] = _issue(world.process(host))


@when(parsers.parse('"{name}" acknowledges under key "{key}" on "{host}"'))
def when_acknowledges(world: World, name: str, key: str, host: str) -> None:
    process = world.process(host)
    world.callers.send(name, lambda: _acknowledge(process, key))


@when(parsers.parse('"{name}" acknowledges an unknown class under key "{key}" on "{host}"'))
def when_acknowledges_unknown(world: World, name: str, key: str, host: str) -> None:
    process = world.process(host)
    world.callers.send(name, lambda: _acknowledge(process, key, "unknown"))


@when(parsers.parse('"{name}" acknowledges under ticket "{ticket}" on "{host}"'))
def when_spends(world: World, tickets: Tickets, name: str, ticket: str, host: str) -> None:
    when_acknowledges(world, name, tickets.by_name[ticket], host)


@then(parsers.parse('"{host}" gives no ticket'))
def then_no_ticket(world: World, host: str) -> None:
    answer = ask(world.process(host).port, "/v1/tickets", b"", {"X-Tenant": "fes"})
    assert answer.status == 503


@then(parsers.parse('"{name}" is answered'))
def then_answered(world: World, name: str) -> None:
    assert _wait_for(world, name).status == 200


@then(parsers.parse('one of "{first}" and "{second}" is answered'))
def then_one_answered(world: World, first: str, second: str) -> None:
    answers = [_answer(world, name) for name in (first, second)]
    assert sorted(answer.status for answer in answers) == [200, 409]


@then(parsers.parse('"{name}" is refused as {reason} with verdict "{verdict}"'))
def then_refused(world: World, name: str, reason: str, verdict: str) -> None:
    answer = _wait_for(world, name)
    error = answer.value()["error"]
    assert isinstance(error, dict)
    assert (error["reason"], answer.headers["x-verdict"]) == (reason, verdict)


@then(parsers.parse('"{host}" comes to refuse key "{key}" as {reason} with verdict "{verdict}"'))
def then_comes_to_refuse(world: World, host: str, key: str, reason: str, verdict: str) -> None:
    # Until the note of the run has reached the host it knows only that the call may have run.
    before = "may-have-run"
    give_up_s = time.monotonic() + READY_TIMEOUT_S
    while True:
        answer = _acknowledge(world.process(host), key)
        error = answer.value()["error"]
        assert isinstance(error, dict)
        assert error["reason"] == reason
        if answer.headers["x-verdict"] == verdict:
            return
        assert answer.headers["x-verdict"] == before
        assert time.monotonic() < give_up_s
        time.sleep(0.1)


@then(parsers.parse('"{name}" gets no verdict "{verdict}"'))
def then_other_verdict(world: World, name: str, verdict: str) -> None:
    assert _wait_for(world, name).headers["x-verdict"] != verdict


@then(parsers.parse('"{name}" is told when to come back'))
def then_told_when(world: World, name: str) -> None:
    assert int(_wait_for(world, name).headers["retry-after"]) >= 1


@then(parsers.parse('the call under key "{key}" ran once'))
def then_ran_once(world: World, key: str) -> None:
    world.callers.wait(ANSWER_TIMEOUT_S)
    assert _runs(world, key) == 1


@then(parsers.parse('the call under key "{key}" ran at most once'))
def then_ran_at_most_once(world: World, key: str) -> None:
    world.callers.wait(ANSWER_TIMEOUT_S)
    assert _runs(world, key) <= 1


@then(parsers.parse('the call under key "{key}" did not run'))
def then_did_not_run(world: World, key: str) -> None:
    world.callers.wait(ANSWER_TIMEOUT_S)
    assert _runs(world, key) == 0


@then(parsers.parse('the call under ticket "{ticket}" ran once'))
def then_ticket_ran_once(world: World, tickets: Tickets, ticket: str) -> None:
    then_ran_once(world, tickets.by_name[ticket])


@then(parsers.parse('the call under ticket "{ticket}" ran at most once'))
def then_ticket_ran_at_most_once(world: World, tickets: Tickets, ticket: str) -> None:
    then_ran_at_most_once(world, tickets.by_name[ticket])


def _wait_for(world: World, name: str) -> Answer:
    thread = world.callers.threads[world.callers.names.index(name)]
    thread.join(ANSWER_TIMEOUT_S)
    return world.callers.answers[name]
