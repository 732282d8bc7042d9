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
class RoleSplitOptions:
    """The split, and when it is worth a change."""

    # Part of the engines that makes tokens.
    decode_fraction: float = 0.34
    # Fewest engines that make tokens, so that one can be lost.
    min_decode_engines: int = 2
    # Streams under way for each slot of the decode engines above which one more is kept: more
    # than run at once wait for a slot. Fuller batches alone are no reason; they empty faster once
    # prompts are read elsewhere.
    max_streams_per_slot: float = 1.2
    # Time for which a deviation must last: engines that crash come back within it.
    stabilisation_s: float = 6.0
    # The same while too few engines make tokens.
    urgent_stabilisation_s: float = 2.5
    # The same for a change back: engines that were lost return, and each change costs seconds.
    reversal_stabilisation_s: float = 12.0
    # The same while no request was served yet: nothing is taken away from callers.
    startup_stabilisation_s: float = 3.0


def target_decode_engines(
    engine_count: int, streams_per_slot: float, options: RoleSplitOptions
) -> int:
    """Returns how many of a pool's engines should make tokens.

    Args:
        engine_count: Engines of the pool.
        streams_per_slot: Streams under way per slot of the present decode engines.
        options: The split.
    """
    if engine_count <= 1:
        return engine_count
    target = round(engine_count * options.decode_fraction)
    if streams_per_slot > options.max_streams_per_slot:
        target += 1 + engine_count // 8
    return min(engine_count - 1, max(min(options.min_decode_engines, engine_count - 1), target))


def lacks_decode_engines(engines: Sequence[BackendEntry], options: RoleSplitOptions) -> bool:
    """Tells whether too few engines make tokens to bear the loss of one."""
    decode_engine_count = sum(engine.role is not Role.PREFILL for engine in engines)
    return decode_engine_count < min(options.min_decode_engines, len(engines) - 1)


def plan_role_changes(
    engines: Sequence[BackendEntry], streams: Mapping[str, int], options: RoleSplitOptions
) -> list[RoleChange]:
    """Returns the changes that lead to the wanted split.

    An engine leaves a role in the data centre that has most engines of it, so that the loss of a
    data centre takes few.
    """
    prefill_engines = [engine for engine in engines if engine.role is Role.PREFILL]
    decode_engines = [engine for engine in engines if engine.role is not Role.PREFILL]
    slots = sum(engine.slots for engine in decode_engines)
    active_streams = sum(streams.get(engine.name, 0) for engine in decode_engines)
    target = target_decode_engines(len(engines), active_streams / slots if slots else 1.0, options)
    surplus = len(decode_engines) - target
    if surplus > 0:
        return _choose_changes(decode_engines, streams, surplus, Role.PREFILL)
    return _choose_changes(prefill_engines, streams, -surplus, Role.DECODE)


def _choose_changes(
    engines: list[BackendEntry], streams: Mapping[str, int], count: int, role: Role
) -> list[RoleChange]:
    remaining = list(engines)
    changes = []
    for _ in range(min(count, len(remaining))):
        engines_by_data_centre = Counter(engine.data_centre for engine in remaining)
        chosen = min(
            remaining,
            key=lambda engine: (
                -engines_by_data_centre[engine.data_centre],
                streams.get(engine.name, 0),
                engine.name,
            ),
        )
        remaining.remove(chosen)
        changes.append(RoleChange(chosen.name, role))
    return changes


@define
class StabilisationWindow:
    """Says when a deviation from the plan has lasted for long enough."""

    _options: RoleSplitOptions
    # Monotonic time from which the present deviation counts as lasting.
    stable_from_s: float = field(default=float("inf"), init=False)
    # Direction of the wanted changes and the engines that the plan knew, when it began.
    _observed_deviation: tuple[Role | None, int] = field(default=(None, 0), init=False)
    # Role of the last change that was ordered while requests were served, or None.
    _last_ordered_role: Role | None = field(default=None, init=False)

    def on_change_ordered(self, role: Role) -> None:
        """Takes note of a change that was ordered while requests were served."""
        self._last_ordered_role = role

    def is_stable(
        self,
        changes: Sequence[RoleChange],
        engine_count: int,
        *,
        at_start: bool,
        urgent: bool,
        now_s: float,
    ) -> bool:
        """Tells whether changes have been wanted for long enough to be made.

        Args:
            changes: What is wanted now; changes the other way begin anew.
            engine_count: Engines that the plan knew; another number begins anew.
            at_start: Whether no request was served yet.
            urgent: Whether callers suffer from the present split.
            now_s: Present time.
        """
        options = self._options
        window_s = options.startup_stabilisation_s if at_start else options.stabilisation_s
        if changes and self._last_ordered_role not in (None, changes[0].role):
            window_s = options.reversal_stabilisation_s
        elif urgent and not at_start:
            window_s = options.urgent_stabilisation_s
        deviation = (changes[0].role if changes else None, engine_count)
        if deviation != self._observed_deviation:
            self._observed_deviation = deviation
            self.stable_from_s = now_s + window_s
        # Need may arise while a deviation lasts.
        self.stable_from_s = min(self.stable_from_s, now_s + window_s)
        return bool(changes) and now_s >= self.stable_from_s
