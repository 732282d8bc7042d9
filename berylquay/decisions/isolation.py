"""Isolation: runs suspected contents of all hosts of a data centre on separate backend servers.

A content suspected of crashing servers runs on a server only while no other such content does, so
that a further crash shows which content caused it. A host announces a claim on the server to its
peers, waits until a conflicting claim would have arrived, and yields to a conflicting claim of a
host whose name sorts before its own.
"""

from enum import Enum

from attrs import define, frozen

from berylquay.peers.payloads import IsolationClaim


@frozen
class IsolationTimings:
    """Timings of claims, in seconds."""

    # Time for which a new claim waits for conflicting ones; longer than a message to a peer takes.
    settling_s: float = 0.15
    # Time between renewals of a claim.
    renewal_interval_s: float = 2.0
    # Time after which a peer's claim expires if it is not renewed.
    expiry_timeout_s: float = 6.0


class IsolationState(Enum):
    """State of a claim of this host."""

    # Conflicting claims of peers may still arrive.
    SETTLING = "settling"
    # The content may run.
    READY = "ready"
    # An attempt of the content runs.
    RUNNING = "running"


@define
class _LocalClaim:
    """A claim of this host."""

    backend: str
    state: IsolationState
    # Monotonic time at which the claim becomes ready; afterwards that of its next renewal.
    next_step_s: float
    # Id of the call that runs under the claim, or empty.
    call_id: str = ""


@frozen
class _PeerClaim:
    """A claim of a peer."""

    fingerprint: str
    # Monotonic time at which the claim expires if it is not renewed.
    expires_s: float


class IsolationClaims:
    """Keeps the claims of this host and of its peers.

    A claim gives a request content that is suspected of crashing servers exclusive use of a backend
    server among the suspected contents.
    """

    # Timings of claims.
    _timings: IsolationTimings
    # Name of this host.
    _host: str
    # This host's claims by content fingerprint.
    _local_claims: dict[str, _LocalClaim]
    # Peers' claims by host and backend server.
    _peer_claims: dict[tuple[str, str], _PeerClaim]

    def __init__(self, timings: IsolationTimings, host: str) -> None:
        self._timings = timings
        self._host = host
        self._local_claims = {}
        self._peer_claims = {}

    def local_claim(self, fingerprint: str, now_s: float) -> tuple[str, IsolationState] | None:
        """Returns the server that this host has claimed for the content, and the claim's state.

        Returns None if there is no claim. A settling claim whose time is up becomes ready.
        """
        claim = self._local_claims.get(fingerprint)
        if claim is None:
            return None
        if claim.state is IsolationState.SETTLING and now_s >= claim.next_step_s:
            claim.state = IsolationState.READY
            claim.next_step_s = now_s + self._timings.renewal_interval_s
        return claim.backend, claim.state

    def is_claimed(self, backend: str, fingerprint: str, now_s: float) -> bool:
        """Returns whether the server is claimed, or a peer has claimed another for the content."""
        if any(claim.backend == backend for claim in self._local_claims.values()):
            return True
        return any(
            claim.expires_s > now_s
            and (claimed_backend == backend or claim.fingerprint == fingerprint)
            for (_, claimed_backend), claim in self._peer_claims.items()
        )

    def claim(self, fingerprint: str, backend: str, now_s: float) -> IsolationClaim:
        """Claims an unclaimed server and returns the notification for the peers."""
        due_s = now_s + self._timings.settling_s
        self._local_claims[fingerprint] = _LocalClaim(backend, IsolationState.SETTLING, due_s)
        return IsolationClaim(backend, fingerprint, held=True)

    def on_attempt_started(self, fingerprint: str, call_id: str) -> None:
        """Records that a call runs under the content's claim, if that is ready."""
        claim = self._local_claims.get(fingerprint)
        if claim is not None and claim.state is IsolationState.READY:
            claim.state = IsolationState.RUNNING
            claim.call_id = call_id

    def on_attempt_ended(self, fingerprint: str, call_id: str) -> IsolationClaim | None:
        """Releases the claim if the call ran under it; returns the notification for the peers."""
        claim = self._local_claims.get(fingerprint)
        if claim is None or claim.call_id != call_id:
            return None
        return self.release(fingerprint)

    def release(self, fingerprint: str) -> IsolationClaim | None:
        """Releases the content's claim and returns the notification for the peers.

        Returns None if there is no claim.
        """
        claim = self._local_claims.pop(fingerprint, None)
        return None if claim is None else IsolationClaim(claim.backend, fingerprint, held=False)

    def on_peer_claim(self, host: str, message: IsolationClaim, now_s: float) -> None:
        """Records or removes a peer's claim, and drops local claims that have to yield to it.

        A claim under which a call runs does not yield.
        """
        if not message.held:
            self._peer_claims.pop((host, message.backend), None)
            return
        expires_s = now_s + self._timings.expiry_timeout_s
        self._peer_claims[host, message.backend] = _PeerClaim(message.fingerprint, expires_s)
        for fingerprint, claim in list(self._local_claims.items()):
            conflicts = claim.backend == message.backend or fingerprint == message.fingerprint
            if conflicts and claim.state is not IsolationState.RUNNING and host < self._host:
                del self._local_claims[fingerprint]

    def renew_due(self, now_s: float) -> list[IsolationClaim]:
        """Returns the renewals to send to the peers, and drops expired claims of peers."""
        self._peer_claims = {key: c for key, c in self._peer_claims.items() if c.expires_s > now_s}
        due = [
            (fingerprint, claim)
            for fingerprint, claim in self._local_claims.items()
            if claim.state is not IsolationState.SETTLING and now_s >= claim.next_step_s
        ]
        for _, claim in due:
            claim.next_step_s = now_s + self._timings.renewal_interval_s
        return [IsolationClaim(claim.backend, fingerprint, held=True) for fingerprint, claim in due]
