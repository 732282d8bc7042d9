"""Scenarios of the configuration, with the command-line tool, hosts and log as processes."""

import subprocess
import sys
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from threading import Thread

import pytest
from attrs import define, field
from pytest_bdd import given, parsers, scenarios, then, when

from berylquay.command.exit_codes import ExitCode
from tests.scenarios.conftest import ScenarioState, lookup
from tests.support.configuration_fleet import WAIT_TIMEOUT_S, CommandResult, ConfigurationFleet
from tests.support.fleet import EXAMPLES

scenarios("../../test-data/scenarios/configuration.feature")
scenarios("../../test-data/scenarios/weight_store.feature")


@define
class Operators:
    """Runs of the command-line tool by the operators of a scenario, and their results."""

    fleet: ConfigurationFleet
    # Last result by operator.
    results: dict[str, CommandResult] = field(factory=dict)
    # Runs of the tool in the background.
    background: list[Thread] = field(factory=list)
    # Command line by operator, without the change id.
    command_lines: dict[str, tuple[str, ...]] = field(factory=dict)

    def run(self, operator: str, host: str, *arguments: str) -> CommandResult:
        command_line = (*arguments, "--author", operator)
        self.command_lines[operator] = command_line
        self.results[operator] = self.fleet.command(host, *command_line)
        return self.results[operator]

    def run_in_background(self, operator: str, host: str, *arguments: str) -> None:
        thread = Thread(target=self.run, args=(operator, host, *arguments), daemon=True)
        self.background.append(thread)
        thread.start()

    def accepted_revision(self) -> int:
        accepted_revisions = [
            r.value()["revision"] for r in self.results.values() if r.code == ExitCode.OK
        ]
        return int(max(accepted_revisions))


@pytest.fixture
def operators(tmp_path: Path, scenario_state: ScenarioState) -> Iterator[Operators]:
    fleet = ConfigurationFleet(tmp_path)
    yield Operators(fleet)
    fleet.processes.stop_all()


@given(parsers.parse("{hosts:d} hosts that follow the log"))
def given_hosts(operators: Operators, hosts: int) -> None:
    operators.fleet.start(hosts)
    for name in operators.fleet.hosts:
        operators.fleet.wait_for(name, lambda configuration: configuration.up_to_date)


@given(parsers.parse("{hosts:d} linked hosts that follow the log"))
def given_linked_hosts(operators: Operators, hosts: int) -> None:
    operators.fleet.linked = True
    given_hosts(operators, hosts)


@given(
    parsers.parse("{hosts:d} hosts that follow a log which keeps records for {seconds:g} seconds")
)
def given_log_with_retention(operators: Operators, hosts: int, seconds: float) -> None:
    operators.fleet.retention_s = seconds
    given_hosts(operators, hosts)


@when(parsers.parse('operator "{operator}" drains "{name}" through "{host}"'))
def when_drains(operators: Operators, operator: str, name: str, host: str) -> None:
    operators.run(operator, host, "drain", name)


@when(parsers.parse('operator "{operator}" drains "{name}" through "{host}" when it can'))
def when_drains_when_it_can(operators: Operators, operator: str, name: str, host: str) -> None:
    operators.fleet.wait_for(host, lambda configuration: configuration.up_to_date)
    operators.run(operator, host, "drain", name)


@when(parsers.parse('operators "{a}" and "{b}" apply jamiat through "{x}" and "{y}" at once'))
def when_operators_race(operators: Operators, a: str, b: str, x: str, y: str) -> None:
    file = str(EXAMPLES / "jamiat.ini")
    with ThreadPoolExecutor() as pool:
        pool.submit(operators.run, a, x, "apply", file, "--base", "0")
        pool.submit(operators.run, b, y, "apply", file, "--base", "0")


@when(parsers.parse('"{operator}" sends the change again through "{host}" when it can'))
def when_sent_again(operators: Operators, operator: str, host: str) -> None:
    change_id = operators.results[operator].value()["change_id"]
    operators.fleet.wait_for(host, lambda configuration: configuration.up_to_date)
    command_line = operators.command_lines[operator]
    operators.results[operator] = operators.fleet.command(
        host, *command_line, "--change-id", change_id
    )


@when(parsers.parse("the log loses the next {count:d} answers"))
def when_answers_lost(operators: Operators, count: int) -> None:
    operators.fleet.log.post("/faults", {"lose_answers": count})


@when("the log is away")
def when_log_away(operators: Operators) -> None:
    operators.fleet.log.post("/faults", {"away": True})
    for name in operators.fleet.hosts:
        operators.fleet.wait_for(name, lambda configuration: not configuration.up_to_date)


@when("the log is back")
def when_log_back(operators: Operators) -> None:
    operators.fleet.log.post("/faults", {})


@when(parsers.parse('process "log" is {state}'))
def when_log_stopped(operators: Operators, state: str) -> None:
    log = operators.fleet.log
    (log.pause if state == "paused" else log.resume)()


@when(parsers.parse('host "{name}" is killed and started'))
def when_host_started_again(operators: Operators, name: str) -> None:
    operators.fleet.hosts[name].kill()
    operators.fleet.start_host(name, f"dc-{name[-1]}")


@then(parsers.parse('the change of "{operator}" is accepted'))
def then_accepted(operators: Operators, operator: str) -> None:
    result = operators.results[operator]
    assert result.code == ExitCode.OK, (result.out, result.error)
    assert result.value()["status"] == "CHANGE_STATUS_ACCEPTED"


@then(parsers.parse('the change of "{operator}" is refused without effect'))
def then_refused(operators: Operators, operator: str) -> None:
    result = operators.results[operator]
    assert result.code == ExitCode.REFUSED, (result.out, result.error)
    for host in operators.fleet.hosts:
        changes = operators.fleet.configuration(host).last_changes
        assert all(last.author != operator for last in changes.values())


@then(parsers.parse('the outcome of the change of "{operator}" is unknown'))
def then_unknown(operators: Operators, operator: str) -> None:
    result = operators.results[operator]
    assert result.code == ExitCode.UNKNOWN_OUTCOME, (result.out, result.error)


@then(parsers.parse('one of "{a}" and "{b}" is accepted and the other told who won'))
def then_one_wins(operators: Operators, a: str, b: str) -> None:
    by_code = {operators.results[name].code: operators.results[name] for name in (a, b)}
    assert set(by_code) == {ExitCode.OK, ExitCode.CONFLICT}
    accepted_change = by_code[ExitCode.OK].value()
    reported_winner = by_code[ExitCode.CONFLICT].value()["winner"]
    assert reported_winner["change_id"] == accepted_change["change_id"]
    assert reported_winner["revision"] == accepted_change["revision"]


@then(parsers.parse("every host has the newest accepted revision within {seconds:g} seconds"))
def then_newest_revision_in_force(operators: Operators, seconds: float) -> None:
    revision = operators.accepted_revision()
    started_s = time.monotonic()
    for host in operators.fleet.hosts:
        operators.fleet.wait_for(host, lambda configuration: configuration.revision == revision)
    assert time.monotonic() - started_s <= seconds


@then(parsers.parse('"{name}" was drained once'))
def then_drained_once(operators: Operators, name: str) -> None:
    for host in operators.fleet.hosts:
        configuration = operators.fleet.configuration(host)
        assert list(configuration.draining) == [name]
        assert configuration.last_changes[f"draining/{name}"].revision == configuration.revision


@then(parsers.parse('"{name}" has nothing in force that is older'))
def then_no_older_configuration(operators: Operators, name: str) -> None:
    configuration = operators.fleet.configuration(name)
    newest = configuration.revision == operators.accepted_revision()
    assert newest or not configuration.deployments


@then(parsers.parse('"{name}" refuses a caller as not run and says when to come back'))
def then_caller_refused(operators: Operators, name: str) -> None:
    answer = lookup(operators.fleet.hosts[name].port)
    assert answer.status == 503, answer.body
    assert answer.headers["x-verdict"] == "not-run"
    assert float(answer.headers["retry-after"]) > 0


@when(parsers.parse('"{operator}" watches "{host}"'))
def when_operator_watches(operators: Operators, operator: str, host: str) -> None:
    server = f"127.0.0.1:{operators.fleet.operators[host]}"
    command_line = [sys.executable, "-m", "berylquay.command", "--server", server, "watch"]
    thread = Thread(target=subprocess.run, args=(command_line,), kwargs={"capture_output": True})
    thread.daemon = True
    operators.background.append(thread)
    thread.start()
    time.sleep(1.0)


@when(parsers.parse('operator "{operator}" drains "{name}" through "{host}" in the background'))
def when_drains_in_background(operators: Operators, operator: str, name: str, host: str) -> None:
    operators.run_in_background(operator, host, "drain", name)


@when(parsers.parse('host "{name}" is told to stop'))
def when_host_terminated(operators: Operators, name: str) -> None:
    operators.fleet.hosts[name].terminate()


@then(parsers.parse('host "{name}" ends within {seconds:g} seconds'))
def then_host_exits(operators: Operators, name: str, seconds: float) -> None:
    assert operators.fleet.hosts[name].popen.wait(seconds) == 0
    for thread in operators.background:
        thread.join(WAIT_TIMEOUT_S)


@given(parsers.parse('a host and a weight store with "{version}" and its adapters "{adapters}"'))
def given_weight_store(operators: Operators, version: str, adapters: str) -> None:
    operators.fleet.published = {version: adapters.split(", ")}
    given_hosts(operators, 1)


@when("the weight store is away")
def when_weight_store_away(operators: Operators) -> None:
    assert operators.fleet.weights is not None
    operators.fleet.weights.post("/faults", {"away": True})


@when(parsers.parse('operator "{operator}" applies "{name}"'))
def when_applies(operators: Operators, operator: str, name: str) -> None:
    operators.run(operator, "host-0", "apply", str(EXAMPLES / f"{name}.ini"))


@then(parsers.parse('the change of "{operator}" is refused because of "{text}"'))
def then_refused_because(operators: Operators, operator: str, text: str) -> None:
    result = operators.results[operator]
    assert result.code == ExitCode.REFUSED, (result.out, result.error)
    assert text in result.value()["detail"]


@then(parsers.parse("the weight store was asked {count:d} times and refused none"))
def then_lookups(operators: Operators, count: int) -> None:
    assert operators.fleet.weights is not None
    assert operators.fleet.weights.get("/witness") == {"lookups": count, "refused": 0}
