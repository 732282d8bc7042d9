"""Seeded runs of hosts that report usage under faults. BERYLQUAY_CASES sets their number."""

import os
from typing import Final

import pytest

from tests.support.usage_model import EPOCH_S, UsageModel

RUNS: Final = int(os.environ.get("BERYLQUAY_CASES", "20"))

# A seed, besides 0, in which the store came back without the record of a window that had been
# reported, and a host that had started since reported other counts.
LOST_RECORD_SEEDS: Final = (120,)


@pytest.mark.parametrize("seed", [*range(RUNS), *LOST_RECORD_SEEDS])
def test_usage_is_reported_once_by_one_host_at_a_time(seed: int) -> None:
    """Guards against two holders at a time, tokens that fall, and two reports of one window."""
    UsageModel(seed).run()


def run_calm(model: UsageModel) -> list[str]:
    """Runs without random faults; returns what is wrong with the reports after the start."""
    model.run()
    # The first claim waits for claims of a former era.
    windows = model.all_windows()[2:]
    return [fault for fault in map(model.fault_of, windows) if fault]


@pytest.mark.parametrize("phase_s", [0.0, 1.3, 2.1, 2.6, 3.9])
@pytest.mark.parametrize("returns_after_s", [0.8, 9.0])
def test_a_killed_collector_is_replaced_in_time(phase_s: float, returns_after_s: float) -> None:
    """Guards against reports that are overdue because the first collector was killed."""
    model = UsageModel(1, is_calm=True)
    killed_s = 27.0 + phase_s
    model.kill(["h-0"], killed_s, killed_s + returns_after_s)
    assert not run_calm(model)


@pytest.mark.parametrize("fault", ["is_frozen", "is_cut", "is_apart"])
@pytest.mark.parametrize("begin_s", [27.0, 28.6, 29.1])
def test_a_collector_that_is_away_is_replaced_in_time(fault: str, begin_s: float) -> None:
    """Guards against reports that are overdue while the first collector is frozen or cut off."""
    model = UsageModel(2, is_calm=True)
    model.fail(model.hosts["h-0"], fault, begin_s, begin_s + 6.0)
    faults = run_calm(model)
    if fault == "is_cut":
        assert not faults
    else:
        # The counts of the host itself are missing meanwhile.
        assert not [text for text in faults if "report" in text]


@pytest.mark.parametrize("away", ["store", "api"])
def test_a_short_failure_of_the_platform_delays_no_report_too_long(away: str) -> None:
    """Guards against a holder that gives up, or lets others claim, when nobody can report."""
    model = UsageModel(3, is_calm=True)
    model.fail(getattr(model, away), "is_away", 29.0, 34.0)
    assert not run_calm(model)


@pytest.mark.parametrize("jump_s", [-4.0, 3.0])
def test_a_jump_of_a_wall_clock_moves_no_count(jump_s: float) -> None:
    """Guards against counts in a wrong window, and a report of a window that has not ended."""
    model = UsageModel(4, is_calm=True)
    for name, at_s in (("h-0", 23.0), ("h-3", 31.0)):
        host = model.hosts[name]
        model.world.later(at_s, lambda host=host: setattr(host, "wall_jump_s", jump_s))  # type: ignore[misc]
    assert not run_calm(model)


def test_a_process_that_starts_after_a_restore_reports_no_window_before() -> None:
    """Guards against reports without counts, if the store states its era before the first tick."""
    model = UsageModel(5, is_calm=True)
    host = model.hosts["h-0"]
    host.reporter.on_store_era(2)
    host.tick()
    schedule = host.reporter._schedule
    assert schedule is not None
    assert not schedule.open_ids(EPOCH_S + model.world.now_s)
