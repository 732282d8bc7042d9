"""How many servers a load needs, from the configured slots and from measured or built-in speeds."""

import math
from typing import Final

from attrs import frozen

from berylquay.decisions.engine_placement import PlacementOptions
from berylquay.decisions.role_split import RoleSplitOptions, target_decode_engines
from berylquay.decisions.scaling.demand import PoolLoad

MS_PER_S: Final = 1000.0
_SPEEDS: Final = PlacementOptions()
_ROLE_SPLIT: Final = RoleSplitOptions()


@frozen
class ServerSpeed:
    """What one server of a pool can do."""

    # Requests that it runs at the same time.
    slots: float
    # Whether the pool's servers are engines, with the roles prefill and decode.
    is_engine: bool
    # Measured prefill time as a multiple of the built-in one; 1 without measurements.
    prefill_slowdown: float = 1.0


@frozen
class Utilisation:
    """Fractions of the capacity that may be in use."""

    # Of the time of prefill engines. Prompts differ by a factor of 100 in length, so queues grow
    # from about this fraction on.
    prefill: float
    # Of the slots.
    slots: float


@frozen
class CapacityOptions:
    """Constants of the capacity estimate."""

    # In normal operation.
    normal: Utilisation = Utilisation(prefill=0.65, slots=0.8)
    # After the loss of the spot servers of one data centre.
    after_loss: Utilisation = Utilisation(prefill=0.9, slots=1.0)
    # Fraction of a decode engine's prefill rate that is left while it decodes.
    decode_engine_prefill_fraction: float = 0.25
    # Time to generate a token, until calls have been answered.
    default_token_s: float = 0.02


def needed_servers(
    load: PoolLoad,
    speed: ServerSpeed,
    utilisation: Utilisation,
    most: int,
    options: CapacityOptions | None = None,
) -> int:
    """Returns the fewest servers that can serve a load, at most `most`.

    Engines are counted as the split of roles will divide them.

    Args:
        load: Demand of all hosts.
        speed: What one server can do.
        utilisation: Fractions of the capacity that may be in use.
        most: Most servers that the pool can have.
        options: Constants of the estimate.
    """
    options = options or CapacityOptions()
    concurrency = load.concurrency(options.default_token_s if speed.is_engine else 0.0)
    slots = max(1.0, speed.slots) * utilisation.slots
    if not speed.is_engine:
        return min(most, math.ceil(concurrency / slots))
    if not concurrency and not load.prefill_tokens_per_s:
        return 0
    prefill_per_ms = load.prefill_tokens_per_s * speed.prefill_slowdown / MS_PER_S
    decode_rate = _SPEEDS.decode_tokens_per_ms * options.decode_engine_prefill_fraction
    for count in range(1, most + 1):
        decode = target_decode_engines(count, 0.0, _ROLE_SPLIT)
        rate = (count - decode) * _SPEEDS.prefill_tokens_per_ms + decode * decode_rate
        if prefill_per_ms <= rate * utilisation.prefill and concurrency <= decode * slots:
            return count
    return most
