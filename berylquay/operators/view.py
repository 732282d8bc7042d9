"""Immutable view of a host's state, from which the operators' calls are answered."""

from collections.abc import Mapping

from attrs import evolve, field, frozen

from berylquay.decisions.configuration_state import ConfigurationState
from berylquay.decisions.deployment import Configuration
from berylquay.decisions.fleet import LoadReport, MembershipView


@frozen
class PeerRevision:
    """Configuration revision in force on another host according to its heartbeats."""

    # Highest revision that the host reported.
    revision: int
    # Monotonic time of the last heartbeat.
    received_s: float


@frozen
class AuthorityView:
    """Which host may send orders to a data centre's engines, as last observed."""

    # Name of the host, or empty if no host holds the authority.
    holder: str
    # Fencing number of the holder.
    term: int


@frozen
class OperatorsView:
    """State of one host at one time."""

    # Name and data centre of this host.
    host: str
    data_centre: str
    # Configuration in force; initial deployments have revision 0.
    configuration: Configuration = field(factory=Configuration)
    # State that the configuration was derived from, or None before one was read.
    configuration_state: ConfigurationState | None = None
    # Whether this host has read the log to its end and can append changes.
    up_to_date: bool = False
    # Whether records of the log are missing, so that a snapshot is needed.
    has_gap: bool = False
    membership: MembershipView = field(factory=lambda: MembershipView(0, (), ()))
    # Last load report by engine.
    load_reports: Mapping[str, LoadReport] = field(factory=dict)
    # Configuration revision in force by peer.
    peer_revisions: Mapping[str, PeerRevision] = field(factory=dict)
    # Authority by data centre.
    authorities: Mapping[str, AuthorityView] = field(factory=dict)

    def with_peer_revision(self, host: str, revision: int, now_s: float) -> "OperatorsView":
        """Returns the view with a peer's revision, which never decreases, and its time."""
        previous = self.peer_revisions.get(host)
        newest = max(revision, previous.revision if previous else 0)
        return evolve(
            self, peer_revisions={**self.peer_revisions, host: PeerRevision(newest, now_s)}
        )
