"""Options: the checked settings of one entry host, passed down to every component."""

from attrs import field, frozen

from berylquay.decisions.engine_speed import EngineSpeed
from berylquay.decisions.fleet import Address


@frozen
class CallerLimits:
    """Bounds on what one caller may cost."""

    # Most bytes of a request's head.
    head_bytes: int = 16384
    # Most bytes of a request's body.
    body_bytes: int = 1048576
    # Most open connections.
    connections: int = 2000
    # Time within which a request must have come whole.
    request_timeout_s: float = 10.0
    # Time after which a connection without a request is closed.
    idle_timeout_s: float = 60.0
    # Most bytes that wait for a caller who does not read.
    write_buffer_bytes: int = 262144


@frozen
class PeerTls:
    """Paths of what mutual TLS between entry hosts needs."""

    # Certificate of this host, which names the host among its alternative names.
    certificate: str
    # Private key of the certificate.
    key: str
    # Certificate of the authority that signed the certificates of all entry hosts.
    ca: str


@frozen
class PeerOptions:
    """How this host and the other entry hosts reach each other."""

    # Where the other hosts connect.
    address: Address
    # Mutual TLS, or None for links without TLS.
    tls: PeerTls | None = None


@frozen
class LogServiceOptions:
    """How the platform's log is used."""

    # Where the log service listens.
    address: Address
    # Time for which the log keeps a record.
    retention_s: float = 3600.0
    # Most appends that this host sends per second.
    appends_per_s: float = 20.0
    # Stream that carries the configuration.
    configuration_stream: str = "configuration"


@frozen
class AuthorityOptions:
    """How a host stands for the authority over the engines of its data centre.

    The times must be the same on all hosts of the data centre.
    """

    # Where this host's sender of orders listens.
    sender_address: Address
    # Length of a lease.
    lease_s: float = 10.0
    # Interval between renewals.
    renewal_interval_s: float = 3.0
    # Longest time between the end of a lease and the last effect of an order sent under it.
    order_margin_s: float = 3.0


@frozen
class WeightStoreOptions:
    """How the platform's weight store is used."""

    # Where the weight store listens.
    address: Address
    # Most lookups that this host sends per second.
    lookups_per_s: float = 2.0


@frozen
class HostOptions:
    """Everything that one entry host is told by its settings file."""

    # Unique name of the host.
    host: str
    # Region of the data centre.
    region: str
    # Data centre in which the host stands.
    data_centre: str
    # Where callers connect.
    callers_address: Address
    # Where the platform's membership list is served.
    membership_address: Address
    # Where health, readiness and metrics are served, or None for nowhere.
    health_address: Address | None = None
    # Time for which a stopping host still admits, so that the balancer learns of the stop.
    stop_notice_s: float = 2.0
    # Deployment files that are in force until the platform's log gives a configuration.
    initial_deployments: tuple[str, ...] = ()
    # Where operators' gRPC calls are served, or None.
    operators_address: Address | None = None
    # The platform's weight store, or None if deployments are not checked against it.
    weight_store: WeightStoreOptions | None = None
    # The platform's log, or None if the host runs on its deployment files alone.
    log_service: LogServiceOptions | None = None
    # Bounds on callers.
    caller_limits: CallerLimits = field(factory=CallerLimits)
    # Links to other entry hosts, or None for a host that stands alone.
    peers: PeerOptions | None = None
    # How this host stands for the authority over its engines, or None if it gives no orders.
    authority: AuthorityOptions | None = None
    # Rates of the engines, from which waits are predicted.
    engine_speed: EngineSpeed = field(factory=EngineSpeed)
    # Lowest level of logs to write.
    log_level: str = "info"
