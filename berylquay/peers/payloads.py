"""Payloads between entry hosts: each is an attrs class with an entry in the codec's table.

Fields are texts, numbers, flags or bytes.
"""

from attrs import frozen


@frozen
class Hello:
    """The first message on a link, from both ends: says who is there."""

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
    """Asks every host to keep new work away from a backend server, or to cease doing so."""

    backend: str
    draining: bool
    # Fencing number of the sender's authority.
    term: int
    # Number of the notice; acknowledgements repeat it.
    notice: int = 0


@frozen
class DrainAcknowledgement:
    """Says that the sender keeps new work away and how many attempts it still has in flight."""

    backend: str
    term: int
    in_flight: int
    # Number of the newest notice that the sender has taken.
    notice: int = 0


@frozen
class ConfigurationRequest:
    """Asks for the configuration's snapshot, if the receiver has read further than the offset."""

    offset: int


@frozen
class ConfigurationOffer:
    """Carries a snapshot of the configuration, as the log's snapshot records do."""

    # Snapshot as compressed JSON.
    snapshot: bytes


@frozen
class CrashReport:
    """Names the contents that were in flight on a backend server when it was lost."""

    # Name of the backend server.
    backend: str
    # Content fingerprints, sorted.
    fingerprints: tuple[str, ...]
    # Time since the sender heard of the loss.
    age_s: float


@frozen
class CrashCleared:
    """Says that a suspected content was answered whole and crashes no server."""

    fingerprint: str


@frozen
class IsolationClaim:
    """Says that the sender runs a suspected content on a backend server, or has ceased to."""

    # Name of the backend server.
    backend: str
    # Content that runs there.
    fingerprint: str
    # Whether the claim is made or renewed, rather than released.
    held: bool


@frozen
class TicketAsked:
    """Asks the issuer of a single-use ticket to hand the right to spend it over to the sender."""

    # Id of the question; the answer repeats it.
    ask_id: str
    # The ticket.
    ticket: str
    # Tenant that sent the ticket.
    tenant: str
    # Hash of the content that is to run.
    fingerprint: str


@frozen
class TicketAnswered:
    """Answers `TicketAsked`; the right to spend the ticket passes over at most once."""

    # Id of the question.
    ask_id: str
    # The ticket.
    ticket: str
    # Value of a `TicketOutcome`.
    outcome: str


@frozen
class TicketReturned:
    """Tells the issuer of a ticket that the right to spend it was not and will not be used."""

    # Id of the question by which the right had passed over.
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
