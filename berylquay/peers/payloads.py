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

    # JSON of the snapshot.
    snapshot: bytes


PeerPayload = (
    Heartbeat | DrainNotice | DrainAcknowledgement | ConfigurationRequest | ConfigurationOffer
)
