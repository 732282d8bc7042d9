"""Number of randomised cases: a small fixed set in CI, more if an environment variable says so."""

import os
from typing import Final

from hypothesis import settings

CASES_VARIABLE: Final = "BERYLQUAY_CASES"


def seeded_cases(default_count: int) -> settings:
    """Returns hypothesis settings that give the same cases on every run."""
    count = int(os.environ.get(CASES_VARIABLE, default_count))
    return settings(max_examples=count, derandomize=True, deadline=None, database=None)
