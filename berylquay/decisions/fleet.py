"""The fleet as the decisions see it: backend servers, their state and their load reports."""

from enum import Enum

from attrs import field, frozen


class BackendKind(Enum):
    """What a backend server runs."""

    ENGINE = "engine"
    SERVICE = "service"


class Role(Enum):
    """The part of a generation that an engine takes."""

    PREFILL = "prefill"
    DECODE = "decode"
    MIXED = "mixed"


class Liveness(Enum):
    """State of a host in the platform's membership list."""

    LIVE = "live"
    LEAVING = "leaving"


@frozen
class Address:
    """An IPv4 address and a TCP port."""

    # Dotted IPv4 address.
    ip: str
    # TCP port.
    port: int

    def __str__(self) -> str:
        """Returns the address as ip:port."""
        return f"{self.ip}:{self.port}"


@frozen
class BackendServer:
    """One backend server as the membership list gives it."""

    # Unique name that stays with the server across restarts.
    name: str
    # Engine or plain service.
    kind: BackendKind
    # Where it listens.
    address: Address
    # Region that the data centre belongs to.
    region: str
    # Data centre that the server stands in.
    data_centre: str
    # Name of the pool (model pool or service) that the server belongs to.
    pool: str
    # Live or leaving, as the lagging list has it.
    liveness: Liveness = Liveness.LIVE
    # Whether the server refuses orders that carry an old fencing number.
    checks_fencing: bool = True


@frozen
class EntryHost:
    """One entry host as the membership list gives it."""

    # Unique name of the host.
    name: str
    # Where its peers reach it.
    address: Address
    # Region that the data centre belongs to.
    region: str
    # Data centre that the host stands in.
    data_centre: str
    # Live or leaving, as the lagging list has it.
    liveness: Liveness = Liveness.LIVE


@frozen
class MembershipView:
    """One reading of the platform's membership list."""

    # Version of the list; only rises.
    version: int
    # All backend servers, live and leaving.
    backends: tuple[BackendServer, ...]
    # All entry hosts, live and leaving.
    hosts: tuple[EntryHost, ...]


@frozen
class LoadReport:
    """What an engine reported of its own load, some time ago."""

    # Name of the backend server.
    backend: str
    # Monotonic time at which this host received the report.
    received_s: float
    # Part of the engine's work that it takes now.
    role: Role
    # Model and version that the engine has loaded, as model@version.
    model: str
    # Adapters that the engine has loaded.
    adapters: frozenset[str] = field(default=frozenset())
    # Requests in the batch.
    running: int = 0
    # Requests waiting for the batch.
    waiting: int = 0
    # Prompt tokens still to be prefilled.
    prefill_backlog_tokens: int = 0
    # KV-cache pieces in use.
    kv_blocks_used: int = 0
    # KV-cache pieces in all.
    kv_blocks_total: int = 1000
