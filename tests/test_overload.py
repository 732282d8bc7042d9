"""Admission on real processes: a flooding tenant is refused as not run, others are answered."""

import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor

import pytest

from tests.support.caller import Answer, ask_model
from tests.support.fleet import Fleet, start_fleet

MODEL = "cellar-lm"
SLOW_PREFILL = ("--prefill-tokens-per-s", "1000")
LONG_PROMPT = "cellar " * 10000
FLOODS = 2
ATTEMPTS = 200


@pytest.fixture
def fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Fleet]:
    running = start_fleet(
        tmp_path_factory.mktemp("overload"), 1, 1, 1, engine_arguments=SLOW_PREFILL
    )
    yield running
    running.processes.stop_all()


def ask_short(fleet: Fleet, tenant: str, prompt: str) -> Answer:
    return ask_model(fleet.hosts[0].port, tenant, "quick-question", MODEL, prompt, max_tokens=2)


def flood(fleet: Fleet, number: int) -> Answer:
    return ask_model(
        fleet.hosts[0].port,
        "fes",
        "cellar-summary",
        MODEL,
        f"{number} {LONG_PROMPT}",
        max_tokens=1,
    )


def test_a_flooding_tenant_is_refused_and_another_is_answered(fleet: Fleet) -> None:
    for _ in range(ATTEMPTS):
        if ask_short(fleet, "tangier", "up?").status == 200:
            break
        time.sleep(0.05)
    with ThreadPoolExecutor(FLOODS) as callers:
        for number in range(FLOODS):
            callers.submit(flood, fleet, number)
        refused = None
        for number in range(ATTEMPTS):
            answer = ask_short(fleet, "fes", f"question {number}")
            if answer.status != 200:
                refused = answer
                break
            time.sleep(0.05)
        assert refused is not None
        assert refused.headers["x-verdict"] == "not-run"
        assert int(refused.headers["retry-after"]) >= 1
        assert ask_short(fleet, "tangier", "and now?").status == 200
