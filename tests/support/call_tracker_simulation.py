"""Simulation of `CallTracker` in virtual time, with fake backend servers that record requests."""

from collections import Counter
from collections.abc import Callable, Sequence
from heapq import heappop, heappush
from itertools import count
from random import Random

from attrs import define, evolve, field, frozen

from berylquay.call_verdicts import RefusalReason, Verdict
from berylquay.component_messages import (
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

TICK_S = 0.05
LATENCY_S = 0.001
PAUSE_S = 4.0
LOCATION = ("fes", "fes-1")
ADDRESS = Address("127.0.0.1", 1)


@frozen
class Fault:
    """What goes wrong with one attempt."""

    # One of: none, connect-refused, connect-hang, broken-unsent, cut-in-head, cut-after-request,
    # refused, server-error, cut, lost-answer, silent, paused, duplicated, reordered, gap.
    kind: str = "none"
    # Index of the token at which a fault within the stream occurs.
    at_token: int = 0


@define
class Backend:
    """A fake backend server."""

    server: BackendServer
    alive: bool = True
    # Whether connections to it can be established.
    reachable: bool = True
    version: str = "1"
    token_s: float = 0.02
    restart_after_s: float | None = None
    # Fingerprints of contents that crash it, with the index of the token at which they do.
    poison: dict[str, int] = field(factory=dict)
    # Call id of each attempt that was started.
    started_call_ids: list[str] = field(factory=list)
    crash_fingerprints: list[str] = field(factory=list)
    incarnation: int = 0
    probe_times_s: list[float] = field(factory=list)


@define(eq=False)
class SimulatedAttempt:
    """An attempt on a simulated connection."""

    host: "Host"
    attempt: Attempt
    fault: Fault
    sent: bool = False
    refused: bool = False
    open: bool = True


@define(eq=False)
class Host:
    """An entry host: its call tracker and what its callers received."""

    name: str
    call_tracker: CallTracker
    tokens: dict[str, list[str]] = field(factory=dict)
    outcomes: dict[str, list[CallCompleted | CallRefused]] = field(factory=dict)
    outcome_times_s: dict[str, float] = field(factory=dict)
    open_attempts: dict[str, SimulatedAttempt] = field(factory=dict)
    call_count: int = 0
    requests: list[tuple[float, str, str]] = field(factory=list)
    peer_bytes: int = 0


class RandomRouting:
    """Chooses a random candidate, so that hosts do not choose alike."""

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


class Simulation:
    """Hosts and backend servers of one data centre in virtual time."""

    def __init__(
        self,
        seed: int,
        *,
        hosts: int,
        backends: int,
        choose_fault: Callable[[Random, Attempt], Fault] | None = None,
        options: CallTrackerOptions | None = None,
        kind: BackendKind = BackendKind.ENGINE,
    ) -> None:
        self.rng = Random(seed)
        self.now_s = 100.0
        self.links_up = True
        self._choose_fault = choose_fault or (lambda rng, attempt: Fault())
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = count()
        self.backends = {
            f"b{n}": Backend(BackendServer(f"b{n}", kind, ADDRESS, *LOCATION, pool="p"))
            for n in range(backends)
        }
        base_options = options or CallTrackerOptions()
        self.hosts = [self._make_host(f"h{n}", seed, base_options) for n in range(hosts)]
        self.membership_version = 0
        self.publish_membership()
        for host in self.hosts:
            self._tick(host)
        self.run(TICK_S)

    def _make_host(self, name: str, seed: int, base_options: CallTrackerOptions) -> Host:
        location = HostLocation(name, LOCATION[1])
        options = evolve(base_options, location=location)
        rng = Random(f"{seed}-{name}")
        return Host(name, CallTracker(RandomRouting(rng), f"{name}x", options, rng=rng))

    def publish_membership(
        self, leaving: frozenset[str] = frozenset(), max_delay_s: float = 0.0
    ) -> None:
        """Sends every host a newer membership list, each after a random delay up to the maximum."""
        self.membership_version += 1
        servers = tuple(
            BackendServer(
                b.server.name,
                b.server.kind,
                ADDRESS,
                *LOCATION,
                pool="p",
                liveness=Liveness.LEAVING if b.server.name in leaving else Liveness.LIVE,
            )
            for b in self.backends.values()
        )
        names = [host.name for host in self.hosts]
        hosts = tuple(EntryHost(name, ADDRESS, *LOCATION) for name in names)
        view = MembershipView(self.membership_version, servers, hosts)
        for host in self.hosts:
            delay_s = self.rng.uniform(0.0, max_delay_s)
            self.schedule(delay_s, lambda host=host: host.call_tracker.on_membership(view))  # type: ignore[misc]

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedules an action to run after a delay in virtual time."""
        heappush(self._events, (self.now_s + delay_s, next(self._order), action))

    def run(self, duration_s: float) -> None:
        """Runs the scheduled actions of the next duration_s seconds of virtual time."""
        end_s = self.now_s + duration_s
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, action = heappop(self._events)
            action()
        self.now_s = end_s

    def _tick(self, host: Host) -> None:
        self._execute(host, host.call_tracker.on_tick(self.now_s))
        self.schedule(TICK_S, lambda: self._tick(host))

    def offer_call(self, host: Host, call: Call) -> None:
        """Offers a call to a host."""
        host.call_count += 1
        host.tokens[call.call_id] = []
        self._execute(host, host.call_tracker.on_call(call, self.now_s))

    def disconnect_caller(self, host: Host, call_id: str) -> None:
        """Disconnects the caller of a call."""
        self._execute(host, host.call_tracker.on_caller_gone(call_id, self.now_s))

    def set_links(self, up: bool) -> None:
        """Cuts the links between the hosts, or restores them."""
        self.links_up = up
        for host in self.hosts if up else ():
            for peer in self.hosts:
                self._execute(host, host.call_tracker.on_peer_linked(peer.name, self.now_s))

    def crash(self, backend: Backend, fingerprint: str = "") -> None:
        """Crashes a server and resets every connection to it.

        Args:
            backend: the server.
            fingerprint: the content that crashed it, or an empty text.
        """
        if not backend.alive:
            return
        backend.alive = False
        backend.crash_fingerprints.append(fingerprint)
        for simulated in self.attempts_on(backend):
            self._end(simulated, _failure(simulated, "reset", connection_lost=simulated.sent))
        if backend.restart_after_s is not None:
            self.schedule(backend.restart_after_s, lambda: self._restart(backend))

    def attempts_on(self, backend: Backend) -> list[SimulatedAttempt]:
        """Returns the attempts whose connection to the server is open."""
        return [
            simulated
            for host in self.hosts
            for simulated in host.open_attempts.values()
            if simulated.attempt.backend == backend.server.name
        ]

    def _restart(self, backend: Backend) -> None:
        backend.incarnation += 1
        backend.alive = True

    def _execute(self, host: Host, commands: Sequence[CallCommand]) -> None:
        for command in commands:
            # Queued, not executed directly, as on the bus.
            self.schedule(0.0, lambda command=command: self._execute_one(host, command))  # type: ignore[misc]

    def _execute_one(self, host: Host, command: CallCommand) -> None:
        if isinstance(command, AttemptRequested):
            self._request(host, command.attempt)
        elif isinstance(command, AttemptCancelled):
            simulated = host.open_attempts.get(command.attempt_id)
            if simulated is not None:
                self._end(simulated, _failure(simulated, "cancelled"))
        elif isinstance(command, TokensForCaller):
            assert command.first_index == len(host.tokens[command.call_id])
            host.tokens[command.call_id].extend(command.texts)
        elif isinstance(command, CallCompleted | CallRefused):
            host.outcomes.setdefault(command.call_id, []).append(command)
            host.outcome_times_s[command.call_id] = self.now_s
        elif isinstance(command, PeerSendRequested):
            self._send_to_peer(host, command)
        elif isinstance(command, ProbeRequested):
            self._probe(host, self.backends[command.backend])

    def _send_to_peer(self, host: Host, command: PeerSendRequested) -> None:
        host.peer_bytes += len(repr(command.payload))
        peer = next(h for h in self.hosts if h.name == command.host)
        if self.links_up:
            delay_s = self.rng.uniform(LATENCY_S, 5 * LATENCY_S)
            self.schedule(
                delay_s,
                lambda: peer.call_tracker.on_peer_payload(host.name, command.payload, self.now_s),
            )

    def _probe(self, host: Host, backend: Backend) -> None:
        backend.probe_times_s.append(self.now_s)
        name = backend.server.name

        def end() -> None:
            alive = backend.alive and backend.reachable
            incarnation = str(backend.incarnation) if alive else ""
            self._execute(
                host,
                host.call_tracker.on_probe_ended(ProbeEnded(name, alive, incarnation), self.now_s),
            )

        times_out = backend.alive and not backend.reachable
        self.schedule(1.0 if times_out else 2 * LATENCY_S, end)

    def _request(self, host: Host, attempt: Attempt) -> None:
        host.requests.append((self.now_s, attempt.backend, attempt.call.call_id))
        simulated = SimulatedAttempt(host, attempt, self._choose_fault(self.rng, attempt))
        host.open_attempts[attempt.attempt_id] = simulated
        backend = self.backends[attempt.backend]
        if simulated.fault.kind == "connect-hang" or (backend.alive and not backend.reachable):
            return
        self.schedule(LATENCY_S, lambda: self._on_connected(simulated, backend))

    def _on_connected(self, simulated: SimulatedAttempt, backend: Backend) -> None:
        if not simulated.open:
            return
        if not backend.alive or simulated.fault.kind == "connect-refused":
            self._end(simulated, _failure(simulated, "refused"))
            return
        self._post_to_tracker(simulated, AttemptSent(simulated.attempt.attempt_id))
        if simulated.fault.kind == "broken-unsent":
            self._end(simulated, _failure(simulated, "reset"))
            return
        simulated.sent = True
        self.schedule(LATENCY_S, lambda: self._on_received(simulated, backend))

    def _on_received(self, simulated: SimulatedAttempt, backend: Backend) -> None:
        kind = simulated.fault.kind
        call = simulated.attempt.call
        if kind == "cut-in-head":
            self._end(simulated, _failure(simulated, "reset", connection_lost=True))
            return
        if not backend.alive:
            self._end(simulated, _failure(simulated, "reset", connection_lost=True))
            return
        if kind == "refused":
            simulated.refused = True
            self._end(simulated, _failure(simulated, "busy"))
            return
        # A request that was sent is run even if the attempt has been cancelled in the meantime.
        backend.started_call_ids.append(call.call_id)
        if backend.poison.get(call.fingerprint) == 0:
            self.crash(backend, call.fingerprint)
            return
        if kind == "server-error":
            self._end(simulated, _failure(simulated, "error 500"))
        elif kind == "cut-after-request":
            self._end(simulated, _failure(simulated, "reset", connection_lost=True))
        elif not (kind == "silent" and simulated.fault.at_token == 0):
            self._answer(simulated, backend)

    def _answer(self, simulated: SimulatedAttempt, backend: Backend) -> None:
        version = backend.version if simulated.attempt.call.is_generation else ""
        incarnation = str(backend.incarnation)
        self._post_to_tracker(
            simulated, AttemptAnswered(simulated.attempt.attempt_id, version, incarnation)
        )
        if simulated.attempt.call.is_generation:
            self._stream(simulated, backend, version, simulated.attempt.first_token_index)
            return
        delay_s = backend.token_s
        if simulated.fault.kind != "lost-answer":
            self.schedule(delay_s, lambda: self._complete(simulated))
        else:
            self.schedule(
                delay_s,
                lambda: self._end(simulated, _failure(simulated, "reset", connection_lost=True)),
            )

    def _stream(
        self, simulated: SimulatedAttempt, backend: Backend, version: str, index: int
    ) -> None:
        if not simulated.open or not backend.alive:
            return
        call, fault = simulated.attempt.call, simulated.fault
        if backend.poison.get(call.fingerprint) == index:
            self.crash(backend, call.fingerprint)
            return
        if index >= call.max_output_tokens:
            self._complete(simulated)
            return
        first = index
        if index == fault.at_token and fault.kind in {"cut", "lost-answer"}:
            self._end(simulated, _failure(simulated, "reset", connection_lost=True))
            return
        if index == fault.at_token and fault.kind == "silent":
            return
        if index == fault.at_token and fault.kind == "reordered":
            self._send_token(simulated, version, index + 1)
        if index == fault.at_token and fault.kind == "duplicated":
            first = max(index - self.rng.randrange(3), 0)
        if index == fault.at_token and fault.kind == "gap":
            first = index + 1
        for token in range(first, index + 1):
            self._send_token(simulated, version, token)
        next_index = index + 1
        paused = index == fault.at_token and fault.kind == "paused"
        delay_s = PAUSE_S if paused else backend.token_s
        self.schedule(delay_s, lambda: self._stream(simulated, backend, version, next_index))

    def _send_token(self, simulated: SimulatedAttempt, version: str, index: int) -> None:
        if index < simulated.attempt.call.max_output_tokens:
            text = token_text(simulated.attempt.call, version, index)
            self._post_to_tracker(
                simulated, AttemptTokens(simulated.attempt.attempt_id, index, (text,))
            )

    def _complete(self, simulated: SimulatedAttempt) -> None:
        call = simulated.attempt.call
        total = call.max_output_tokens if call.is_generation else 0
        body = call.call_id.encode()
        self._end(simulated, AttemptCompleted(simulated.attempt.attempt_id, total, 200, body, ""))

    def _post_to_tracker(
        self,
        simulated: SimulatedAttempt,
        message: AttemptSent | AttemptAnswered | AttemptTokens | AttemptCompleted | AttemptFailed,
    ) -> None:
        if simulated.open:
            self.schedule(0.0, lambda: self._deliver(simulated.host, message))

    def _deliver(self, host: Host, message: object) -> None:
        call_tracker, now_s = host.call_tracker, self.now_s
        if isinstance(message, AttemptSent):
            call_tracker.on_sent(message, now_s)
        elif isinstance(message, AttemptAnswered):
            self._execute(host, call_tracker.on_answered(message, now_s))
        elif isinstance(message, AttemptTokens):
            self._execute(host, call_tracker.on_tokens(message, now_s))
        elif isinstance(message, AttemptCompleted):
            self._execute(host, call_tracker.on_completed(message, now_s))
        elif isinstance(message, AttemptFailed):
            self._execute(host, call_tracker.on_failed(message, now_s))

    def _end(self, simulated: SimulatedAttempt, message: AttemptCompleted | AttemptFailed) -> None:
        if simulated.open:
            self._post_to_tracker(simulated, message)
            simulated.open = False
            del simulated.host.open_attempts[simulated.attempt.attempt_id]

    def check_invariants(self, versions: Sequence[str] = ("1",)) -> None:
        """Asserts what must hold for every call under any fault.

        Every call has exactly one outcome, a call refused as not run was never started, and a
        completed one was started.
        """
        start_counts = Counter(
            call_id for b in self.backends.values() for call_id in b.started_call_ids
        )
        for host in self.hosts:
            assert host.call_tracker.open_count == 0
            assert host.outcomes.keys() == host.tokens.keys()
            for call_id, outcomes in host.outcomes.items():
                assert len(outcomes) == 1, (call_id, outcomes)
                outcome = outcomes[0]
                if isinstance(outcome, CallRefused) and outcome.refusal.verdict is Verdict.NOT_RUN:
                    assert not start_counts[call_id], outcome
                if isinstance(outcome, CallCompleted):
                    assert start_counts[call_id]

    def retries(self, host: Host) -> int:
        """Returns how many attempts of the host were not the first of their call."""
        return len(host.requests) - len({call_id for _, _, call_id in host.requests})

    def started_count(self, call_id: str) -> int:
        """Returns how often a call was started, over all servers."""
        return sum(b.started_call_ids.count(call_id) for b in self.backends.values())


def _failure(
    simulated: SimulatedAttempt, detail: str, connection_lost: bool = False
) -> AttemptFailed:
    not_run = simulated.refused or not simulated.sent
    verdict = Verdict.NOT_RUN if not_run else Verdict.MAY_HAVE_RUN
    return AttemptFailed(simulated.attempt.attempt_id, verdict, detail, connection_lost)


def token_text(call: Call, version: str, index: int) -> str:
    """Returns the token at the index of a model version's answer to a call."""
    return f"{version}:{call.fingerprint}.{index} "


def expected_tokens(call: Call, version: str = "1") -> list[str]:
    """Returns all tokens of a model version's answer to a call."""
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
    """Returns a call with a new id."""
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


def refusal_reason(outcome: CallCompleted | CallRefused) -> RefusalReason | None:
    """Returns why a call was refused, or None if it was completed."""
    return outcome.refusal.reason if isinstance(outcome, CallRefused) else None
