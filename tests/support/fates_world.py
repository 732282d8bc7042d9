"""Virtual time around `CallFates`: fakes of backend servers that record what reached them."""

from collections import Counter
from collections.abc import Callable, Sequence
from heapq import heappop, heappush
from itertools import count
from random import Random

from attrs import define, evolve, field, frozen

from berylquay.decisions.available_servers import HostLocation
from berylquay.decisions.call_tracker import CallCommand, CallTracker, CallTrackerOptions
from berylquay.decisions.calls import Attempt, Call
from berylquay.decisions.deployment import ClassSpec, WorkKind
from berylquay.decisions.fleet import (
    Address,
    BackendKind,
    BackendServer,
    EntryHost,
    Liveness,
    MembershipView,
)
from berylquay.decisions.routing import Candidate, Candidates
from berylquay.messages import (
    AttemptAnswered,
    AttemptCancelled,
    AttemptCompleted,
    AttemptFailed,
    AttemptRequested,
    AttemptSent,
    AttemptTokens,
    CallCompleted,
    CallRefused,
    PeerSendRequested,
    ProbeEnded,
    ProbeRequested,
    TokensForCaller,
)
from berylquay.verdicts import RefusalReason, Verdict

TICK_S = 0.05
LATENCY_S = 0.001
PAUSE_S = 4.0
PLACE = ("fes", "fes-1")
ADDRESS = Address("127.0.0.1", 1)


@frozen
class Fault:
    """What goes wrong with one attempt."""

    # One of: none, connect-refused, connect-hang, broken-unsent, cut-in-head, cut-after-request,
    # refused, server-error, cut, lost-answer, silent, paused, duplicated, reordered, gap.
    kind: str = "none"
    # Token at which a fault amid the stream strikes.
    at_token: int = 0


@define
class Backend:
    """A fake backend server."""

    server: BackendServer
    alive: bool = True
    # Whether connections can be made to it.
    reachable: bool = True
    version: str = "1"
    token_s: float = 0.02
    restart_after_s: float | None = None
    # Fingerprints that crash it, and the token at which they do.
    poison: dict[str, int] = field(factory=dict)
    # Call id of each attempt that was started.
    started: list[str] = field(factory=list)
    crashes: list[str] = field(factory=list)
    incarnation: int = 0
    probes_s: list[float] = field(factory=list)


@define(eq=False)
class Flight:
    """One attempt on the fake wire."""

    host: "Host"
    attempt: Attempt
    fault: Fault
    sent: bool = False
    refused: bool = False
    open: bool = True


@define(eq=False)
class Host:
    """One entry host: its fates and what its callers got."""

    name: str
    fates: CallTracker
    tokens: dict[str, list[str]] = field(factory=dict)
    finals: dict[str, list[CallCompleted | CallRefused]] = field(factory=dict)
    final_s: dict[str, float] = field(factory=dict)
    flights: dict[str, Flight] = field(factory=dict)
    offered: int = 0
    requested: list[tuple[float, str, str]] = field(factory=list)
    peer_bytes: int = 0


class RandomRouting:
    """Chooses any candidate, so that hosts do not agree by chance."""

    def __init__(self, rng: Random) -> None:
        self._rng = rng

    def choose(self, call: Call, candidates: Candidates, now_s: float) -> Candidate | None:
        """Returns one candidate."""
        return self._rng.choice(candidates.local) if candidates.local else None

    def choose_decode_engine(
        self, call: Call, decode_engines: Sequence[Candidate], now_s: float
    ) -> Candidate | None:
        """Returns None always."""
        return None


class World:
    """Hosts and backend servers of one data centre in virtual time."""

    def __init__(
        self,
        seed: int,
        *,
        hosts: int,
        backends: int,
        draw_fault: Callable[[Random, Attempt], Fault] | None = None,
        options: CallTrackerOptions | None = None,
        kind: BackendKind = BackendKind.ENGINE,
    ) -> None:
        self.rng = Random(seed)
        self.now_s = 100.0
        self.links_up = True
        self._draw_fault = draw_fault or (lambda rng, attempt: Fault())
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self.backends = {
            f"b{n}": Backend(BackendServer(f"b{n}", kind, ADDRESS, *PLACE, pool="p"))
            for n in range(backends)
        }
        base = options or CallTrackerOptions()
        self.hosts = [self._make_host(f"h{n}", seed, base) for n in range(hosts)]
        self.membership_version = 0
        self.publish()
        for host in self.hosts:
            self._tick(host)
        self.run(TICK_S)

    def _make_host(self, name: str, seed: int, base: CallTrackerOptions) -> Host:
        place = HostLocation(name, PLACE[1])
        options = evolve(base, location=place)
        rng = Random(f"{seed}-{name}")
        return Host(name, CallTracker(RandomRouting(rng), f"{name}x", options, rng=rng))

    def publish(self, leaving: frozenset[str] = frozenset(), lag_s: float = 0.0) -> None:
        """Gives every host a newer membership list, each after its own lag."""
        self.membership_version += 1
        servers = tuple(
            BackendServer(
                b.server.name,
                b.server.kind,
                ADDRESS,
                *PLACE,
                pool="p",
                liveness=Liveness.LEAVING if b.server.name in leaving else Liveness.LIVE,
            )
            for b in self.backends.values()
        )
        names = [host.name for host in self.hosts]
        hosts = tuple(EntryHost(name, ADDRESS, *PLACE) for name in names)
        view = MembershipView(self.membership_version, servers, hosts)
        for host in self.hosts:
            delay_s = self.rng.uniform(0.0, lag_s)
            self.after(delay_s, lambda host=host: host.fates.on_membership(view))  # type: ignore[misc]

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Runs the action later."""
        heappush(self._events, (self.now_s + delay_s, next(self._order), action))

    def run(self, duration_s: float) -> None:
        """Lets virtual time pass."""
        end_s = self.now_s + duration_s
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, action = heappop(self._events)
            action()
        self.now_s = end_s

    def _tick(self, host: Host) -> None:
        self._do(host, host.fates.on_tick(self.now_s))
        self.after(TICK_S, lambda: self._tick(host))

    def call(self, host: Host, call: Call) -> None:
        """Offers a call to a host."""
        host.offered += 1
        host.tokens[call.call_id] = []
        self._do(host, host.fates.on_call(call, self.now_s))

    def caller_gone(self, host: Host, call_id: str) -> None:
        """Lets the caller of a call go away."""
        self._do(host, host.fates.on_caller_gone(call_id, self.now_s))

    def set_links(self, up: bool) -> None:
        """Cuts the links between the hosts, or lets them come up again."""
        self.links_up = up
        for host in self.hosts if up else ():
            for peer in self.hosts:
                self._do(host, host.fates.on_peer_linked(peer.name, self.now_s))

    def crash(self, backend: Backend, culprit: str = "") -> None:
        """Crashes a server: every connection to it breaks off."""
        if not backend.alive:
            return
        backend.alive = False
        backend.crashes.append(culprit)
        for flight in self.flights_on(backend):
            self._end(flight, _failure(flight, "reset", lost=flight.sent))
        if backend.restart_after_s is not None:
            self.after(backend.restart_after_s, lambda: self._restart(backend))

    def flights_on(self, backend: Backend) -> list[Flight]:
        """Returns the attempts whose connection to the server is open."""
        return [
            flight
            for host in self.hosts
            for flight in host.flights.values()
            if flight.attempt.backend == backend.server.name
        ]

    def _restart(self, backend: Backend) -> None:
        backend.incarnation += 1
        backend.alive = True

    def _do(self, host: Host, commands: Sequence[CallCommand]) -> None:
        for command in commands:
            # Through the queue, as the bus does it.
            self.after(0.0, lambda command=command: self._do_one(host, command))  # type: ignore[misc]

    def _do_one(self, host: Host, command: CallCommand) -> None:
        if isinstance(command, AttemptRequested):
            self._request(host, command.attempt)
        elif isinstance(command, AttemptCancelled):
            flight = host.flights.get(command.attempt_id)
            if flight is not None:
                self._end(flight, _failure(flight, "cancelled"))
        elif isinstance(command, TokensForCaller):
            assert command.first_index == len(host.tokens[command.call_id])
            host.tokens[command.call_id].extend(command.texts)
        elif isinstance(command, CallCompleted | CallRefused):
            host.finals.setdefault(command.call_id, []).append(command)
            host.final_s[command.call_id] = self.now_s
        elif isinstance(command, PeerSendRequested):
            self._send_to_peer(host, command)
        elif isinstance(command, ProbeRequested):
            self._probe(host, self.backends[command.backend])

    def _send_to_peer(self, host: Host, command: PeerSendRequested) -> None:
        host.peer_bytes += len(repr(command.payload))
        peer = next(h for h in self.hosts if h.name == command.host)
        if self.links_up:
            delay_s = self.rng.uniform(LATENCY_S, 5 * LATENCY_S)
            self.after(
                delay_s, lambda: peer.fates.on_peer_payload(host.name, command.payload, self.now_s)
            )

    def _probe(self, host: Host, backend: Backend) -> None:
        backend.probes_s.append(self.now_s)
        name = backend.server.name

        def end() -> None:
            alive = backend.alive and backend.reachable
            incarnation = str(backend.incarnation) if alive else ""
            self._do(
                host, host.fates.on_probe_ended(ProbeEnded(name, alive, incarnation), self.now_s)
            )

        slow = backend.alive and not backend.reachable
        self.after(1.0 if slow else 2 * LATENCY_S, end)

    def _request(self, host: Host, attempt: Attempt) -> None:
        host.requested.append((self.now_s, attempt.backend, attempt.call.call_id))
        flight = Flight(host, attempt, self._draw_fault(self.rng, attempt))
        host.flights[attempt.attempt_id] = flight
        backend = self.backends[attempt.backend]
        if flight.fault.kind == "connect-hang" or (backend.alive and not backend.reachable):
            return
        self.after(LATENCY_S, lambda: self._connected(flight, backend))

    def _connected(self, flight: Flight, backend: Backend) -> None:
        if not flight.open:
            return
        if not backend.alive or flight.fault.kind == "connect-refused":
            self._end(flight, _failure(flight, "refused"))
            return
        self._tell(flight, AttemptSent(flight.attempt.attempt_id))
        if flight.fault.kind == "broken-unsent":
            self._end(flight, _failure(flight, "reset"))
            return
        flight.sent = True
        self.after(LATENCY_S, lambda: self._received(flight, backend))

    def _received(self, flight: Flight, backend: Backend) -> None:
        kind = flight.fault.kind
        call = flight.attempt.call
        if kind == "cut-in-head":
            self._end(flight, _failure(flight, "reset", lost=True))
            return
        if not backend.alive:
            self._end(flight, _failure(flight, "reset", lost=True))
            return
        if kind == "refused":
            flight.refused = True
            self._end(flight, _failure(flight, "busy"))
            return
        # Bytes that were sent are acted on, also if the attempt was cancelled meanwhile.
        backend.started.append(call.call_id)
        if backend.poison.get(call.fingerprint) == 0:
            self.crash(backend, call.fingerprint)
            return
        if kind == "server-error":
            self._end(flight, _failure(flight, "error 500"))
        elif kind == "cut-after-request":
            self._end(flight, _failure(flight, "reset", lost=True))
        elif not (kind == "silent" and flight.fault.at_token == 0):
            self._answer(flight, backend)

    def _answer(self, flight: Flight, backend: Backend) -> None:
        version = backend.version if flight.attempt.call.is_generation else ""
        incarnation = str(backend.incarnation)
        self._tell(flight, AttemptAnswered(flight.attempt.attempt_id, version, incarnation))
        if flight.attempt.call.is_generation:
            self._stream(flight, backend, version, flight.attempt.first_token_index)
            return
        delay_s = backend.token_s
        if flight.fault.kind != "lost-answer":
            self.after(delay_s, lambda: self._complete(flight))
        else:
            self.after(delay_s, lambda: self._end(flight, _failure(flight, "reset", lost=True)))

    def _stream(self, flight: Flight, backend: Backend, version: str, index: int) -> None:
        if not flight.open or not backend.alive:
            return
        call, fault = flight.attempt.call, flight.fault
        if backend.poison.get(call.fingerprint) == index:
            self.crash(backend, call.fingerprint)
            return
        if index >= call.max_output_tokens:
            self._complete(flight)
            return
        first = index
        if index == fault.at_token and fault.kind in {"cut", "lost-answer"}:
            self._end(flight, _failure(flight, "reset", lost=True))
            return
        if index == fault.at_token and fault.kind == "silent":
            return
        if index == fault.at_token and fault.kind == "reordered":
            self._send_token(flight, version, index + 1)
        if index == fault.at_token and fault.kind == "duplicated":
            first = max(index - self.rng.randrange(3), 0)
        if index == fault.at_token and fault.kind == "gap":
            first = index + 1
        for token in range(first, index + 1):
            self._send_token(flight, version, token)
        next_index = index + 1
        paused = index == fault.at_token and fault.kind == "paused"
        delay_s = PAUSE_S if paused else backend.token_s
        self.after(delay_s, lambda: self._stream(flight, backend, version, next_index))

    def _send_token(self, flight: Flight, version: str, index: int) -> None:
        if index < flight.attempt.call.max_output_tokens:
            text = token_text(flight.attempt.call, version, index)
            self._tell(flight, AttemptTokens(flight.attempt.attempt_id, index, (text,)))

    def _complete(self, flight: Flight) -> None:
        call = flight.attempt.call
        total = call.max_output_tokens if call.is_generation else 0
        body = call.call_id.encode()
        self._end(flight, AttemptCompleted(flight.attempt.attempt_id, total, 200, body, ""))

    def _tell(
        self,
        flight: Flight,
        message: AttemptSent | AttemptAnswered | AttemptTokens | AttemptCompleted | AttemptFailed,
    ) -> None:
        if flight.open:
            self.after(0.0, lambda: self._hand_over(flight.host, message))

    def _hand_over(self, host: Host, message: object) -> None:
        fates, now_s = host.fates, self.now_s
        if isinstance(message, AttemptSent):
            fates.on_sent(message, now_s)
        elif isinstance(message, AttemptAnswered):
            self._do(host, fates.on_answered(message, now_s))
        elif isinstance(message, AttemptTokens):
            self._do(host, fates.on_tokens(message, now_s))
        elif isinstance(message, AttemptCompleted):
            self._do(host, fates.on_completed(message, now_s))
        elif isinstance(message, AttemptFailed):
            self._do(host, fates.on_failed(message, now_s))

    def _end(self, flight: Flight, message: AttemptCompleted | AttemptFailed) -> None:
        if flight.open:
            self._tell(flight, message)
            flight.open = False
            del flight.host.flights[flight.attempt.attempt_id]

    def check(self, versions: Sequence[str] = ("1",)) -> None:
        """Asserts what must hold of every call, whatever has gone wrong."""
        started = Counter(call_id for b in self.backends.values() for call_id in b.started)
        for host in self.hosts:
            assert host.fates.open_count == 0
            assert host.finals.keys() == host.tokens.keys()
            for call_id, finals in host.finals.items():
                assert len(finals) == 1, (call_id, finals)
                final = finals[0]
                if isinstance(final, CallRefused) and final.refusal.verdict is Verdict.NOT_RUN:
                    assert not started[call_id], final
                if isinstance(final, CallCompleted):
                    assert started[call_id]

    def retries(self, host: Host) -> int:
        """Returns how many attempts of the host were not the first of their call."""
        return len(host.requested) - len({call_id for _, _, call_id in host.requested})

    def started_count(self, call_id: str) -> int:
        """Returns how often a call was started on any server."""
        return sum(b.started.count(call_id) for b in self.backends.values())


def _failure(flight: Flight, detail: str, lost: bool = False) -> AttemptFailed:
    not_run = flight.refused or not flight.sent
    verdict = Verdict.NOT_RUN if not_run else Verdict.MAY_HAVE_RUN
    return AttemptFailed(flight.attempt.attempt_id, verdict, detail, lost)


def token_text(call: Call, version: str, index: int) -> str:
    """Returns the token at the index of the answer that a version gives to a call."""
    return f"{version}:{call.fingerprint}.{index} "


def whole_text(call: Call, version: str = "1") -> list[str]:
    """Returns the whole answer that a version gives to a call."""
    return [token_text(call, version, index) for index in range(call.max_output_tokens)]


_call_ids = count()


def make_call(
    now_s: float,
    fingerprint: str,
    *,
    tokens: int = 5,
    deadline_s: float = 10.0,
    repeatable: bool = True,
    service: bool = False,
    prompt: str = "",
) -> Call:
    """Returns a call of its own id."""
    kind = WorkKind.SERVICE_CALL if service else WorkKind.GENERATION
    call_id = f"c{next(_call_ids)}"
    return Call(
        call_id=call_id,
        request_id=call_id,
        tenant="fes",
        class_spec=ClassSpec("k", kind, "p"),
        received_s=now_s,
        deadline_s=now_s + deadline_s,
        repeatable=repeatable,
        idempotency_key="",
        fingerprint=fingerprint,
        wants_stream=True,
        model="m",
        adapter="",
        prompt=prompt,
        prompt_tokens=10,
        max_output_tokens=0 if service else tokens,
    )


def refusal_reason(final: CallCompleted | CallRefused) -> RefusalReason | None:
    """Returns why a call was refused, or None if it was completed."""
    return final.refusal.reason if isinstance(final, CallRefused) else None
