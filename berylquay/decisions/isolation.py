"""Isolation: keeps suspected contents of all hosts of a data centre apart on backend servers.

A content under which servers were lost runs on a server only while no other such content does, so
that a further loss tells which it was. A host claims the server among its peers, waits until a
claim that crosses its own would have come, and yields to one of a host whose name sorts first.
"""

from enum import Enum

from attrs import define, frozen

from berylquay.peers.payloads import IsolationClaim


@frozen
class IsolationLimits:
    """Times of claims."""

    # Time for which a claim is held back, longer than a message to a peer takes.
    settle_s: float = 0.15
    # Time between renewals of a claim.
    renewal_s: float = 2.0
    # Time after which a peer's claim that was not renewed is void.
    expiry_s: float = 6.0


class ClaimState(Enum):
    """What has become of a host's own claim."""

    # Peers may still object.
    SETTLING = "settling"
    # The content may run.
    READY = "ready"
    # The content runs.
    RUNNING = "running"


@define
class _OwnClaim:
    """A claim of this host."""

    backend: str
    state: ClaimState
    # Monotonic time at which the claim is settled, then of its next renewal.
    due_s: float
    # Call that runs under the claim, or empty.
    call_id: str = ""


@frozen
class _ForeignClaim:
    """A claim of a peer."""

    fingerprint: str
    # Monotonic time at which the claim becomes void if it is not renewed.
    void_s: float


class Isolation:
    """Claims of this host and of its peers."""

    # Times.
    _limits: IsolationLimits
    # Name of this host.
    _host: str
    # This host's claim by content.
    _own: dict[str, _OwnClaim]
    # Peers' claims by host and backend server.
    _foreign: dict[tuple[str, str], _ForeignClaim]

    def __init__(self, limits: IsolationLimits, host: str) -> None:
        self._limits = limits
        self._host = host
        self._own = {}
        self._foreign = {}

    def own_claim(self, fingerprint: str, now_s: float) -> tuple[str, ClaimState] | None:
        """Returns the server that this host has claimed for the content, and how far that is."""
        claim = self._own.get(fingerprint)
        if claim is None:
            return None
        if claim.state is ClaimState.SETTLING and now_s >= claim.due_s:
            claim.state = ClaimState.READY
            claim.due_s = now_s + self._limits.renewal_s
        return claim.backend, claim.state

    def is_claimed(self, backend: str, fingerprint: str, now_s: float) -> bool:
        """Tells whether some content has the server to itself, or the content runs elsewhere."""
        if any(claim.backend == backend for claim in self._own.values()):
            return True
        return any(
            claim.void_s > now_s and (claimed == backend or claim.fingerprint == fingerprint)
            for (_, claimed), claim in self._foreign.items()
        )

    def claim(self, fingerprint: str, backend: str, now_s: float) -> IsolationClaim:
        """Claims a server that is not claimed and returns what peers must be told."""
        due_s = now_s + self._limits.settle_s
        self._own[fingerprint] = _OwnClaim(backend, ClaimState.SETTLING, due_s)
        return IsolationClaim(backend, fingerprint, held=True)

    def on_started(self, fingerprint: str, call_id: str) -> None:
        """Takes note that a call runs under the content's claim."""
        claim = self._own.get(fingerprint)
        if claim is not None and claim.state is ClaimState.READY:
            claim.state = ClaimState.RUNNING
            claim.call_id = call_id

    def on_ended(self, fingerprint: str, call_id: str) -> IsolationClaim | None:
        """Releases the claim if the call ran under it."""
        claim = self._own.get(fingerprint)
        if claim is None or claim.call_id != call_id:
            return None
        return self.release(fingerprint)

    def release(self, fingerprint: str) -> IsolationClaim | None:
        """Gives the content's claim up and returns what peers must be told."""
        claim = self._own.pop(fingerprint, None)
        return None if claim is None else IsolationClaim(claim.backend, fingerprint, held=False)

    def on_peer(self, host: str, message: IsolationClaim, now_s: float) -> None:
        """Takes a peer's claim, and gives up an own one that has to yield to it."""
        if not message.held:
            self._foreign.pop((host, message.backend), None)
            return
        void_s = now_s + self._limits.expiry_s
        self._foreign[host, message.backend] = _ForeignClaim(message.fingerprint, void_s)
        for fingerprint, claim in list(self._own.items()):
            crosses = claim.backend == message.backend or fingerprint == message.fingerprint
            if crosses and claim.state is not ClaimState.RUNNING and host < self._host:
                del self._own[fingerprint]

    def renewals(self, now_s: float) -> list[IsolationClaim]:
        """Returns the claims that peers must be told of again, and forgets void ones."""
        self._foreign = {key: c for key, c in self._foreign.items() if c.void_s > now_s}
        due = [
            (fingerprint, claim)
            for fingerprint, claim in self._own.items()
            if claim.state is not ClaimState.SETTLING and now_s >= claim.due_s
        ]
        for _, claim in due:
            claim.due_s = now_s + self._limits.renewal_s
        return [IsolationClaim(claim.backend, fingerprint, held=True) for fingerprint, claim in due]
