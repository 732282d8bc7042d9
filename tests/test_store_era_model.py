"""Seeded runs of hosts at a store that comes back older. BERYLQUAY_CASES sets their number."""

import os
from typing import Final

import pytest

from tests.support.era_model import EraModel

RUNS: Final = int(os.environ.get("BERYLQUAY_CASES", "40"))


# Seeds in which a host kept an entry that the others had dropped, and never read it again: a delta
# of before its snapshot fitted to what it still kept for the grace period.
DIVERGED_SEEDS: Final = (1296, 1732)


@pytest.mark.parametrize("seed", [*range(RUNS), *DIVERGED_SEEDS])
def test_nothing_goes_back_with_the_store(seed: int) -> None:
    EraModel(seed).run()
