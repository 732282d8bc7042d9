"""Fixtures and steps that all scenarios share."""

import time
from collections.abc import Iterator
from pathlib import Path
from typing import Final

import pytest
from attrs import define, field
from pytest_bdd import given, parsers, then, when

from examples.processes import Process
from standins.engine import token_text
from tests.support.background import BackgroundCallers
from tests.support.caller import Answer, ask, ask_model
from tests.support.fleet import Fleet, start_fleet

MODEL: Final = "cellar-lm"
READY_TIMEOUT_S: Final = 20.0
ANSWER_TIMEOUT_S: Final = 60.0


@define
class ScenarioState:
    """The processes of one scenario, and the requests that it has sent."""

    directory: Path
    fleets: list[Fleet] = field(factory=list)
    callers: BackgroundCallers = field(factory=BackgroundCallers)
    # Prompt and number of tokens of each request, by its name.
    sent_requests: dict[str, tuple[str, int]] = field(factory=dict)

    @property
    def fleet(self) -> Fleet:
        """Returns the fleet of a scenario that has one data centre."""
        return self.fleets[0]

    def process(self, name: str) -> Process:
        """Returns the process of that name."""
        started = [p for fleet in self.fleets for p in fleet.processes.started]
        return next(process for process in started if process.name == name)


@pytest.fixture
def scenario_state(tmp_path: Path) -> Iterator[ScenarioState]:
    state = ScenarioState(tmp_path)
    yield state
    for fleet in state.fleets:
        fleet.processes.stop_all()


def lookup(port: int) -> Answer:
    headers = {"X-Tenant": "fes", "X-Class": "reading-lookup"}
    return ask(port, "/v1/services/cellar-log/readings/7", b"{}", headers)


def wait_until_served(process: Process) -> None:
    deadline_s = time.monotonic() + READY_TIMEOUT_S
    while lookup(process.port).status != 200:
        if time.monotonic() >= deadline_s:
            raise TimeoutError(f"{process.name} does not serve")
        time.sleep(0.05)


@given(
    parsers.parse(
        "a data centre with {engines:d} engines, {services:d} services and {hosts:d} hosts"
    )
)
def given_data_centre(
    scenario_state: ScenarioState, engines: int, services: int, hosts: int
) -> None:
    scenario_state.fleets.append(start_fleet(scenario_state.directory, engines, services, hosts))
    for host in scenario_state.fleet.hosts:
        wait_until_served(host)


@when(parsers.parse('"{name}" asks "{host}" for {count:d} tokens'))
def when_asks_for_tokens(scenario_state: ScenarioState, name: str, host: str, count: int) -> None:
    port = scenario_state.process(host).port
    scenario_state.sent_requests[name] = (name, count)
    scenario_state.callers.send(
        name,
        lambda: ask_model(
            port, "fes", "cellar-summary", MODEL, name, stream=True, max_tokens=count
        ),
    )


@when(parsers.parse("{seconds:g} seconds pass"))
def when_seconds_pass(seconds: float) -> None:
    time.sleep(seconds)


@when(parsers.parse('process "{name}" is killed'))
def when_process_killed(scenario_state: ScenarioState, name: str) -> None:
    scenario_state.process(name).kill()


@when(parsers.parse('process "{name}" is paused'))
def when_process_paused(scenario_state: ScenarioState, name: str) -> None:
    scenario_state.process(name).pause()


@when(parsers.parse('process "{name}" is resumed'))
def when_process_resumed(scenario_state: ScenarioState, name: str) -> None:
    scenario_state.process(name).resume()


@when(parsers.parse('process "{name}" is told to stop'))
def when_process_terminated(scenario_state: ScenarioState, name: str) -> None:
    scenario_state.process(name).terminate()


@then("every answer is whole and its own")
def then_every_answer_is_complete(scenario_state: ScenarioState) -> None:
    scenario_state.callers.wait(ANSWER_TIMEOUT_S)
    assert not scenario_state.callers.errors
    for name, (prompt, count) in scenario_state.sent_requests.items():
        answer = scenario_state.callers.answers[name]
        expected = [token_text(MODEL, f"user: {prompt}", index) for index in range(count)]
        assert answer.is_complete, answer.body[-300:]
        assert "".join(answer.tokens()) == "".join(expected)
