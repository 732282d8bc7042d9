"""Seeded runs of hosts that report usage under faults. BERYLQUAY_CASES sets their number."""

import os
from typing import Final

import pytest

from tests.support.usage_model import UsageModel

RUNS: Final = int(os.environ.get("BERYLQUAY_CASES", "30"))


@pytest.mark.parametrize("seed", range(RUNS))
def test_usage_is_reported_once_by_one_host_at_a_time(seed: int) -> None:
    """Guards against two holders at a time, tokens that fall, and two reports of one window."""
    UsageModel(seed).run()
