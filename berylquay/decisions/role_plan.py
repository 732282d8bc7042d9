"""The split of a pool's engines between reading prompts and making tokens.

Pattern answered: prompts are long and answers short, so that reading binds, while a decode engine
makes far more tokens than are asked for. A fixed small share of decode engines, spread over the
data centres, bears the loss of one; more are kept while their batches are full. The mix may swing
every few seconds, and a change takes an engine away for as long: the plan follows what lasts.
"""

from collections import Counter
from collections.abc import Mapping, Sequence

from attrs import define, field, frozen

from berylquay.decisions.backend_registry import BackendEntry
from berylquay.decisions.fleet import Role
from berylquay.decisions.roles import RoleChange


@frozen
class RolePlanOptions:
    """The split, and when it is worth a change."""

    # Part of the engines that makes tokens.
    decode_share: float = 0.34
    # Fewest engines that make tokens, so that one can be lost.
    least_decode: int = 2
    # Streams under way for each slot of the decode engines above which one more is kept: more
    # than run at once wait for a slot. Fuller batches alone are no reason; they empty faster once
    # prompts are read elsewhere.
    full_batches: float = 1.2
    # Time for which a deviation must last: engines that crash come back within it.
    lasting_s: float = 6.0
    # The same while too few engines make tokens.
    lasting_in_need_s: float = 2.5
    # The same for a change back: engines that were lost return, and each change costs seconds.
    lasting_back_s: float = 12.0
    # The same while no request was served yet: nothing is taken away from callers.
    lasting_at_start_s: float = 3.0


def wanted_decode_engines(engines: int, fullness: float, options: RolePlanOptions) -> int:
    """Returns how many of a pool's engines should make tokens.

    Args:
        engines: Engines of the pool.
        fullness: Streams under way per slot of the present decode engines.
        options: The split.
    """
    if engines <= 1:
        return engines
    wanted = round(engines * options.decode_share)
    if fullness > options.full_batches:
        wanted += 1 + engines // 8
    return min(engines - 1, max(min(options.least_decode, engines - 1), wanted))


def is_in_need(engines: Sequence[BackendEntry], options: RolePlanOptions) -> bool:
    """Tells whether too few engines make tokens to bear the loss of one."""
    decoders = sum(engine.role is not Role.PREFILL for engine in engines)
    return decoders < min(options.least_decode, len(engines) - 1)


def plan_role_changes(
    engines: Sequence[BackendEntry], streams: Mapping[str, int], options: RolePlanOptions
) -> list[RoleChange]:
    """Returns the changes that lead to the wanted split.

    An engine leaves a role in the data centre that has most engines of it, so that the loss of a
    data centre takes few.
    """
    readers = [engine for engine in engines if engine.role is Role.PREFILL]
    decoders = [engine for engine in engines if engine.role is not Role.PREFILL]
    slots = sum(engine.slots for engine in decoders)
    busy = sum(streams.get(engine.name, 0) for engine in decoders)
    wanted = wanted_decode_engines(len(engines), busy / slots if slots else 1.0, options)
    surplus = len(decoders) - wanted
    if surplus > 0:
        return _spread(decoders, streams, surplus, Role.PREFILL)
    return _spread(readers, streams, -surplus, Role.DECODE)


def _spread(
    engines: list[BackendEntry], streams: Mapping[str, int], count: int, role: Role
) -> list[RoleChange]:
    remaining = list(engines)
    changes = []
    for _ in range(min(count, len(remaining))):
        crowd = Counter(engine.data_centre for engine in remaining)
        chosen = min(
            remaining,
            key=lambda engine: (
                -crowd[engine.data_centre],
                streams.get(engine.name, 0),
                engine.name,
            ),
        )
        remaining.remove(chosen)
        changes.append(RoleChange(chosen.name, role))
    return changes


@define
class LastingDeviation:
    """Says when a deviation from the plan has lasted for long enough."""

    _options: RolePlanOptions
    # Monotonic time from which the present deviation counts as lasting.
    lasting_from_s: float = field(default=float("inf"), init=False)
    # Direction of the wanted changes and the engines that the plan knew, when it began.
    _begun_with: tuple[Role | None, int] = field(default=(None, 0), init=False)
    # Role of the last change that was ordered while requests were served, or None.
    _last_ordered: Role | None = field(default=None, init=False)

    def on_ordered(self, role: Role) -> None:
        """Takes note of a change that was ordered while requests were served."""
        self._last_ordered = role

    def is_lasting(
        self,
        changes: Sequence[RoleChange],
        engines: int,
        *,
        at_start: bool,
        in_need: bool,
        now_s: float,
    ) -> bool:
        """Tells whether changes have been wanted for long enough to be made.

        Args:
            changes: What is wanted now; changes the other way begin anew.
            engines: Engines that the plan knew; another number begins anew.
            at_start: Whether no request was served yet.
            in_need: Whether callers suffer from the present split.
            now_s: Present time.
        """
        options = self._options
        lasting_s = options.lasting_at_start_s if at_start else options.lasting_s
        if changes and self._last_ordered not in (None, changes[0].role):
            lasting_s = options.lasting_back_s
        elif in_need and not at_start:
            lasting_s = options.lasting_in_need_s
        begun_with = (changes[0].role if changes else None, engines)
        if begun_with != self._begun_with:
            self._begun_with = begun_with
            self.lasting_from_s = now_s + lasting_s
        # Need may arise while a deviation lasts.
        self.lasting_from_s = min(self.lasting_from_s, now_s + lasting_s)
        return bool(changes) and now_s >= self.lasting_from_s
