"""Scenarios of controllers that change engines under a lease, on real processes."""

from collections.abc import Iterator
from pathlib import Path

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from tests.authority.callers import Callers, wait_until_host_answers
from tests.authority.faults import FAULTS, find_order_violations, kill_and_restart_engines
from tests.support.data_centre_processes import DataCentreProcesses, start_data_centre

scenarios("../../test-data/scenarios/authority.feature")


@pytest.fixture
def callers() -> Iterator[Callers]:
    running_callers = Callers()
    yield running_callers
    running_callers.finish()


@pytest.fixture
def data_centres() -> Iterator[list[DataCentreProcesses]]:
    started: list[DataCentreProcesses] = []
    yield started
    for data_centre in started:
        data_centre.processes.stop_all()


@given(
    parsers.parse(
        "a governed data centre with {engines:d} engines and {hosts:d} hosts, "
        "fencing checked: {checks}"
    )
)
def given_centre(
    data_centres: list[DataCentreProcesses], tmp_path: Path, engines: int, hosts: int, checks: str
) -> None:
    data_centres.append(start_data_centre(tmp_path, engines, hosts, checks))
    for host in data_centres[0].hosts.values():
        wait_until_host_answers(host.port)


@when(parsers.parse("answers of {count:d} tokens keep running through every host"))
def when_answers_run(data_centres: list[DataCentreProcesses], callers: Callers, count: int) -> None:
    for name, host in data_centres[0].hosts.items():
        for number in range(2):
            callers.start(host.port, f"{name}-{number}", count)


@when("every engine is replaced")
def when_engines_restarted(data_centres: list[DataCentreProcesses]) -> None:
    kill_and_restart_engines(data_centres[0])


@when(parsers.re("(?P<fault>" + "|".join(FAULTS) + ")"))
def when_fault(data_centres: list[DataCentreProcesses], fault: str) -> None:
    FAULTS[fault](data_centres[0])


@then(parsers.parse('every engine comes to run version "{version}"'))
def then_version(data_centres: list[DataCentreProcesses], version: str) -> None:
    data_centres[0].wait_for_version(version)


@then("no answer was cut off")
def then_no_answer_cut_off(callers: Callers) -> None:
    callers.finish()
    assert callers.wrong_answers == []
    assert callers.lost_connections == 0
    assert callers.complete_answers > 4


@then("no order conflicted, came late or cut a request off")
def then_no_order_violations(data_centres: list[DataCentreProcesses], callers: Callers) -> None:
    callers.finish()
    assert find_order_violations(data_centres[0]) == []
