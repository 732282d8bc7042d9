"""Fixtures that run a relay host against the platform's stand-ins as processes."""

from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.support.relay_fleet import RelayFleet, make_configuration, start_relay_fleet
from tests.support.stream_engine import RunFleet, start_run_fleet


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[RelayFleet]:
    with start_relay_fleet(tmp_path) as started:
        yield started


@pytest.fixture
def app_fleet(fleet: RelayFleet) -> RelayFleet:
    """Returns a fleet with two backend servers that are no engines, and one host."""
    fleet.put_configuration(make_configuration())
    for name in ("app-0", "app-1"):
        fleet.add_backend(name, "app")
    fleet.add_host()
    return fleet


@pytest.fixture
def engine_fleet(fleet: RelayFleet) -> RelayFleet:
    """Returns a fleet with one prefill engine, two decode engines and one host."""
    fleet.put_configuration(make_configuration())
    fleet.add_backend("prefill-0", "lm", "prefill")
    for name in ("decode-0", "decode-1"):
        fleet.add_backend(name, "lm", "decode")
    fleet.add_host()
    return fleet


@pytest.fixture
def run_fleet(fleet: RelayFleet) -> Iterator[RunFleet]:
    """Returns a fleet with engines whose runs a test gives one by one, and one host."""
    with start_run_fleet(fleet) as started:
        yield started
