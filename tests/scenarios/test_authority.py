"""Scenarios of authority over engines, on real processes."""

from collections.abc import Iterator
from pathlib import Path

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from tests.authority.callers import Callers, wait_until_answered
from tests.authority.faults import FAULTS, order_faults, replace_engines
from tests.support.governed import GovernedCentre, start_governed_centre

scenarios("../../test-data/scenarios/authority.feature")


@pytest.fixture
def callers() -> Iterator[Callers]:
    made = Callers()
    yield made
    made.finish()


@pytest.fixture
def centres() -> Iterator[list[GovernedCentre]]:
    started: list[GovernedCentre] = []
    yield started
    for centre in started:
        centre.processes.stop_all()


@given(
    parsers.parse(
        "a governed data centre with {engines:d} engines and {hosts:d} hosts, "
        "fencing checked: {checks}"
    )
)
def given_centre(
    centres: list[GovernedCentre], tmp_path: Path, engines: int, hosts: int, checks: str
) -> None:
    centres.append(start_governed_centre(tmp_path, engines, hosts, checks))
    for host in centres[0].hosts.values():
        wait_until_answered(host.port)


@when(parsers.parse("answers of {count:d} tokens keep running through every host"))
def when_answers_run(centres: list[GovernedCentre], callers: Callers, count: int) -> None:
    for name, host in centres[0].hosts.items():
        for number in range(2):
            callers.start(host.port, f"{name}-{number}", count)


@when("every engine is replaced")
def when_replaced(centres: list[GovernedCentre]) -> None:
    replace_engines(centres[0])


@when(parsers.re("(?P<fault>" + "|".join(FAULTS) + ")"))
def when_fault(centres: list[GovernedCentre], fault: str) -> None:
    FAULTS[fault](centres[0])


@then(parsers.parse('every engine comes to run version "{version}"'))
def then_version(centres: list[GovernedCentre], version: str) -> None:
    centres[0].wait_for_version(version)


@then("no answer was cut off")
def then_nothing_cut(callers: Callers) -> None:
    callers.finish()
    assert callers.faults == []
    assert callers.lost == 0
    assert callers.whole > 4


@then("no order conflicted, came late or cut a request off")
def then_orders_sound(centres: list[GovernedCentre], callers: Callers) -> None:
    callers.finish()
    assert order_faults(centres[0]) == []
