"""The faults of one seed: what goes wrong, where, when and for how long."""

from enum import Enum
from random import Random
from typing import Final

from attrs import frozen


class FaultKind(Enum):
    """What can go wrong."""

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


# Ways in which a fault of a kind shows.
WAYS: Final = {
    FaultKind.BACKEND_ANSWERS: (
        "reject",
        "fail",
        "lose_answer",
        "foreign_answer",
        "lapsed_handles",
        "other_server",
        "break_after",
        "delay_s",
    ),
    FaultKind.LINK_CUT: ("towards", "back", "both"),
    FaultKind.STORE: ("away", "silent", "cut", "lose_answers", "drop_history"),
}
# How often a kind is drawn, against the others.
WEIGHTS: Final = {
    FaultKind.BACKEND_ANSWERS: 3,
    FaultKind.LINK_CUT: 2,
    FaultKind.STORE: 2,
    FaultKind.HOST_STOP: 2,
}
LONGEST_S: Final = 3.0
SHORTEST_S: Final = 0.2
FEWEST: Final = 4
MOST: Final = 9


@frozen
class FleetSize:
    """How many processes of each sort a seed has."""

    hosts: int
    readers: int
    makers: int
    services: int

    @property
    def engine_names(self) -> list[str]:
        """Returns the names of the engines, those that read prompts first."""
        readers = [f"reader-{number}" for number in range(self.readers)]
        return readers + [f"maker-{number}" for number in range(self.makers)]

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
    # Process or link that it concerns; empty for the store and the configuration.
    target: str
    # Time from the start of the traffic, and how long it lasts.
    at_s: float
    for_s: float
    # Way in which it shows, or empty.
    way: str = ""

    @property
    def until_s(self) -> float:
        """Returns the time at which it ends."""
        return self.at_s + self.for_s


def draw_size(rng: Random) -> FleetSize:
    """Returns the size of a seed's fleet."""
    return FleetSize(rng.randint(2, 4), rng.randint(1, 2), rng.randint(1, 3), rng.randint(2, 3))


def draw_faults(rng: Random, size: FleetSize, length_s: float) -> list[Fault]:
    """Returns the faults of a seed in order of time; they may overlap."""
    kinds = list(FaultKind)
    weights = [WEIGHTS.get(kind, 1) for kind in kinds]
    drawn = rng.choices(kinds, weights, k=rng.randint(FEWEST, MOST))
    faults = [_draw_fault(kind, rng, size, length_s) for kind in drawn]
    return _without_clashes(sorted(faults, key=lambda fault: fault.at_s))


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
        round(rng.uniform(SHORTEST_S, LONGEST_S), 2),
        rng.choice(WAYS.get(kind, ("",))),
    )


def _without_clashes(faults: list[Fault]) -> list[Fault]:
    """Leaves out faults of one kind on one target that begin before the one before has ended.

    The same process is not killed, paused or stopped while it is that already.
    """
    kept: list[Fault] = []
    for fault in faults:
        group = fault.kind.value.partition("-")[0]
        clashes = any(
            other.target == fault.target
            and other.kind.value.partition("-")[0] == group
            and fault.at_s < other.until_s + SHORTEST_S
            for other in kept
        )
        if not clashes:
            kept.append(fault)
    return kept
