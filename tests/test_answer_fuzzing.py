"""Random answers, cut at each byte: what a caller gets. BERYLQUAY_CASES sets their number."""

import os
from typing import Final

import pytest

from tests.support.answer_fuzzing import check_all_cuts

ANSWERS_PER_TEST: Final = 20
ANSWERS: Final = int(os.environ.get("BERYLQUAY_CASES", "100"))


@pytest.mark.parametrize("first_seed", range(0, ANSWERS, ANSWERS_PER_TEST))
def test_a_cut_answer_never_looks_complete_and_a_whole_one_always_does(first_seed: int) -> None:
    for seed in range(first_seed, first_seed + ANSWERS_PER_TEST):
        check_all_cuts(seed)
