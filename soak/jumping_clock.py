"""Runs a relay host whose wall clock jumps by hours; no decision may depend on the wall clock."""

import itertools
import time
from typing import Final

from berylquay.relay.__main__ import main

JUMP_S: Final = 7200.0
# Number of clock readings between two jumps.
READINGS_PER_JUMP: Final = 40

_readings = itertools.count()
_real_time = time.time


def jumping_time() -> float:
    """Returns the wall-clock time, alternately ahead and behind by JUMP_S."""
    ahead = (next(_readings) // READINGS_PER_JUMP) % 2 == 0
    return _real_time() + (JUMP_S if ahead else -JUMP_S)


if __name__ == "__main__":
    time.time = jumping_time
    main()
