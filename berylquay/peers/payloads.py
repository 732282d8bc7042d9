"""Payloads between entry hosts: each is an attrs class and a member of `PeerPayload`.

Fields are strings, tuples of strings, numbers, booleans or bytes, which are the types that the
codec checks.
"""

from attrs import frozen


@frozen
class Hello:
    """First message that each end sends on a link: identifies the sender."""

    # Name of the sending host.
    host: str
    # Incarnation of the sending process; changes with each restart.
    incarnation: str


@frozen
class Heartbeat:
    """Shows that the sender is alive."""

    # Incarnation of the sending process; changes with each restart.
    incarnation: str
    # Configuration revision in force at the sender.
    revision: int


@frozen
class DrainNotice:
    """Asks a host to place no new work on a backend server, or to end that drain."""

    # Name of the backend server.
    backend: str
    # Whether the drain begins or continues, rather than ends.
    draining: bool
    # Fencing number of the sender's authority.
    term: int
    # Number of the notice; acknowledgements repeat it.
    notice: int = 0


@frozen
class DrainAcknowledgement:
    """Confirms that the sender places no new work on a draining backend server."""

    # Name of the backend server.
    backend: str
    # Fencing number in the notice.
    term: int
    # Number of attempts that the sender still has in flight on the backend server.
    in_flight: int
    # Number of the newest notice that the sender has applied.
    notice: int = 0


@frozen
class ConfigurationRequest:
    """Asks for a snapshot of the configuration if the receiver has read beyond the offset."""

    # Offset in the configuration stream up to which the sender has read.
    offset: int


@frozen
class ConfigurationOffer:
    """Carries a snapshot of the configuration in the format of the log's snapshot records."""

    # Snapshot as compressed JSON.
    snapshot: bytes


@frozen
class CrashReport:
    """Reports the contents that were in flight on a backend server when it crashed."""

    # Name of the backend server.
    backend: str
    # Content fingerprints, sorted.
    fingerprints: tuple[str, ...]
    # Time since the sender learnt of the crash.
    age_s: float


@frozen
class CrashCleared:
    """Reports that a suspected content was answered completely and crashed no server."""

    # Fingerprint of the content.
    fingerprint: str


@frozen
class IsolationClaim:
    """Claims a backend server for a suspected content that the sender runs, or releases it."""

    # Name of the backend server.
    backend: str
    # Fingerprint of the content that runs there.
    fingerprint: str
    # Whether the claim is made or renewed, rather than released.
    held: bool


@frozen
class TicketAsked:
    """Asks the issuer of a single-use ticket to transfer the right to redeem it to the sender."""

    # Id of the request; the answer repeats it.
    ask_id: str
    # The ticket.
    ticket: str
    # Tenant that presented the ticket.
    tenant: str
    # Hash of the content that is to run.
    fingerprint: str


@frozen
class TicketAnswered:
    """Answers `TicketAsked`; the right to redeem a ticket is transferred at most once."""

    # Id of the request.
    ask_id: str
    # The ticket.
    ticket: str
    # Value of a `TicketOutcome`.
    outcome: str


@frozen
class TicketReturned:
    """Tells the issuer of a ticket that the right to redeem it was not and will not be used."""

    # Id of the request that transferred the right.
    ask_id: str
    # The ticket.
    ticket: str


PeerPayload = (
    Hello
    | Heartbeat
    | DrainNotice
    | DrainAcknowledgement
    | ConfigurationRequest
    | ConfigurationOffer
    | CrashReport
    | CrashCleared
    | IsolationClaim
    | TicketAsked
    | TicketAnswered
    | TicketReturned
)
