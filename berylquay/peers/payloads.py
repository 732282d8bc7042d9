"""Payloads between entry hosts: each is an attrs class with an entry in the codec's table."""

from attrs import frozen


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


@frozen
class DrainAcknowledgement:
    """Says that the sender keeps new work away and how many attempts it still has in flight."""

    backend: str
    term: int
    in_flight: int


@frozen
class CrashReport:
    """Names the contents that were in flight on a backend server when it was lost."""

    # Name of the backend server.
    backend: str
    # Content fingerprints, sorted.
    fingerprints: tuple[str, ...]


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


PeerPayload = (
    Heartbeat | DrainNotice | DrainAcknowledgement | CrashReport | CrashCleared | IsolationClaim
)
