"""Settings file of a relay host: parses INI text into validated `RelayOptions`."""

import re
from configparser import ConfigParser
from pathlib import Path
from typing import Final

from attrs import frozen
from returns.result import Failure, Result, Success

from berylquay.decisions.fleet import Address
from berylquay.errors import SettingsError
from berylquay.platform.wire_names import DUTY_SCALING, DUTY_USAGE
from berylquay.settings.ini_reader import IniReader, read_ini_file

BYTES_PER_MB: Final = 1_000_000
# Fraction of the process's memory limit that bodies of open requests may use together.
BODY_MEMORY_FRACTION: Final = 0.2
# A pin of the scaling: pool, data centre, on-demand servers, spot servers.
PIN_PATTERN: Final = re.compile(r"([^@=]+)@([^@=]+)=(\d{1,6})\+(\d{1,6})")
# Interval between checks of the settings file.
CHECK_INTERVAL_S: Final = 1.0


@frozen
class OperatingLimits:
    """Times and ratios that the platform's operator guarantees or requires."""

    # Time from the stop signal to a process until it is killed.
    grace_s: float
    # Maximum time until a change of the configuration is in force.
    configuration_apply_s: float
    # Maximum time until a backend server that is leaving gets no new requests.
    leaving_apply_s: float
    # Retry budget: retries allowed per request for a pool, over all hosts.
    retry_ratio: float
    # Length of the window in which retries are counted.
    retry_window_s: float
    # Retries allowed in each window in addition, over all hosts.
    retry_extra: float
    # Time after the last order of a holder for which no other host may send orders to engines.
    lease_s: float


@frozen
class DutyOptions:
    """The platform's API for duties of one host at a time, and the duties that it expects."""

    address: Address
    # Whether the requests of each tenant are reported, and whether servers are ordered.
    reports_usage: bool
    orders_servers: bool
    # Most calls a second that the API accepts.
    calls_per_s: float
    # Length of a window of usage, and time after its end at which its report is due.
    usage_window_s: float
    usage_due_s: float


@frozen
class ScalingPin:
    """Numbers of servers that the operator has fixed for a pool in a data centre."""

    pool: str
    data_centre: str
    on_demand: int
    spot: int


@frozen
class ScalingOptions:
    """Whether and how pools are scaled, where the platform has the duty."""

    enabled: bool = True
    pins: tuple[ScalingPin, ...] = ()


@frozen
class RelayOptions:
    """All settings of a relay host."""

    # Name of this host.
    host: str
    data_centre: str
    region: str
    # Region of each data centre.
    regions: dict[str, str]
    callers_address: Address
    readiness_address: Address
    # Address on which this host receives the other hosts' updates, over UDP.
    peers_address: Address
    metrics_address: Address
    store_address: Address
    # Maximum total size of request bodies in memory.
    body_memory_bytes: int
    # Maximum number of file descriptors for sockets.
    max_sockets: int
    bounds: OperatingLimits
    log_level: str
    # Whether prompts are spread over engines of similar cost while other hosts place prompts too.
    spread_load: bool = False
    # None where the platform has no API for duties.
    duties: DutyOptions | None = None
    scaling: ScalingOptions = ScalingOptions()
    # Whether the whole fleet starts for the first time; False for a process that starts again.
    is_first_start: bool = False


class SettingsFileWatcher:
    """Detects changes of the settings file, which may be rewritten without a signal."""

    path: str
    # Modification time that was last read, in nanoseconds; 0 if the file could not be read.
    _modified_ns: int
    # Monotonic time of the next check.
    _next_check_s: float

    def __init__(self, path: str) -> None:
        self.path = path
        self._modified_ns = self._read_modified_ns()
        self._next_check_s = 0.0

    def has_changed(self, now_s: float) -> bool:
        """Returns whether the modification time differs from that of the last check.

        It reads the time at most once per `CHECK_INTERVAL_S`, and returns False in between.
        """
        if now_s < self._next_check_s:
            return False
        self._next_check_s = now_s + CHECK_INTERVAL_S
        previous_ns, self._modified_ns = self._modified_ns, self._read_modified_ns()
        return self._modified_ns != previous_ns

    def _read_modified_ns(self) -> int:
        try:
            return Path(self.path).stat().st_mtime_ns
        except OSError:
            # The file may be in the middle of being replaced; the next check reads it again.
            return 0


def read_relay_settings(path: str) -> Result[RelayOptions, tuple[SettingsError, ...]]:
    """Returns the options in the file, or all errors in it."""
    parser = ConfigParser(interpolation=None)
    # Preserve the case of data centre names, which are keys.
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    error = read_ini_file(path, parser)
    if error is not None:
        return Failure((error,))
    reader = IniReader(path, parser)
    options = _read_options(reader, parser)
    reader.check_for_unknown_keys()
    if reader.errors:
        return Failure(tuple(reader.errors))
    return Success(options)


def _read_options(reader: IniReader, parser: ConfigParser) -> RelayOptions:
    data_centres = parser["regions"] if parser.has_section("regions") else {}
    memory_bytes = reader.number("limits", "memory_mb") * BYTES_PER_MB
    return RelayOptions(
        host=reader.text("host", "name"),
        data_centre=reader.text("host", "data_centre"),
        region=reader.text("host", "region"),
        regions={name: reader.text("regions", name) for name in data_centres},
        callers_address=reader.address("listen", "callers"),
        readiness_address=reader.address("listen", "readiness"),
        peers_address=reader.address("listen", "peers"),
        metrics_address=reader.address("listen", "metrics"),
        store_address=reader.address("store", "address"),
        body_memory_bytes=int(memory_bytes * BODY_MEMORY_FRACTION),
        max_sockets=reader.count("limits", "max_sockets"),
        bounds=_read_operating_limits(reader),
        log_level=reader.choice("host", "log_level", ("debug", "info", "warning", "error"), "info"),
        spread_load=reader.choice("placement", "spread_load", ("yes", "no"), "no") == "yes",
        duties=_read_duties(reader) if parser.has_section("duties") else None,
        scaling=_read_scaling(reader),
        is_first_start=reader.choice("host", "first_start", ("true", "false"), "false") == "true",
    )


def _read_scaling(reader: IniReader) -> ScalingOptions:
    pins = []
    for text in reader.text_list("scaling", "pins", ()):
        match = PIN_PATTERN.fullmatch(text)
        if match is None:
            allowed = "pins like POOL@DATA_CENTRE=ON_DEMAND+SPOT"
            reader.errors.append(SettingsError(reader.file, "scaling", "pins", text, allowed))
        else:
            pins.append(ScalingPin(match[1], match[2], int(match[3]), int(match[4])))
    return ScalingOptions(reader.flag("scaling", "enabled", True), tuple(pins))


def _read_duties(reader: IniReader) -> DutyOptions:
    section = "duties"
    names = reader.text_list(section, "names")
    return DutyOptions(
        address=reader.address(section, "address"),
        reports_usage=DUTY_USAGE in names,
        orders_servers=DUTY_SCALING in names,
        calls_per_s=reader.positive_number(section, "calls_per_s"),
        usage_window_s=reader.positive_number(section, "usage_window_s"),
        usage_due_s=reader.number(section, "usage_due_s"),
    )


def _read_operating_limits(reader: IniReader) -> OperatingLimits:
    section = "bounds"
    return OperatingLimits(
        grace_s=reader.number(section, "grace_s"),
        configuration_apply_s=reader.number(section, "configuration_apply_ms") / 1000.0,
        leaving_apply_s=reader.number(section, "leaving_apply_ms") / 1000.0,
        retry_ratio=reader.number(section, "retry_ratio"),
        retry_window_s=reader.number(section, "retry_window_s"),
        retry_extra=reader.number(section, "retry_extra"),
        lease_s=reader.number(section, "lease_ms") / 1000.0,
    )
