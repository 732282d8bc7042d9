"""Requests through real processes: callers, entry hosts, engines and services."""

import time
from collections.abc import Iterator

import pytest

from standins.engine import token_text
from tests.support.caller import Answer, ask, ask_model
from tests.support.fleet import Fleet, start_fleet

MODEL = "cellar-lm"


@pytest.fixture(scope="module")
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    running = start_fleet(tmp_path_factory.mktemp("fleet"), engines=2, services=1, hosts=2)
    _wait_until_hosts_answer(running)
    yield running
    running.processes.stop_all()


def _wait_until_hosts_answer(fleet: Fleet) -> None:
    for host in fleet.hosts:
        for _ in range(200):
            if _lookup(host.port).status == 200:
                break
            time.sleep(0.05)


def _lookup(port: int) -> Answer:
    headers = {"X-Tenant": "fes", "X-Class": "reading-lookup"}
    return ask(port, "/v1/services/cellar-log/readings/7", b"{}", headers)


def _expected_tokens(prompt: str, count: int) -> list[str]:
    return [token_text(MODEL, f"user: {prompt}", index) for index in range(count)]


def test_every_host_streams_complete_answers(fleet: Fleet) -> None:
    for host in fleet.hosts:
        answer = ask_model(
            host.port, "fes", "quick-question", MODEL, "why warm?", stream=True, max_tokens=20
        )
        assert answer.status == 200
        assert answer.is_complete
        assert "".join(answer.tokens()) == "".join(_expected_tokens("why warm?", 20))


def test_answer_that_is_not_streamed_is_complete(fleet: Fleet) -> None:
    answer = ask_model(fleet.hosts[0].port, "fes", "spoilage-verdict", MODEL, "ok?", max_tokens=5)
    assert answer.headers["x-verdict"] == "completed"
    choices = answer.value()["choices"]
    assert isinstance(choices, list)
    assert choices[0]["message"]["content"] == "".join(_expected_tokens("ok?", 5))


def test_service_call_is_answered(fleet: Fleet) -> None:
    answer = _lookup(fleet.hosts[1].port)
    assert answer.status == 200
    assert answer.value()["path"] == "/readings/7"


@pytest.mark.parametrize(
    ("tenant", "request_class", "model"),
    [
        ("nobody", "quick-question", MODEL),
        ("fes", "nothing", MODEL),
        ("fes", "quick-question", "x"),
    ],
)
def test_unknown_names_are_refused_as_not_run(
    fleet: Fleet, tenant: str, request_class: str, model: str
) -> None:
    answer = ask_model(fleet.hosts[0].port, tenant, request_class, model, "hello")
    assert answer.status == 400
    assert answer.headers["x-verdict"] == "not-run"


def test_stream_continues_after_its_engine_disconnects(fleet: Fleet) -> None:
    fleet.engines[0].post("/faults", {"cut_after_tokens": 7})
    try:
        answers = [
            ask_model(
                fleet.hosts[0].port,
                "fes",
                "quick-question",
                MODEL,
                f"q{n}",
                stream=True,
                max_tokens=15,
            )
            for n in range(2)
        ]
    finally:
        fleet.engines[0].post("/faults", {})
    for n, answer in enumerate(answers):
        assert answer.is_complete
        assert "".join(answer.tokens()) == "".join(_expected_tokens(f"q{n}", 15))
