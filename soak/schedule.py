"""The faults of one seed: kind, target, start time and duration, drawn at random."""

from enum import Enum
from random import Random
from typing import Final

from attrs import frozen


class FaultKind(Enum):
    """Kinds of fault; the part of the value before the hyphen names the kind of target."""

    HOST_KILL = "host-kill"
    HOST_STOP = "host-stop"
    HOST_PAUSE = "host-pause"
    HOST_RELOAD = "host-reload"
    BACKEND_KILL = "backend-kill"
    BACKEND_PAUSE = "backend-pause"
    BACKEND_ANSWERS = "backend-answers"
    BACKEND_LEAVES = "backend-leaves"
    LINK_DELAY = "link-delay"
    LINK_RESET = "link-reset"
    LINK_CUT = "link-cut"
    STORE = "store"
    CONFIGURATION = "configuration"


# Variants of the kinds of fault that have several.
FAULT_VARIANTS: Final = {
    FaultKind.BACKEND_ANSWERS: (
        "reject",
        "fail",
        "lose_answer",
        "foreign_answer",
        "lapsed_handles",
        "other_server",
        "break_after",
        "break_after+unframed",
        "unframed",
        "leaving",
        "pause_s",
        "delay_s",
        "limit_per_s",
    ),
    FaultKind.LINK_CUT: ("towards", "back", "both"),
    FaultKind.STORE: (
        "away",
        "silent",
        "cut",
        "lose_answers",
        "drop_history",
        "restore",
    ),
}
# Relative probability of each kind; 1 for kinds that are not listed.
KIND_WEIGHTS: Final = {
    FaultKind.BACKEND_ANSWERS: 3,
    FaultKind.LINK_CUT: 2,
    FaultKind.STORE: 2,
    FaultKind.HOST_STOP: 2,
}
MAX_DURATION_S: Final = 3.0
MIN_DURATION_S: Final = 0.2
MIN_FAULTS: Final = 4
MAX_FAULTS: Final = 9


@frozen
class FleetSize:
    """Number of processes of each type that a seed has."""

    hosts: int
    prefill_engines: int
    decode_engines: int
    services: int

    @property
    def engine_names(self) -> list[str]:
        """Returns the names of the engines, prefill engines first."""
        prefill_names = [f"reader-{number}" for number in range(self.prefill_engines)]
        return prefill_names + [f"maker-{number}" for number in range(self.decode_engines)]

    @property
    def service_names(self) -> list[str]:
        """Returns the names of the plain services' backend servers."""
        return [f"app-{number}" for number in range(self.services)]

    @property
    def host_names(self) -> list[str]:
        """Returns the names of the hosts."""
        return [f"host-{number}" for number in range(self.hosts)]


@frozen
class Fault:
    """One fault."""

    kind: FaultKind
    # Process or link that is affected; empty for the store and the configuration.
    target: str
    # Start time, in seconds from the start of the traffic.
    start_s: float
    duration_s: float
    # One of FAULT_VARIANTS of the kind, or empty if it has none.
    variant: str = ""

    @property
    def end_s(self) -> float:
        """Returns the end time, in seconds from the start of the traffic."""
        return self.start_s + self.duration_s


def draw_size(rng: Random) -> FleetSize:
    """Returns a random size for a seed's fleet."""
    return FleetSize(rng.randint(2, 4), rng.randint(1, 2), rng.randint(1, 3), rng.randint(2, 3))


def draw_faults(rng: Random, size: FleetSize, length_s: float) -> list[Fault]:
    """Returns random faults ordered by start time; those of different targets may overlap."""
    kinds = list(FaultKind)
    weights = [KIND_WEIGHTS.get(kind, 1) for kind in kinds]
    drawn = rng.choices(kinds, weights, k=rng.randint(MIN_FAULTS, MAX_FAULTS))
    faults = [_draw_fault(kind, rng, size, length_s) for kind in drawn]
    return _drop_overlapping(sorted(faults, key=lambda fault: fault.start_s))


def _draw_fault(kind: FaultKind, rng: Random, size: FleetSize, length_s: float) -> Fault:
    backends = size.engine_names + size.service_names
    links = [f"{host}-store" for host in size.host_names] + backends
    targets = {
        "host": size.host_names,
        "backend": backends,
        "link": links,
    }.get(kind.value.partition("-")[0], [""])
    return Fault(
        kind,
        rng.choice(targets),
        round(rng.uniform(0.3, length_s), 2),
        round(rng.uniform(MIN_DURATION_S, MAX_DURATION_S), 2),
        rng.choice(FAULT_VARIANTS.get(kind, ("",))),
    )


def _drop_overlapping(faults: list[Fault]) -> list[Fault]:
    """Drops each fault that overlaps an earlier one of the same target and group of kinds.

    A process is not killed, paused or stopped while it already is killed, paused or stopped.
    """
    kept: list[Fault] = []
    for fault in faults:
        group = fault.kind.value.partition("-")[0]
        overlaps = any(
            other.target == fault.target
            and other.kind.value.partition("-")[0] == group
            and fault.start_s < other.end_s + MIN_DURATION_S
            for other in kept
        )
        if not overlaps:
            kept.append(fault)
    return kept
