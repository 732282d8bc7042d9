"""Isolation: keeps suspected contents of all hosts of a data centre apart on backend servers.

A content under which servers were lost runs on a server only while no other such content does, so
that a further loss tells which it was. A host claims the server among its peers, waits until a
claim that crosses its own would have come, and yields to one of a host whose name sorts first.
"""

from enum import Enum

from attrs import define, frozen

from berylquay.peers.payloads import IsolationClaim


@frozen
class IsolationTimings:
    """Times of claims."""

    # Time for which a claim is held back, longer than a message to a peer takes.
    settling_s: float = 0.15
    # Time between renewals of a claim.
    renewal_interval_s: float = 2.0
    # Time after which a peer's claim that was not renewed is void.
    expiry_timeout_s: float = 6.0


class IsolationState(Enum):
    """What has become of a host's own claim."""

    # Peers may still object.
    SETTLING = "settling"
    # The content may run.
    READY = "ready"
    # The content runs.
    RUNNING = "running"


@define
class _LocalClaim:
    """A claim of this host."""

    backend: str
    state: IsolationState
    # Monotonic time at which the claim is settled, then of its next renewal.
    next_step_s: float
    # Call that runs under the claim, or empty.
    call_id: str = ""


@frozen
class _PeerClaim:
    """A claim of a peer."""

    fingerprint: str
    # Monotonic time at which the claim becomes void if it is not renewed.
    expires_s: float


class IsolationClaims:
    """Claims of this host and of its peers."""

    # Times.
    _limits: IsolationTimings
    # Name of this host.
    _host: str
    # This host's claim by content.
    _local_claims: dict[str, _LocalClaim]
    # Peers' claims by host and backend server.
    _peer_claims: dict[tuple[str, str], _PeerClaim]

    def __init__(self, limits: IsolationTimings, host: str) -> None:
        self._limits = limits
        self._host = host
        self._local_claims = {}
        self._peer_claims = {}

    def local_claim(self, fingerprint: str, now_s: float) -> tuple[str, IsolationState] | None:
        """Returns the server that this host has claimed for the content, and how far that is."""
        claim = self._local_claims.get(fingerprint)
        if claim is None:
            return None
        if claim.state is IsolationState.SETTLING and now_s >= claim.next_step_s:
            claim.state = IsolationState.READY
            claim.next_step_s = now_s + self._limits.renewal_interval_s
        return claim.backend, claim.state

    def is_claimed(self, backend: str, fingerprint: str, now_s: float) -> bool:
        """Tells whether some content has the server to itself, or the content runs elsewhere."""
        if any(claim.backend == backend for claim in self._local_claims.values()):
            return True
        return any(
            claim.expires_s > now_s
            and (claimed_backend == backend or claim.fingerprint == fingerprint)
            for (_, claimed_backend), claim in self._peer_claims.items()
        )

    def claim(self, fingerprint: str, backend: str, now_s: float) -> IsolationClaim:
        """Claims a server that is not claimed and returns what peers must be told."""
        due_s = now_s + self._limits.settling_s
        self._local_claims[fingerprint] = _LocalClaim(backend, IsolationState.SETTLING, due_s)
        return IsolationClaim(backend, fingerprint, held=True)

    def on_attempt_started(self, fingerprint: str, call_id: str) -> None:
        """Takes note that a call runs under the content's claim."""
        claim = self._local_claims.get(fingerprint)
        if claim is not None and claim.state is IsolationState.READY:
            claim.state = IsolationState.RUNNING
            claim.call_id = call_id

    def on_attempt_ended(self, fingerprint: str, call_id: str) -> IsolationClaim | None:
        """Releases the claim if the call ran under it."""
        claim = self._local_claims.get(fingerprint)
        if claim is None or claim.call_id != call_id:
            return None
        return self.release(fingerprint)

    def release(self, fingerprint: str) -> IsolationClaim | None:
        """Gives the content's claim up and returns what peers must be told."""
        claim = self._local_claims.pop(fingerprint, None)
        return None if claim is None else IsolationClaim(claim.backend, fingerprint, held=False)

    def on_peer_claim(self, host: str, message: IsolationClaim, now_s: float) -> None:
        """Takes a peer's claim, and gives up an own one that has to yield to it."""
        if not message.held:
            self._peer_claims.pop((host, message.backend), None)
            return
        expires_s = now_s + self._limits.expiry_timeout_s
        self._peer_claims[host, message.backend] = _PeerClaim(message.fingerprint, expires_s)
        for fingerprint, claim in list(self._local_claims.items()):
            conflicts = claim.backend == message.backend or fingerprint == message.fingerprint
            if conflicts and claim.state is not IsolationState.RUNNING and host < self._host:
                del self._local_claims[fingerprint]

    def renew_due(self, now_s: float) -> list[IsolationClaim]:
        """Returns the claims that peers must be told of again, and forgets void ones."""
        self._peer_claims = {key: c for key, c in self._peer_claims.items() if c.expires_s > now_s}
        due = [
            (fingerprint, claim)
            for fingerprint, claim in self._local_claims.items()
            if claim.state is not IsolationState.SETTLING and now_s >= claim.next_step_s
        ]
        for _, claim in due:
            claim.next_step_s = now_s + self._limits.renewal_interval_s
        return [IsolationClaim(claim.backend, fingerprint, held=True) for fingerprint, claim in due]
