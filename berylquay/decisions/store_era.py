"""The era of the store, which rises each time the store comes back from an older copy.

What was written in the lost time is gone and offsets are given out again, so an offset, an answer
or a state of one era says nothing about another one.
"""

from collections.abc import Callable
from enum import Enum
from typing import Final

from attrs import define, field

from berylquay.whole_numbers import parse_whole_number

# Separates the era from the rest of a topic's state hash.
ERA_SEPARATOR: Final = ":"

# Called with the era before, or None if it was not known, and the present era.
EraListener = Callable[[int | None, int], None]


class EraCheck(Enum):
    """How the era of an answer relates to the present one."""

    CURRENT = "current"
    RISEN = "risen"
    # The answer was given before the store came back.
    OUTDATED = "outdated"


@define
class StoreEra:
    """The newest era that an answer of the store has shown to this process."""

    # The present era, or None if no answer has stated one.
    current: int | None = None
    _listeners: list[EraListener] = field(factory=list, init=False)

    def add_listener(self, listener: EraListener) -> None:
        """Adds a function to call when the era becomes known, and each time that it rises."""
        self._listeners.append(listener)

    def on_answer(self, era: int | None) -> EraCheck:
        """Takes the era that an answer states, None if it states none, and notifies listeners."""
        before = self.current
        if era is None or era == before:
            return EraCheck.CURRENT
        if before is not None and era < before:
            return EraCheck.OUTDATED
        self.current = era
        for listener in self._listeners:
            listener(before, era)
        return EraCheck.CURRENT if before is None else EraCheck.RISEN


def add_era(state_hash: str, era: int | None) -> str:
    """Returns the state hash marked with the era; unchanged if the era is not known."""
    return state_hash if era is None else f"{era}{ERA_SEPARATOR}{state_hash}"


def split_era(marked_hash: str) -> tuple[int | None, str]:
    """Returns the era and the state hash of a hash that `add_era` has marked."""
    marked_era, separator, state_hash = marked_hash.partition(ERA_SEPARATOR)
    era = parse_whole_number(marked_era) if separator else None
    return (None, marked_hash) if era is None else (era, state_hash)
