"""Options: the validated settings of one entry host, from which its components are built."""

from attrs import field, frozen

from berylquay.decisions.engine_speed import EngineSpeed
from berylquay.decisions.fleet import Address


@frozen
class CallerLimits:
    """Limits on the resources that callers' connections and requests may use."""

    # Maximum size of a request's head.
    head_bytes: int = 16384
    # Maximum size of a request's body.
    body_bytes: int = 1048576
    # Maximum number of open connections.
    connections: int = 2000
    # Time within which a complete request must have been received.
    request_timeout_s: float = 10.0
    # Time after which a connection without a request is closed.
    idle_timeout_s: float = 60.0
    # Maximum number of bytes buffered for a caller that does not read.
    write_buffer_bytes: int = 262144


@frozen
class PeerTls:
    """Paths of the PEM files for mutual TLS between entry hosts."""

    # Certificate of this host, whose subject alternative names contain the host's name.
    certificate: str
    # Private key of the certificate.
    key: str
    # Certificate of the certificate authority that signed the certificates of all entry hosts.
    ca: str


@frozen
class PeerOptions:
    """Options of the links between this host and the other entry hosts."""

    # Address on which this host accepts links from the other hosts.
    address: Address
    # Mutual TLS, or None for links without TLS.
    tls: PeerTls | None = None


@frozen
class LogServiceOptions:
    """Options of the client of the platform's log."""

    # Address of the log service.
    address: Address
    # Time for which the log retains a record.
    retention_s: float = 3600.0
    # Maximum rate of appends that this host sends.
    appends_per_s: float = 20.0
    # Stream that contains the configuration records.
    configuration_stream: str = "configuration"


@frozen
class AuthorityOptions:
    """Options of a host that competes for the authority over the engines of its data centre.

    The times must be the same on all hosts of the data centre.
    """

    # Address of this host's order sender.
    sender_address: Address
    # Length of a lease.
    lease_s: float = 10.0
    # Interval between renewals.
    renewal_interval_s: float = 3.0
    # Maximum time from the end of a lease to the last effect of an order sent under it.
    order_margin_s: float = 3.0


@frozen
class WeightStoreOptions:
    """Options of the client of the platform's weight store."""

    # Address of the weight store.
    address: Address
    # Maximum rate of lookups that this host sends.
    lookups_per_s: float = 2.0


@frozen
class HostOptions:
    """All settings of one entry host."""

    # Unique name of the host.
    host: str
    # Region of the data centre.
    region: str
    # Data centre of the host.
    data_centre: str
    # Address on which callers' requests are served.
    callers_address: Address
    # Address of the service that provides the platform's membership list.
    membership_address: Address
    # Address on which health, readiness and metrics are served, or None if they are not served.
    health_address: Address | None = None
    # Time for which a stopping host still admits requests, so that the load balancer can take it
    # out of rotation first.
    stop_notice_s: float = 2.0
    # Paths of the deployment files in force until the platform's log has a configuration.
    initial_deployments: tuple[str, ...] = ()
    # Address on which operators' gRPC calls are served, or None if they are not served.
    operators_address: Address | None = None
    # The platform's weight store, or None if deployments are not checked against it.
    weight_store: WeightStoreOptions | None = None
    # The platform's log, or None if the host uses only its deployment files.
    log_service: LogServiceOptions | None = None
    # Limits on callers' connections and requests.
    caller_limits: CallerLimits = field(factory=CallerLimits)
    # Links to other entry hosts, or None for a host without links.
    peers: PeerOptions | None = None
    # Options for the authority over the data centre's engines, or None if this host sends no
    # orders.
    authority: AuthorityOptions | None = None
    # Speed of the engines, from which waiting times are predicted.
    engine_speed: EngineSpeed = field(factory=EngineSpeed)
    # Minimum level of log records that are written.
    log_level: str = "info"
