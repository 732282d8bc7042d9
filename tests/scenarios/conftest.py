"""Steps that all scenarios share."""

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
class World:
    """What one scenario has built and seen."""

    directory: Path
    fleets: list[Fleet] = field(factory=list)
    callers: BackgroundCallers = field(factory=BackgroundCallers)
    # Prompt and number of tokens by the name of the request.
    asked: dict[str, tuple[str, int]] = field(factory=dict)

    @property
    def fleet(self) -> Fleet:
        """Returns the data centre of a scenario that has one."""
        return self.fleets[0]

    def process(self, name: str) -> Process:
        """Returns the process of that name."""
        started = [p for fleet in self.fleets for p in fleet.processes.started]
        return next(process for process in started if process.name == name)


@pytest.fixture
def world(tmp_path: Path) -> Iterator[World]:
    made = World(tmp_path)
    yield made
    for fleet in made.fleets:
        fleet.processes.stop_all()


def lookup(port: int) -> Answer:
    headers = {"X-Tenant": "fes", "X-Class": "reading-lookup"}
    return ask(port, "/v1/services/cellar-log/readings/7", b"{}", headers)


def wait_until_served(process: Process) -> None:
    give_up_s = time.monotonic() + READY_TIMEOUT_S
    while lookup(process.port).status != 200:
        if time.monotonic() >= give_up_s:
            raise TimeoutError(f"{process.name} does not serve")
        time.sleep(0.05)


@given(
    parsers.parse(
        "a data centre with {engines:d} engines, {services:d} services and {hosts:d} hosts"
    )
)
def given_data_centre(world: World, engines: int, services: int, hosts: int) -> None:
    world.fleets.append(start_fleet(world.directory, engines, services, hosts))
    for host in world.fleet.hosts:
        wait_until_served(host)


@when(parsers.parse('"{name}" asks "{host}" for {count:d} tokens'))
def when_asks_for_tokens(world: World, name: str, host: str, count: int) -> None:
    port = world.process(host).port
    world.asked[name] = (name, count)
    world.callers.send(
        name,
        lambda: ask_model(
            port, "fes", "cellar-summary", MODEL, name, stream=True, max_tokens=count
        ),
    )


@when(parsers.parse("{seconds:g} seconds pass"))
def when_seconds_pass(seconds: float) -> None:
    time.sleep(seconds)


@when(parsers.parse('process "{name}" is killed'))
def when_killed(world: World, name: str) -> None:
    world.process(name).kill()


@when(parsers.parse('process "{name}" is paused'))
def when_paused(world: World, name: str) -> None:
    world.process(name).pause()


@when(parsers.parse('process "{name}" is resumed'))
def when_resumed(world: World, name: str) -> None:
    world.process(name).resume()


@when(parsers.parse('process "{name}" is told to stop'))
def when_told_to_stop(world: World, name: str) -> None:
    world.process(name).terminate()


@then("every answer is whole and its own")
def then_every_answer_is_whole(world: World) -> None:
    world.callers.wait(ANSWER_TIMEOUT_S)
    assert not world.callers.errors
    for name, (prompt, count) in world.asked.items():
        answer = world.callers.answers[name]
        expected = [token_text(MODEL, f"user: {prompt}", index) for index in range(count)]
        assert answer.whole, answer.body[-300:]
        assert "".join(answer.tokens()) == "".join(expected)
