"""Known failures: only the tests that KNOWN-RED.txt lists may fail, and they are printed."""

from pathlib import Path

import pytest
from hypothesis import settings

# The same cases on every run; no deadline, since a case must not fail because it is slow.
settings.register_profile("same-on-every-run", deadline=None, derandomize=True, database=None)
settings.load_profile("same-on-every-run")

KNOWN_RED = Path(__file__).parents[1] / "KNOWN-RED.txt"


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
        if item.nodeid in expected_failures:
            # Strict, so that a repaired test fails until its entry is removed from the list.
            item.add_marker(pytest.mark.xfail(reason=expected_failures[item.nodeid], strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    for report in terminalreporter.getreports("xfailed"):
        terminalreporter.write_line(f"KNOWN RED {report.nodeid}: {report.wasxfail}")
