"""A model of several hosts, the log and the links, to test `IdempotencyController` under faults.

Time, messages and faults are events that a test chooses; nothing here waits or is random.
"""

from collections import deque
from collections.abc import Sequence

from attrs import define, field, frozen

from berylquay.call_verdicts import Refusal, RefusalReason, Verdict
from berylquay.component_messages import (
    CallCompleted,
    CallGranted,
    CallRefused,
    PeerSendRequested,
    RecordAppendRequested,
    RecordsRead,
)
from berylquay.decisions.calls import Call
from berylquay.decisions.deployment import ClassSpec, WorkKind
from berylquay.decisions.idempotency import IdempotencyCommand, IdempotencyController
from berylquay.decisions.key_claims import CLAIMS_STREAM
from berylquay.decisions.tickets import TicketIssuer
from berylquay.peers.payloads import PeerPayload
from berylquay.standalone.records import LogRecord, NewRecord

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
class Execution:
    """A call that ran, or may have run, on a backend server."""

    key: str
    call_id: str
    step: int


@frozen
class NotRunRefusal:
    """A refusal with the verdict that the call was not run."""

    key: str
    call_id: str
    step: int


@define
class Log:
    """The platform's log: its records and the appends in flight."""

    records: list[LogRecord] = field(factory=list)
    in_flight: deque[NewRecord] = field(factory=deque)

    def complete_append(self) -> None:
        """Appends the record of the oldest append in flight."""
        if self.in_flight:
            record = self.in_flight.popleft()
            offset = len(self.records) + 1
            self.records.append(LogRecord(offset, record.record_id, record.kind, record.fields))

    def complete_append_twice(self) -> None:
        """Appends it now and again later, as with a retry after a lost answer."""
        if self.in_flight:
            self.in_flight.append(self.in_flight[0])
            self.complete_append()

    def lose_append(self) -> None:
        """Drops the oldest append in flight."""
        if self.in_flight:
            self.in_flight.popleft()


@define
class ModelHost:
    """One entry host."""

    name: str
    controller: IdempotencyController
    next_offset: int = 1
    paused: bool = False
    # Calls that reached a paused host.
    inbox: list[Call] = field(factory=list)
    # Payloads received over the links and not yet processed, with their senders.
    peer_messages: deque[tuple[str, PeerPayload]] = field(factory=deque)
    # Calls that are running.
    running: list[Call] = field(factory=list)


class IdempotencyModel:
    """The hosts, log and links, and what callers and backend servers observed."""

    def __init__(self, host_count: int) -> None:
        self.now_s = 1000.0
        self.step = 0
        self.log = Log()
        self.hosts: list[ModelHost] = []
        self.cut_links: set[frozenset[str]] = set()
        self.executions: list[Execution] = []
        self.not_run_refusals: list[NotRunRefusal] = []
        # Step at which each call was received by its host.
        self.received_steps: dict[str, int] = {}
        self.answers: dict[str, CallRefused | CallCompleted] = {}
        self.sent_count = 0
        # Idempotency key by call id.
        self.keys_by_call: dict[str, str] = {}
        self._incarnations = 0
        for number in range(host_count):
            self.hosts.append(self._make_host(f"host-{number}"))
        self._connect_all()
        for host in self.hosts:
            self.read_log(host)

    # Events that a test may trigger.

    def send(self, host: ModelHost, key: str, content: str = "same") -> str:
        """Sends a call with the key to a host and returns the call's id."""
        self.sent_count += 1
        call = make_call(f"call-{self.sent_count}", key, self.now_s, content)
        self.keys_by_call[call.call_id] = key
        if host.paused:
            host.inbox.append(call)
        else:
            self._receive(host, call)
        return call.call_id

    def tick(self, seconds: float) -> None:
        """Advances the time."""
        self.step += 1
        self.now_s += seconds
        for host in self.hosts:
            if not host.paused:
                self._execute(host, host.controller.on_tick(self.now_s))

    def progress(self, host: ModelHost) -> None:
        """Lets one host append, read and process messages without faults; the others are idle."""
        self.step += 1
        self.now_s += 0.2
        if host.paused:
            return
        in_flight_before = len(self.log.in_flight)
        self._execute(host, host.controller.on_tick(self.now_s))
        if len(self.log.in_flight) > in_flight_before:
            self.log.in_flight.rotate(1)
            self.log.complete_append()
        self.read_log(host)
        while host.peer_messages:
            self.deliver_peer_message(host)

    def read_log(self, host: ModelHost) -> None:
        """Lets a host read the log to its end."""
        self.step += 1
        if host.paused:
            return
        host.controller.on_log_reachability(True)
        records = tuple(self.log.records[host.next_offset - 1 :])
        host.next_offset = len(self.log.records) + 1
        message = RecordsRead(CLAIMS_STREAM, records, 1, host.next_offset, self.now_s)
        self._execute(host, host.controller.on_records(message, self.now_s, self.now_s))

    def deliver_peer_message(self, host: ModelHost) -> None:
        """Lets a host process the oldest payload that it received over a link."""
        self.step += 1
        if host.peer_messages and not host.paused:
            sender, payload = host.peer_messages.popleft()
            self._execute(host, host.controller.on_peer_message(sender, payload, self.now_s))

    def finish(self, host: ModelHost, verdict: Verdict) -> None:
        """Ends the oldest running call of a host."""
        self.step += 1
        if host.paused or not host.running:
            return
        call = host.running.pop(0)
        if verdict is not Verdict.NOT_RUN:
            self.executions.append(Execution(call.idempotency_key, call.call_id, self.step))
        if verdict is Verdict.COMPLETED:
            completed = CallCompleted(call.call_id, 200, b"done", "text/plain")
            self.answers[call.call_id] = completed
            host.controller.on_call_completed(completed, self.now_s)
            return
        refused = CallRefused(call.call_id, Refusal(RefusalReason.BACKEND_FAILED, verdict, ""))
        self._answer(call.call_id, call.idempotency_key, refused)
        self._execute(host, host.controller.on_call_refused(refused, self.now_s))

    def kill(self, host: ModelHost) -> None:
        """Kills and restarts a host; the calls that it was running may have run."""
        self.step += 1
        for call in host.running:
            self.executions.append(Execution(call.idempotency_key, call.call_id, self.step))
        index = self.hosts.index(host)
        for other in self.hosts:
            other.controller.on_peer_link(host.name, False)
            other.peer_messages = deque(
                item for item in other.peer_messages if item[0] != host.name
            )
        self.hosts[index] = self._make_host(host.name)
        self._connect_all()

    def pause(self, host: ModelHost) -> None:
        """Suspends a host."""
        host.paused = True

    def resume(self, host: ModelHost) -> None:
        """Resumes a paused host, which then receives the calls sent to it meanwhile."""
        self.step += 1
        host.paused = False
        waiting, host.inbox = host.inbox, []
        for call in waiting:
            self._receive(host, call)

    def cut_link(self, first: ModelHost, second: ModelHost) -> None:
        """Cuts the link between two hosts; messages in flight on it are lost."""
        self.cut_links.add(frozenset({first.name, second.name}))
        for host, other in ((first, second), (second, first)):
            host.controller.on_peer_link(other.name, False)
            host.peer_messages = deque(item for item in host.peer_messages if item[0] != other.name)

    def restore_links(self) -> None:
        """Restores every cut link."""
        self.cut_links.clear()
        self._connect_all()

    # Invariants.

    def check(self) -> None:
        """Raises AssertionError if a key ran twice or a refusal as not run was false.

        Such a refusal is false if a call with its key ran that was received before the refusal.
        """
        executed_keys = [execution.key for execution in self.executions]
        running_keys = [call.idempotency_key for host in self.hosts for call in host.running]
        assert len(set(executed_keys + running_keys)) == len(
            executed_keys + running_keys
        ), "a key runs twice"
        for refusal in self.not_run_refusals:
            for execution in self.executions:
                if (
                    execution.key == refusal.key
                    and self.received_steps[execution.call_id] <= refusal.step
                ):
                    raise AssertionError(f"{execution.call_id} ran; {refusal.call_id}: not run")

    def _make_host(self, name: str) -> ModelHost:
        self._incarnations += 1
        incarnation = f"{name}-{self._incarnations}"
        return ModelHost(
            name, IdempotencyController(TicketIssuer(name, incarnation, incarnation.encode()))
        )

    def _connect_all(self) -> None:
        for host in self.hosts:
            for other in self.hosts:
                if other is not host and frozenset({host.name, other.name}) not in self.cut_links:
                    host.controller.on_peer_link(other.name, True)

    def _receive(self, host: ModelHost, call: Call) -> None:
        self.step += 1
        self.received_steps[call.call_id] = self.step
        self._execute(host, host.controller.on_call(call, self.now_s, self.now_s))

    def _execute(self, host: ModelHost, commands: Sequence[IdempotencyCommand]) -> None:
        for command in commands:
            self.step += 1
            if isinstance(command, CallGranted):
                host.running.append(command.call)
            elif isinstance(command, RecordAppendRequested):
                self.log.in_flight.append(command.record)
            elif isinstance(command, PeerSendRequested):
                self._send_to_peer(host, command)
            else:
                self._answer(command.call_id, self.keys_by_call[command.call_id], command)

    def _send_to_peer(self, host: ModelHost, command: PeerSendRequested) -> None:
        if frozenset({host.name, command.host}) in self.cut_links:
            return
        target = next(other for other in self.hosts if other.name == command.host)
        target.peer_messages.append((host.name, command.payload))

    def _answer(self, call_id: str, key: str, answer: CallRefused | CallCompleted) -> None:
        assert call_id not in self.answers, "two answers"
        self.answers[call_id] = answer
        if isinstance(answer, CallRefused) and answer.refusal.verdict is Verdict.NOT_RUN:
            self.not_run_refusals.append(NotRunRefusal(key, call_id, self.step))
