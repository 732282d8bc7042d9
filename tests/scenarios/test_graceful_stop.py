"""Scenarios of planned stops of entry hosts."""

from pytest_bdd import parsers, scenarios, then

from tests.scenarios.conftest import ScenarioState, lookup

scenarios("../../test-data/scenarios/graceful_stop.feature")

STOP_TIMEOUT_S = 20.0


@then(parsers.parse('process "{name}" ends by itself'))
def then_process_exits(scenario_state: ScenarioState, name: str) -> None:
    assert scenario_state.process(name).popen.wait(STOP_TIMEOUT_S) == 0


@then(parsers.parse('a lookup at "{name}" is refused as "{reason}" with verdict "{verdict}"'))
def then_lookup_refused(
    scenario_state: ScenarioState, name: str, reason: str, verdict: str
) -> None:
    answer = lookup(scenario_state.process(name).port)
    error = answer.value()["error"]
    assert isinstance(error, dict)
    assert (error["reason"], error["verdict"]) == (reason, verdict)
    assert answer.headers["x-verdict"] == verdict
    assert int(answer.headers["retry-after"]) >= 1
