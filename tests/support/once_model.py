"""A model of several hosts, the log and the links, to drive `AtMostOnce` through faults.

Time, messages and faults are events that a test chooses; nothing here waits or draws lots.
"""

from collections import deque
from collections.abc import Sequence

from attrs import define, field, frozen

from berylquay.decisions.calls import Call
from berylquay.decisions.deployment import ClassSpec, WorkKind
from berylquay.decisions.idempotency import IdempotencyCommand, IdempotencyController
from berylquay.decisions.key_claims import CLAIMS_STREAM
from berylquay.decisions.tickets import TicketIssuer
from berylquay.messages import (
    CallCompleted,
    CallGranted,
    CallRefused,
    PeerSendRequested,
    RecordAppendRequested,
    RecordsRead,
)
from berylquay.peers.payloads import PeerPayload
from berylquay.standalone.records import LogRecord, NewRecord
from berylquay.verdicts import Refusal, RefusalReason, Verdict

TENANT = "fes"
SPEC = ClassSpec("alarm-acknowledgement", WorkKind.SERVICE_CALL, "cellar-log")


def make_call(call_id: str, key: str, now_s: float, content: str = "same") -> Call:
    """Returns a call that may not be repeated."""
    return Call(
        call_id=call_id,
        request_id=call_id,
        tenant=TENANT,
        class_spec=SPEC,
        received_s=now_s,
        deadline_s=now_s + 10.0,
        repeatable=False,
        idempotency_key=key,
        fingerprint=content,
        wants_stream=False,
        model="",
        adapter="",
        prompt="",
        prompt_tokens=0,
        max_output_tokens=0,
    )


@frozen
class Start:
    """A call that began to run on a backend server."""

    key: str
    call_id: str
    step: int


@frozen
class Denial:
    """A refusal that said that the call was not run."""

    key: str
    call_id: str
    step: int


@define
class Log:
    """The platform's log: records, and appends that are still under way."""

    records: list[LogRecord] = field(factory=list)
    under_way: deque[NewRecord] = field(factory=deque)

    def land(self) -> None:
        """Lets the oldest append under way take effect."""
        if self.under_way:
            record = self.under_way.popleft()
            offset = len(self.records) + 1
            self.records.append(LogRecord(offset, record.record_id, record.kind, record.fields))

    def land_twice(self) -> None:
        """Lets it take effect twice, as after a retry whose first answer was lost."""
        if self.under_way:
            self.under_way.append(self.under_way[0])
            self.land()

    def lose(self) -> None:
        """Loses the oldest append under way for good."""
        if self.under_way:
            self.under_way.popleft()


@define
class ModelHost:
    """One entry host."""

    name: str
    core: IdempotencyController
    read_to: int = 1
    paused: bool = False
    # Calls that reached a paused host.
    inbox: list[Call] = field(factory=list)
    # Payloads that came in over the links.
    mail: deque[tuple[str, PeerPayload]] = field(factory=deque)
    # Calls that run and have no outcome yet.
    running: list[Call] = field(factory=list)


class OnceModel:
    """Hosts, log, links, and what a caller and the backend servers saw."""

    def __init__(self, host_count: int) -> None:
        self.now_s = 1000.0
        self.step = 0
        self.log = Log()
        self.hosts: list[ModelHost] = []
        self.cut: set[frozenset[str]] = set()
        self.starts: list[Start] = []
        self.denials: list[Denial] = []
        # Step in which each call was received by its host.
        self.received: dict[str, int] = {}
        self.answers: dict[str, CallRefused | CallCompleted] = {}
        self.sent = 0
        # Key by call.
        self.keys: dict[str, str] = {}
        self._incarnations = 0
        for number in range(host_count):
            self.hosts.append(self._make_host(f"host-{number}"))
        self._connect_all()
        for host in self.hosts:
            self.read_log(host)

    # What a test may let happen.

    def send(self, host: ModelHost, key: str, content: str = "same") -> str:
        """Lets a caller send a call under the key."""
        self.sent += 1
        call = make_call(f"call-{self.sent}", key, self.now_s, content)
        self.keys[call.call_id] = key
        if host.paused:
            host.inbox.append(call)
        else:
            self._receive(host, call)
        return call.call_id

    def tick(self, seconds: float) -> None:
        """Lets time pass."""
        self.step += 1
        self.now_s += seconds
        for host in self.hosts:
            if not host.paused:
                self._do(host, host.core.on_tick(self.now_s))

    def progress(self, host: ModelHost) -> None:
        """Lets one host append, read and answer without a fault, while the others do nothing."""
        self.step += 1
        self.now_s += 0.2
        if host.paused:
            return
        before = len(self.log.under_way)
        self._do(host, host.core.on_tick(self.now_s))
        if len(self.log.under_way) > before:
            self.log.under_way.rotate(1)
            self.log.land()
        self.read_log(host)
        while host.mail:
            self.deliver(host)

    def read_log(self, host: ModelHost) -> None:
        """Lets a host read on."""
        self.step += 1
        if host.paused:
            return
        host.core.on_log_reachability(True)
        records = tuple(self.log.records[host.read_to - 1 :])
        host.read_to = len(self.log.records) + 1
        message = RecordsRead(CLAIMS_STREAM, records, 1, host.read_to, self.now_s)
        self._do(host, host.core.on_records(message, self.now_s, self.now_s))

    def deliver(self, host: ModelHost) -> None:
        """Lets a host take in the oldest payload that came over a link."""
        self.step += 1
        if host.mail and not host.paused:
            sender, payload = host.mail.popleft()
            self._do(host, host.core.on_peer_message(sender, payload, self.now_s))

    def finish(self, host: ModelHost, verdict: Verdict) -> None:
        """Ends the oldest running call of a host."""
        self.step += 1
        if host.paused or not host.running:
            return
        call = host.running.pop(0)
        if verdict is not Verdict.NOT_RUN:
            self.starts.append(Start(call.idempotency_key, call.call_id, self.step))
        if verdict is Verdict.COMPLETED:
            completed = CallCompleted(call.call_id, 200, b"done", "text/plain")
            self.answers[call.call_id] = completed
            host.core.on_call_completed(completed, self.now_s)
            return
        refused = CallRefused(call.call_id, Refusal(RefusalReason.BACKEND_FAILED, verdict, ""))
        self._answer(call.call_id, call.idempotency_key, refused)
        self._do(host, host.core.on_call_refused(refused, self.now_s))

    def kill(self, host: ModelHost) -> None:
        """Kills a host and starts it anew; what it was running may have run."""
        self.step += 1
        for call in host.running:
            self.starts.append(Start(call.idempotency_key, call.call_id, self.step))
        index = self.hosts.index(host)
        for other in self.hosts:
            other.core.on_peer_link(host.name, False)
            other.mail = deque(item for item in other.mail if item[0] != host.name)
        self.hosts[index] = self._make_host(host.name)
        self._connect_all()

    def pause(self, host: ModelHost) -> None:
        """Stops a host in its tracks."""
        host.paused = True

    def resume(self, host: ModelHost) -> None:
        """Lets a paused host go on."""
        self.step += 1
        host.paused = False
        waiting, host.inbox = host.inbox, []
        for call in waiting:
            self._receive(host, call)

    def cut_link(self, first: ModelHost, second: ModelHost) -> None:
        """Cuts two hosts off from each other; what was under way is lost."""
        self.cut.add(frozenset({first.name, second.name}))
        for host, other in ((first, second), (second, first)):
            host.core.on_peer_link(other.name, False)
            host.mail = deque(item for item in host.mail if item[0] != other.name)

    def heal(self) -> None:
        """Ends every cut."""
        self.cut.clear()
        self._connect_all()

    # What must hold.

    def check(self) -> None:
        """Raises an error if a key ran twice or a refusal was not true."""
        keys = [start.key for start in self.starts]
        running = [call.idempotency_key for host in self.hosts for call in host.running]
        assert len(set(keys + running)) == len(keys + running), "a key runs twice"
        for denial in self.denials:
            for start in self.starts:
                if start.key == denial.key and self.received[start.call_id] <= denial.step:
                    raise AssertionError(f"{start.call_id} ran; {denial.call_id}: not run")

    def _make_host(self, name: str) -> ModelHost:
        self._incarnations += 1
        incarnation = f"{name}-{self._incarnations}"
        return ModelHost(
            name, IdempotencyController(TicketIssuer(name, incarnation, incarnation.encode()))
        )

    def _connect_all(self) -> None:
        for host in self.hosts:
            for other in self.hosts:
                if other is not host and frozenset({host.name, other.name}) not in self.cut:
                    host.core.on_peer_link(other.name, True)

    def _receive(self, host: ModelHost, call: Call) -> None:
        self.step += 1
        self.received[call.call_id] = self.step
        self._do(host, host.core.on_call(call, self.now_s, self.now_s))

    def _do(self, host: ModelHost, commands: Sequence[IdempotencyCommand]) -> None:
        for command in commands:
            self.step += 1
            if isinstance(command, CallGranted):
                host.running.append(command.call)
            elif isinstance(command, RecordAppendRequested):
                self.log.under_way.append(command.record)
            elif isinstance(command, PeerSendRequested):
                self._pass_on(host, command)
            else:
                self._answer(command.call_id, self.keys[command.call_id], command)

    def _pass_on(self, host: ModelHost, command: PeerSendRequested) -> None:
        if frozenset({host.name, command.host}) in self.cut:
            return
        target = next(other for other in self.hosts if other.name == command.host)
        target.mail.append((host.name, command.payload))

    def _answer(self, call_id: str, key: str, answer: CallRefused | CallCompleted) -> None:
        assert call_id not in self.answers, "two answers"
        self.answers[call_id] = answer
        if isinstance(answer, CallRefused) and answer.refusal.verdict is Verdict.NOT_RUN:
            self.denials.append(Denial(key, call_id, self.step))
