"""Number of randomised cases: a fixed smaller set in CI, more when the environment asks for it."""

import os
from typing import Final

from hypothesis import settings

CASES_VARIABLE: Final = "BERYLQUAY_CASES"


def seeded_cases(usual: int) -> settings:
    """Returns hypothesis settings that give the same cases on every run."""
    count = int(os.environ.get(CASES_VARIABLE, usual))
    return settings(max_examples=count, derandomize=True, deadline=None, database=None)
