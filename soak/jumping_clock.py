"""Runs a relay host whose wall clock jumps by hours; nothing that is decided may depend on it."""

import itertools
import time
from typing import Final

from berylquay.relay.__main__ import main

JUMP_S: Final = 7200.0
# Readings of the clock between two jumps.
READINGS: Final = 40

_readings = itertools.count()
_true_time = time.time


def jumping_time() -> float:
    """Returns the wall-clock time, ahead and behind by turns."""
    ahead = (next(_readings) // READINGS) % 2 == 0
    return _true_time() + (JUMP_S if ahead else -JUMP_S)


if __name__ == "__main__":
    time.time = jumping_time
    main()
