"""Known failures, and which tests run beside others.

Only the tests that KNOWN-RED.txt lists may fail, and they are printed.
"""

import os
from pathlib import Path
from typing import Final

import pytest
from hypothesis import settings

from examples.processes import END_PORT, FIRST_PORT, limit_port_range

# The same cases on every run; no deadline, since a case must not fail because it is slow.
settings.register_profile("same-on-every-run", deadline=None, derandomize=True, database=None)
settings.load_profile("same-on-every-run")

KNOWN_RED = Path(__file__).parents[1] / "KNOWN-RED.txt"
# Files whose tests measure processor time, memory or rates, or use all cores by themselves.
ALONE_FILES: Final = frozenset(
    {
        "test_bench.py",
        "test_endless_answers.py",
        "test_import_cost.py",
        "test_limited_servers.py",
        "test_membership_costs.py",
        "test_overload.py",
        "test_partitioned_hosts.py",
        "test_paused_callers.py",
        "test_registration_costs.py",
        "test_slow_callers.py",
        "test_soak.py",
        "test_unresponsive_callers.py",
        "test_weight_lookups.py",
    }
)
# Begins the reason of an entry whose test also passes at times.
SOMETIMES: Final = "sometimes: "
# Most workers that tests run in; each has its own range of ports.
MAX_WORKERS: Final = 4


def pytest_configure(config: pytest.Config) -> None:
    """Gives each worker its own ports, so that none takes one that another has found free.

    `BERYLQUAY_TEST_PORTS`, for example `4000-6000`, keeps the ports of two checks at a time apart.
    """
    config.addinivalue_line("markers", "alone: runs while no other test does")
    first, _, end = os.environ.get("BERYLQUAY_TEST_PORTS", "").partition("-")
    first_port, end_port = int(first or FIRST_PORT), int(end or END_PORT)
    worker = os.environ.get("PYTEST_XDIST_WORKER")
    if worker is not None:
        ports = (end_port - first_port) // MAX_WORKERS
        first_port += int(worker.removeprefix("gw")) % MAX_WORKERS * ports
        end_port = first_port + ports
    limit_port_range(first_port, end_port)


def known_red_ids() -> dict[str, str]:
    """Returns the note of each entry by the node id of its test.

    An entry is a line that starts with the node id; the rest of the line is its note.
    """
    if not KNOWN_RED.exists():
        return {}
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    entries = [line.split(maxsplit=1) for line in lines if line.startswith("tests/")]
    return {entry[0]: entry[-1] for entry in entries}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    expected_failures = known_red_ids()
    for item in items:
        if item.path.name in ALONE_FILES:
            item.add_marker(pytest.mark.alone)
        if item.nodeid in expected_failures:
            reason = expected_failures[item.nodeid]
            # Strict, so that a repaired test fails until its entry is removed from the list; one
            # that was seen to pass now and then can't be.
            is_strict = not reason.startswith(SOMETIMES)
            item.add_marker(pytest.mark.xfail(reason=reason, strict=is_strict))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for report in terminalreporter.getreports("xfailed"):
        terminalreporter.write_line(f"KNOWN RED {report.nodeid}: {report.wasxfail}")
    for report in terminalreporter.getreports("xpassed"):
        terminalreporter.write_line(f"KNOWN RED, passed this time: {report.nodeid}")
