"""Data classes of the fleet: backend servers, entry hosts and load reports."""

from enum import Enum

from attrs import field, frozen


class BackendKind(Enum):
    """What a backend server runs."""

    ENGINE = "engine"
    SERVICE = "service"


class Role(Enum):
    """Phase of generation that an engine runs; a mixed engine runs both."""

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
    """An entry for a backend server in the membership list."""

    # Unique name that stays with the server across restarts.
    name: str
    # Inference engine or another service.
    kind: BackendKind
    # Address on which the server listens.
    address: Address
    # Region that the data centre belongs to.
    region: str
    # Data centre in which the server is located.
    data_centre: str
    # Name of the pool (model pool or service) that the server belongs to.
    pool: str
    # Live or leaving according to the membership list, which lags behind.
    liveness: Liveness = Liveness.LIVE
    # Whether the server rejects orders with an outdated fencing number.
    checks_fencing: bool = True


@frozen
class EntryHost:
    """An entry for an entry host in the membership list."""

    # Unique name of the host.
    name: str
    # Address at which its peers reach it.
    address: Address
    # Region that the data centre belongs to.
    region: str
    # Data centre in which the host is located.
    data_centre: str
    # Live or leaving according to the membership list, which lags behind.
    liveness: Liveness = Liveness.LIVE


@frozen
class MembershipView:
    """One version of the platform's membership list."""

    # Version number of the list; never decreases.
    version: int
    # All backend servers, live and leaving.
    backends: tuple[BackendServer, ...]
    # All entry hosts, live and leaving.
    hosts: tuple[EntryHost, ...]


@frozen
class LoadReport:
    """The load that an engine last reported."""

    # Name of the backend server.
    backend: str
    # Monotonic time at which this host received the report.
    received_s: float
    # Current role of the engine.
    role: Role
    # Model and version that the engine has loaded, as model@version.
    model: str
    # Adapters that the engine has loaded.
    adapters: frozenset[str] = field(default=frozenset())
    # Requests in the batch.
    running: int = 0
    # Requests waiting to join the batch.
    waiting: int = 0
    # Prompt tokens still to be prefilled.
    prefill_backlog_tokens: int = 0
    # KV cache blocks in use.
    kv_blocks_used: int = 0
    # Total number of KV cache blocks.
    kv_blocks_total: int = 1000
