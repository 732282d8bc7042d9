"""Modules that a relay host imports at its start."""

import subprocess
import sys
from typing import Final

import pytest

# Each is needed by other programs only, and delays the return of a host that was killed.
NEEDED_ELSEWHERE: Final = (
    "grpc",
    "berylquay.component_messages",
    "berylquay.decisions.call_tracker",
    "berylquay.decisions.configuration_state",
    "berylquay.decisions.deployment",
    "berylquay.peers.payloads",
    "berylquay.standalone",
)


@pytest.fixture(scope="module")
def imported_modules() -> frozenset[str]:
    command = "import sys, berylquay.relay.__main__; print(*sys.modules)"
    result = subprocess.run([sys.executable, "-c", command], capture_output=True, check=True)
    return frozenset(result.stdout.decode().split())


# Guards against a slow return after all hosts were killed: a host of 0.39 cores spends a second
# or more on imports, and callers get no connection meanwhile.
@pytest.mark.parametrize("module", NEEDED_ELSEWHERE)
def test_a_relay_host_does_not_import_what_others_need(
    module: str, imported_modules: frozenset[str]
) -> None:
    assert module not in imported_modules
