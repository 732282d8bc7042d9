"""Split of a pool's engines between prefill and decode.

Designed for long prompts and short answers: prefill is the bottleneck in large pools, so a third of
their engines decode, spread over the data centres; more while streams wait for a slot. In small
pools that third is too few: where one or two decode engines are lost at once, or a region has none,
the streams of the remaining ones slow each other until callers give up. The request mix may change
every few seconds, and a role change takes an engine out of service for as long, so the plan only
follows lasting changes.
"""

from collections import Counter
from collections.abc import Mapping, Sequence

from attrs import define, field, frozen

from berylquay.decisions.backend_registry import BackendEntry
from berylquay.decisions.fleet import Role
from berylquay.decisions.roles import RoleChange


@frozen
class RoleSplitOptions:
    """Target split, and how long a deviation from it must last before roles are changed."""

    # Fraction of the engines that decode.
    decode_fraction: float = 0.34
    # Minimum number of decode engines, so that one can be lost.
    min_decode_engines: int = 2
    # The same as long as these are at most half of the engines: several can then be lost at once,
    # and the regions have one each.
    min_decode_engines_up_to_half: int = 4
    # Streams in flight per slot of the decode engines above which more decode engines are kept,
    # since streams that exceed the slots must wait. Full batches alone are no reason; they empty
    # faster once prompts are prefilled on other engines.
    max_streams_per_slot: float = 1.2
    # Time for which a deviation must last; engines that crash return within it.
    stabilisation_s: float = 6.0
    # The same while there are too few decode engines.
    urgent_stabilisation_s: float = 2.5
    # The same for a change opposite to the last one: lost engines return, and each change costs
    # seconds.
    reversal_stabilisation_s: float = 12.0
    # The same before the first request was served, when a change takes no capacity from callers.
    startup_stabilisation_s: float = 3.0


def target_decode_engines(
    engine_count: int, streams_per_slot: float, options: RoleSplitOptions
) -> int:
    """Returns how many of a pool's engines should decode.

    Args:
        engine_count: Number of engines in the pool.
        streams_per_slot: Streams in flight per slot of the present decode engines.
        options: The target split.
    """
    if engine_count <= 1:
        return engine_count
    target = round(engine_count * options.decode_fraction)
    if streams_per_slot > options.max_streams_per_slot:
        target += 1 + engine_count // 8
    minimum = max(
        min(options.min_decode_engines, engine_count - 1),
        min(options.min_decode_engines_up_to_half, engine_count // 2),
    )
    return min(engine_count - 1, max(minimum, target))


def lacks_decode_engines(engines: Sequence[BackendEntry], options: RoleSplitOptions) -> bool:
    """Returns whether there are too few decode engines to tolerate the loss of one."""
    decode_engine_count = sum(engine.role is not Role.PREFILL for engine in engines)
    return decode_engine_count < min(options.min_decode_engines, len(engines) - 1)


def plan_role_changes(
    engines: Sequence[BackendEntry], streams: Mapping[str, int], options: RoleSplitOptions
) -> list[RoleChange]:
    """Returns the role changes that lead to the target split.

    An engine leaves a role in the data centre that has the most engines in that role, so that the
    loss of a data centre affects few of them. Among these, the engine with the fewest streams is
    chosen.

    Args:
        engines: Engines of the pool.
        streams: Number of streams in flight by engine name.
        options: The target split.
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
    """Determines when a deviation from the target split has lasted long enough for role changes."""

    _options: RoleSplitOptions
    # Monotonic time from which the present deviation counts as stable.
    stable_from_s: float = field(default=float("inf"), init=False)
    # Role that the wanted changes assign, and number of known engines, when the window started.
    _observed_deviation: tuple[Role | None, int] = field(default=(None, 0), init=False)
    # Role assigned by the last change that was ordered while requests were served, or None.
    _last_ordered_role: Role | None = field(default=None, init=False)

    def on_change_ordered(self, role: Role) -> None:
        """Records a change that was ordered while requests were served."""
        self._last_ordered_role = role

    def is_stable(
        self,
        changes: Sequence[RoleChange],
        engine_count: int,
        *,
        before_first_request: bool,
        urgent: bool,
        now_s: float,
    ) -> bool:
        """Returns whether changes have been wanted for long enough to be ordered.

        Args:
            changes: Changes that are wanted now; a change to the other role restarts the window.
            engine_count: Number of known engines; a different number restarts the window.
            before_first_request: Whether no request was served yet.
            urgent: Whether the present split already affects callers.
            now_s: Present monotonic time.
        """
        options = self._options
        window_s = (
            options.startup_stabilisation_s if before_first_request else options.stabilisation_s
        )
        if changes and self._last_ordered_role not in (None, changes[0].role):
            window_s = options.reversal_stabilisation_s
        elif urgent and not before_first_request:
            window_s = options.urgent_stabilisation_s
        deviation = (changes[0].role if changes else None, engine_count)
        if deviation != self._observed_deviation:
            self._observed_deviation = deviation
            self.stable_from_s = now_s + window_s
        # A deviation can become urgent while the window is running.
        self.stable_from_s = min(self.stable_from_s, now_s + window_s)
        return bool(changes) and now_s >= self.stable_from_s
