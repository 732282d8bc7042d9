"""Scenarios of what befalls calls when backend servers fail, go silent, crash or leave."""

import json
import time
from collections.abc import Iterator
from typing import Final

import pytest
from attrs import define, field
from pytest_bdd import given, parsers, scenarios, then, when

from standins.engine import token_text
from tests.scenarios.conftest import ANSWER_TIMEOUT_S, MODEL, World, wait_until_served
from tests.support.caller import Answer, ask, ask_model
from tests.support.raw_backend import RawBackend

scenarios("../../test-data/scenarios/fates.feature")

ALARM_PATH: Final = "/v1/services/cellar-log/alarms/7"
LIST_TIMEOUT_S: Final = 1.2
LINK_TIMEOUT_S: Final = 20.0


@define
class Seen:
    """What a scenario has built and seen beside the world."""

    raw: list[RawBackend] = field(factory=list)
    answers: list[Answer] = field(factory=list)
    seconds: dict[str, float] = field(factory=dict)
    started: int = 0


@pytest.fixture
def seen() -> Iterator[Seen]:
    made = Seen()
    yield made
    for backend in made.raw:
        backend.stop()


def _change_members(world: World, change: dict[str, dict[str, object]], *added: object) -> None:
    membership = world.fleet.membership
    value = membership.get("/v1/members")
    backends = value["backends"]
    assert isinstance(backends, list)
    changed = [{**member, **change.get(member["name"], {})} for member in backends]
    value["backends"] = [m for m in changed if m["state"] != "gone"] + list(added)
    membership.post("/v1/members", value, method="PUT")


def _member(name: str, kind: str, pool: str, port: int) -> dict[str, object]:
    place = {"region": "fes", "data_centre": "fes-1", "state": "live"}
    return {"name": name, "kind": kind, "pool": pool, "address": f"127.0.0.1:{port}", **place}


def _add_raw(world: World, seen: Seen, behaviour: str, kind: str, pool: str) -> None:
    backend = RawBackend(behaviour)
    backend.start()
    seen.raw.append(backend)
    gone: dict[str, dict[str, object]] = {}
    if kind == "service":
        gone = {process.name: {"state": "gone"} for process in world.fleet.services}
    _change_members(world, gone, _member("raw", kind, pool, backend.port))
    time.sleep(LIST_TIMEOUT_S)


@given(parsers.parse("a service that {behaviour} in place of the services"))
def given_raw_service(world: World, seen: Seen, behaviour: str) -> None:
    _add_raw(world, seen, behaviour, "service", "cellar-log")


@given(parsers.parse("an engine that {behaviour} beside the engines"))
def given_raw_engine(world: World, seen: Seen, behaviour: str) -> None:
    _add_raw(world, seen, behaviour, "engine", MODEL)


@given("an engine of version 2 beside the engines")
def given_other_version(world: World) -> None:
    name = "engine-of-version-2"
    process = world.fleet.processes.start_standin(
        name, "engine", "--name", name, "--model", f"{MODEL}@2"
    )
    _change_members(world, {}, _member(name, "engine", MODEL, process.port))
    time.sleep(LIST_TIMEOUT_S)


@given(parsers.parse('engine "{name}" goes silent after {count:d} tokens'))
def given_silent(world: World, name: str, count: int) -> None:
    world.process(name).post("/faults", {"silent_after_tokens": count})


@given(parsers.parse('engine "{name}" breaks off after {count:d} tokens'))
def given_cut(world: World, name: str, count: int) -> None:
    world.process(name).post("/faults", {"cut_after_tokens": count})


@given(parsers.parse('every engine crashes on "{text}"'))
def given_crash(world: World, text: str) -> None:
    for engine in world.fleet.engines:
        engine.post("/faults", {"crash_on": text})


@given("the hosts have found each other")
def given_linked(world: World) -> None:
    logs = [world.directory / f"{host.name}.log" for host in world.fleet.hosts]
    give_up_s = time.monotonic() + LINK_TIMEOUT_S
    while any(log.read_text().count('"peer link up"') < len(logs) - 1 for log in logs):
        assert time.monotonic() < give_up_s
        time.sleep(0.05)


@when(parsers.parse('an alarm is acknowledged at "{host}" within {seconds:g} seconds'))
def when_acknowledged(world: World, seen: Seen, host: str, seconds: float) -> None:
    headers = {
        "X-Tenant": "fes",
        "X-Class": "alarm-acknowledgement",
        "X-Deadline-Ms": str(seconds * 1000),
    }
    seen.answers.append(ask(world.process(host).port, ALARM_PATH, b"{}", headers))


@when(parsers.parse('{callers:d} callers ask "{host}" for {count:d} tokens each'))
def when_callers_ask(world: World, seen: Seen, callers: int, host: str, count: int) -> None:
    port = world.process(host).port

    def send(name: str) -> Answer:
        begun_s = time.monotonic()
        answer = ask_model(
            port, "fes", "cellar-summary", MODEL, name, stream=True, max_tokens=count
        )
        seen.seconds[name] = time.monotonic() - begun_s
        return answer

    for n in range(callers):
        name = f"{host}-{count}-{n}"
        world.asked[name] = (name, count)
        world.callers.send(name, lambda name=name: send(name))  # type: ignore[misc]


@when(parsers.parse("{callers:d} callers ask every host for {count:d} tokens each"))
def when_callers_ask_all(world: World, seen: Seen, callers: int, count: int) -> None:
    for host in world.fleet.hosts:
        when_callers_ask(world, seen, callers, host.name, count)


def _poison(port: int, text: str) -> Answer:
    return ask_model(port, "fes", "cellar-summary", MODEL, text, stream=True, max_tokens=10)


@when(parsers.parse('a request with "{text}" is sent {count:d} times to every host at once'))
def when_poisoned(world: World, text: str, count: int) -> None:
    for n in range(count):
        for host in world.fleet.hosts:
            world.callers.send(
                f"{text}-{host.name}-{n}",
                lambda port=host.port: _poison(port, text),  # type: ignore[misc]
            )


@when(
    parsers.parse(
        'a caller of "{host}" that asks for {count:d} tokens goes away after {s:g} seconds'
    )
)
def when_caller_goes(world: World, host: str, count: int, s: float) -> None:
    body = {"model": MODEL, "messages": [{"role": "user", "content": "x"}], "max_tokens": count}
    headers = {"X-Tenant": "fes", "X-Class": "cellar-summary"}
    with pytest.raises(TimeoutError):
        ask(world.process(host).port, "/v1/chat/completions", json.dumps(body).encode(), headers, s)


@when(parsers.parse('engine "{name}" is listed as leaving'))
def when_leaving(world: World, name: str) -> None:
    _change_members(world, {name: {"state": "leaving"}})


@then(parsers.parse('it is refused with verdict "{verdict}" and the service saw {calls:d} calls'))
def then_refused(world: World, seen: Seen, verdict: str, calls: int) -> None:
    answer = seen.answers[0]
    assert answer.status >= 400
    assert answer.headers["x-verdict"] == verdict
    assert len(seen.raw[0].received) == calls
    if verdict == "not-run":
        assert int(answer.headers["retry-after"]) >= 1
    assert world.fleet.hosts[0].popen.poll() is None


@then(parsers.parse('"{name}" ends the attempt before it has finished'))
def then_attempt_ended(world: World, name: str) -> None:
    engine = world.process(name)
    give_up_s = time.monotonic() + 3.0
    while engine.get("/v1/load")["running"]:
        assert time.monotonic() < give_up_s
        time.sleep(0.05)
    entries = engine.get("/witness")["entries"]
    assert isinstance(entries, list)
    assert [entry[0] for entry in entries] == ["started"]


@then(parsers.parse("every answer took less than {seconds:g} seconds"))
def then_took(seen: Seen, seconds: float) -> None:
    assert max(seen.seconds.values()) < seconds


@then("every answer is of one version, whole or ended by a refusal")
def then_of_one_version(world: World) -> None:
    world.callers.wait(ANSWER_TIMEOUT_S)
    refused = 0
    for name, (prompt, count) in world.asked.items():
        answer = world.callers.answers[name]
        expected = [token_text(MODEL, f"user: {prompt}", index) for index in range(count)]
        got = "".join(answer.tokens())
        assert "".join(expected).startswith(got)
        if not answer.whole:
            refused += 1
            assert b"may-have-run" in answer.body
            assert got == "".join(expected[:10])
    assert refused


@then(parsers.parse("at most {count:d} engines have ended"))
def then_at_most_ended(world: World, count: int) -> None:
    world.callers.wait(ANSWER_TIMEOUT_S)
    ended = [engine for engine in world.fleet.engines if engine.popen.poll() is not None]
    assert 1 <= len(ended) <= count


@then(parsers.parse('"{text}" is refused as "{reason}" at every host'))
def then_quarantined(world: World, text: str, reason: str) -> None:
    for host in world.fleet.hosts:
        error = _poison(host.port, text).value()["error"]
        assert isinstance(error, dict)
        assert error["reason"] == reason
        wait_until_served(host)


@then(parsers.parse('"{name}" started nothing more than 3 seconds after it was listed as leaving'))
def then_started_nothing(world: World, name: str) -> None:
    entries = world.process(name).get("/witness")["entries"]
    assert isinstance(entries, list)
    late = [entry for entry in entries if entry[0] == "started" and "-5-" in entry[2]]
    assert not late
    finished = [entry for entry in entries if entry[0] == "finished"]
    assert finished
