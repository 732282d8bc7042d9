"""Scenarios of the bench: fleets, mixes of classes, shifts and faults, read from INI files."""

from configparser import ConfigParser, SectionProxy
from pathlib import Path
from typing import Final

from attrs import frozen

from berylquay.decisions.deployment import Deployment
from berylquay.decisions.engine_speed import EngineSpeed
from berylquay.decisions.fleet import Role
from berylquay.settings.deployment_file import read_deployment_file

ROOT: Final = Path(__file__).parents[1]
DATA: Final = ROOT / "test-data" / "bench"


@frozen
class RegionShape:
    """One region with one data centre of the fleet."""

    name: str
    # Role of each engine at the start when roles are split.
    split: tuple[Role, ...]
    # Number of entry hosts.
    hosts: int
    # Part of the callers that are here.
    callers: float


@frozen
class ClassShape:
    """What the requests of a class look like."""

    name: str
    prompt_tokens: int
    # Leading tokens of the prompt that many requests have in common.
    prefix_tokens: int
    # Number of different prefixes.
    prefixes: int


@frozen
class FleetShape:
    """A deployment with its fleet and its callers."""

    deployment: Deployment
    pool: str
    regions: tuple[RegionShape, ...]
    classes: tuple[ClassShape, ...]
    # Work share of each class, by name of the mix.
    mixes: dict[str, dict[str, float]]
    speed: EngineSpeed

    @property
    def engine_count(self) -> int:
        """Returns the number of engines."""
        return sum(len(region.split) for region in self.regions)


@frozen
class Phase:
    """From a point in time on, a mix of classes."""

    at_s: float
    mix: str


@frozen
class Fault:
    """Something that goes wrong for a while."""

    # crash, withdraw, reports or cut.
    kind: str
    at_s: float
    until_s: float
    # Name of an engine or of a region; "changing" for the first engine that changes its role.
    target: str


@frozen
class Scenario:
    """One run of the bench, whatever the policy."""

    name: str
    # Group that the targets speak of: shift, load, flood, fault, reports or retries.
    group: str
    duration_s: float
    # Offered work as a part of what mixed engines can do without prefix hits.
    load: float
    phases: tuple[Phase, ...]
    # Whether the mix moves in a straight line between phases.
    drift: bool
    faults: tuple[Fault, ...]
    # Factor on the offered work of the first tenant during the middle third of the run.
    flood: float
    # Part of the callers that come back when Retry-After says.
    heeding: float
    # Part of the callers that send again at once, whatever they are told.
    impatient: float


def read_fleet(name: str) -> FleetShape:
    """Returns the fleet of that name under test-data/bench."""
    parser = _parse(DATA / f"{name}.ini")
    fleet = parser["fleet"]
    deployment = read_deployment_file(str(ROOT / fleet["deployment"])).unwrap()
    speeds = {key: float(value) for key, value in parser["speed"].items()}
    max_batch = int(speeds.pop("max_batch"))
    return FleetShape(
        deployment=deployment,
        pool=fleet["pool"],
        regions=tuple(_region(name, part) for name, part in _sections(parser, "region")),
        classes=tuple(_class(name, part) for name, part in _sections(parser, "class")),
        mixes={
            name: {key: float(value) for key, value in part.items()}
            for name, part in _sections(parser, "mix")
        },
        speed=EngineSpeed(max_batch=max_batch, **speeds),
    )


def read_scenarios() -> tuple[Scenario, ...]:
    """Returns every scenario of test-data/bench/scenarios.ini in its order."""
    parser = _parse(DATA / "scenarios.ini")
    return tuple(_scenario(name, part) for name, part in _sections(parser, "scenario"))


def _parse(path: Path) -> ConfigParser:
    parser = ConfigParser(interpolation=None)
    parser.read_string(path.read_text(encoding="utf-8"))
    return parser


def _sections(parser: ConfigParser, kind: str) -> list[tuple[str, SectionProxy]]:
    names = [name for name in parser.sections() if name.startswith(f"{kind} ")]
    return [(name.removeprefix(f"{kind} "), parser[name]) for name in names]


def _region(name: str, part: SectionProxy) -> RegionShape:
    split = tuple(Role(word.strip()) for word in part["split"].split(","))
    return RegionShape(name, split, int(part["hosts"]), float(part["callers"]))


def _class(name: str, part: SectionProxy) -> ClassShape:
    return ClassShape(
        name,
        int(part["prompt_tokens"]),
        int(part["prefix_tokens"]),
        int(part["prefixes"]),
    )


def _scenario(name: str, part: SectionProxy) -> Scenario:
    return Scenario(
        name=name,
        group=part["group"],
        duration_s=part.getfloat("duration_s", 240.0),
        load=part.getfloat("load", 0.75),
        phases=tuple(_phase(text) for text in part["phases"].split(",")),
        drift=part.getboolean("drift", False),
        faults=tuple(_fault(text) for text in part.get("faults", "").split(",") if text.strip()),
        flood=part.getfloat("flood", 1.0),
        heeding=part.getfloat("heeding", 0.0),
        impatient=part.getfloat("impatient", 0.0),
    )


def _phase(text: str) -> Phase:
    at_s, mix = text.split()
    return Phase(float(at_s), mix)


def _fault(text: str) -> Fault:
    kind, target, at_s, until_s = text.split()
    return Fault(kind, float(at_s), float(until_s), target)
