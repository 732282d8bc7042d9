"""Scenarios of the benchmark: fleets, class mixes, load shifts and faults, read from INI files."""

from configparser import ConfigParser, SectionProxy
from pathlib import Path
from typing import Final

from attrs import frozen

from berylquay.decisions.deployment import Deployment
from berylquay.decisions.engine_speed import EngineSpeed
from berylquay.decisions.fleet import Role
from berylquay.settings.deployment_file import read_deployment_file

ROOT: Final = Path(__file__).parents[1]
DATA_DIRECTORY: Final = ROOT / "test-data" / "bench"


@frozen
class RegionSpec:
    """One region of the fleet, with one data centre."""

    name: str
    # Initial role of each engine under policy sets with split_at_start.
    split_roles: tuple[Role, ...]
    # Number of entry hosts.
    host_count: int
    # Fraction of the callers in this region.
    caller_fraction: float


@frozen
class ClassWorkload:
    """Prompt lengths and prefixes of the requests of a class."""

    name: str
    prompt_tokens: int
    # Leading tokens of the prompt that requests with the same prefix share.
    prefix_tokens: int
    # Number of different prefixes.
    prefix_count: int


@frozen
class FleetSpec:
    """A deployment with its engines, hosts and workload."""

    deployment: Deployment
    pool: str
    regions: tuple[RegionSpec, ...]
    classes: tuple[ClassWorkload, ...]
    # Fraction of the work by class, by name of the mix.
    mixes: dict[str, dict[str, float]]
    speed: EngineSpeed

    @property
    def engine_count(self) -> int:
        """Returns the number of engines."""
        return sum(len(region.split_roles) for region in self.regions)


@frozen
class Phase:
    """A mix of classes that applies from a point in time on."""

    at_s: float
    mix: str


@frozen
class Fault:
    """A fault that is injected for some time."""

    # crash, withdraw, late, missing or cut.
    kind: str
    at_s: float
    until_s: float
    # "first" engine, "last" region or "all"; "changing" for the first engine that changes its role.
    target: str


@frozen
class Scenario:
    """One scenario, independent of the policies."""

    name: str
    # Group that the policy targets refer to: shift, load, flood, fault, reports or retries.
    group: str
    duration_s: float
    # Offered work as a fraction of the capacity of mixed engines without prefix cache hits.
    load: float
    phases: tuple[Phase, ...]
    # Whether the mix is interpolated linearly between phases.
    interpolates_mix: bool
    faults: tuple[Fault, ...]
    # Factor on the offered work of the first tenant during the middle third of the run.
    flood_factor: float
    # Fraction of the callers that resubmit after the time in Retry-After.
    honour_retry_after_fraction: float
    # Fraction of the callers that resubmit shortly after a refusal, ignoring Retry-After.
    ignore_retry_after_fraction: float


def read_fleet(name: str) -> FleetSpec:
    """Returns the fleet of that name under test-data/bench."""
    parser = _read_ini(DATA_DIRECTORY / f"{name}.ini")
    fleet = parser["fleet"]
    deployment = read_deployment_file(str(ROOT / fleet["deployment"])).unwrap()
    speeds = {key: float(value) for key, value in parser["speed"].items()}
    max_batch = int(speeds.pop("max_batch"))
    return FleetSpec(
        deployment=deployment,
        pool=fleet["pool"],
        regions=tuple(
            _parse_region(name, section) for name, section in _sections(parser, "region")
        ),
        classes=tuple(_parse_class(name, section) for name, section in _sections(parser, "class")),
        mixes={
            name: {key: float(value) for key, value in section.items()}
            for name, section in _sections(parser, "mix")
        },
        speed=EngineSpeed(max_batch=max_batch, **speeds),
    )


def read_scenarios() -> tuple[Scenario, ...]:
    """Returns every scenario of test-data/bench/scenarios.ini in its order."""
    parser = _read_ini(DATA_DIRECTORY / "scenarios.ini")
    return tuple(_parse_scenario(name, section) for name, section in _sections(parser, "scenario"))


def _read_ini(path: Path) -> ConfigParser:
    parser = ConfigParser(interpolation=None)
    parser.read_string(path.read_text(encoding="utf-8"))
    return parser


def _sections(parser: ConfigParser, kind: str) -> list[tuple[str, SectionProxy]]:
    names = [name for name in parser.sections() if name.startswith(f"{kind} ")]
    return [(name.removeprefix(f"{kind} "), parser[name]) for name in names]


def _parse_region(name: str, section: SectionProxy) -> RegionSpec:
    split = tuple(Role(role.strip()) for role in section["split"].split(","))
    return RegionSpec(name, split, int(section["hosts"]), float(section["callers"]))


def _parse_class(name: str, section: SectionProxy) -> ClassWorkload:
    return ClassWorkload(
        name,
        int(section["prompt_tokens"]),
        int(section["prefix_tokens"]),
        int(section["prefixes"]),
    )


def _parse_scenario(name: str, section: SectionProxy) -> Scenario:
    return Scenario(
        name=name,
        group=section["group"],
        duration_s=section.getfloat("duration_s", 240.0),
        load=section.getfloat("load", 0.75),
        phases=tuple(_parse_phase(text) for text in section["phases"].split(",")),
        interpolates_mix=section.getboolean("drift", False),
        faults=tuple(
            _parse_fault(text) for text in section.get("faults", "").split(",") if text.strip()
        ),
        flood_factor=section.getfloat("flood", 1.0),
        honour_retry_after_fraction=section.getfloat("heeding", 0.0),
        ignore_retry_after_fraction=section.getfloat("impatient", 0.0),
    )


def _parse_phase(text: str) -> Phase:
    at_s, mix = text.split()
    return Phase(float(at_s), mix)


def _parse_fault(text: str) -> Fault:
    kind, target, at_s, until_s = text.split()
    return Fault(kind, float(at_s), float(until_s), target)
