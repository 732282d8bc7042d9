"""Seeded runs of hosts at a store that comes back older. BERYLQUAY_CASES sets their number."""

import os
from typing import Final

import pytest

from tests.support.era_model import EraModel

RUNS: Final = int(os.environ.get("BERYLQUAY_CASES", "40"))


@pytest.mark.parametrize("seed", range(RUNS))
def test_nothing_goes_back_with_the_store(seed: int) -> None:
    EraModel(seed).run()
