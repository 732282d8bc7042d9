"""What the operators' calls can see of one host: one unchanging view per moment."""

from collections.abc import Mapping

from attrs import evolve, field, frozen

from berylquay.decisions.configuration_state import ConfigurationState
from berylquay.decisions.deployment import Configuration
from berylquay.decisions.fleet import LoadReport, MembershipView


@frozen
class PeerRevision:
    """Revision that another host said it had in force."""

    revision: int
    received_s: float


@frozen
class AuthorityView:
    """Who may give orders to a data centre's engines, as last observed."""

    holder: str
    # Fencing number.
    term: int


@frozen
class OperatorsView:
    """Everything that the operators' calls answer from."""

    # Name and data centre of this host.
    host: str
    data_centre: str
    # Configuration in force; initial deployments have revision 0.
    configuration: Configuration = field(factory=Configuration)
    # State that the configuration came from, or None.
    configuration_state: ConfigurationState | None = None
    # Whether this host can carry changes to the log.
    up_to_date: bool = False
    # Whether records are missing.
    has_gap: bool = False
    membership: MembershipView = field(factory=lambda: MembershipView(0, (), ()))
    # Last load report by engine.
    load_reports: Mapping[str, LoadReport] = field(factory=dict)
    # Revision by peer.
    peer_revisions: Mapping[str, PeerRevision] = field(factory=dict)
    # Authority by data centre.
    authorities: Mapping[str, AuthorityView] = field(factory=dict)

    def with_peer_revision(self, host: str, revision: int, now_s: float) -> "OperatorsView":
        """Returns the view with a peer's revision, which only rises."""
        previous = self.peer_revisions.get(host)
        newest = max(revision, previous.revision if previous else 0)
        return evolve(
            self, peer_revisions={**self.peer_revisions, host: PeerRevision(newest, now_s)}
        )
