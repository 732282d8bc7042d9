"""A log that expires and hosts that follow it, driven step by step by a property test."""

from attrs import define, evolve, field

from berylquay.decisions.configuration_snapshots import snapshot_to_json
from berylquay.decisions.configuration_state import (
    SNAPSHOT_KIND,
    Change,
    ChangeKind,
    ChangeOutcome,
    ChangeStatus,
    ConfigurationState,
    apply_record,
    change_to_fields,
)
from berylquay.decisions.configuration_state_machine import (
    ApplyResult,
    ConfigurationStateMachine,
    LogPage,
)
from berylquay.decisions.deployment import ClassSpec, Deployment, WorkKind
from berylquay.decisions.pending_changes import decide_without_append
from berylquay.standalone.records import LogRecord

PAGE_RECORDS = 3


@define
class ModelLog:
    """Every record that was ever appended, with what each adds up to."""

    records: list[LogRecord] = field(factory=list)
    # State after each record; the first is the state before any.
    states: list[ConfigurationState] = field(factory=lambda: [ConfigurationState()])
    # What became of each change that took part.
    outcomes: dict[str, ChangeOutcome] = field(factory=dict)
    first_offset: int = 1

    @property
    def next_offset(self) -> int:
        """Returns the offset of the next record."""
        return len(self.records) + 1

    def append(self, record_id: str, kind: str, fields: dict[str, object]) -> None:
        """Appends a record."""
        record = LogRecord(self.next_offset, record_id, kind, fields)
        step = apply_record(self.states[-1], record)
        self.records.append(record)
        self.states.append(step.state)
        if step.outcome is not None:
            # Copies that follow are either not new or refused.
            first = self.outcomes.setdefault(record_id, step.outcome)
            assert first is step.outcome or step.outcome.status is not ChangeStatus.ACCEPTED

    def page(self, from_offset: int) -> LogPage:
        """Returns the records from the offset on that have not expired."""
        kept = [r for r in self.records if r.offset >= max(from_offset, self.first_offset)]
        return LogPage(tuple(kept[:PAGE_RECORDS]), self.first_offset, self.next_offset)


@define
class ModelHost:
    """One host; checks that what it has in force never goes back and is never a guess."""

    log: ModelLog
    fold: ConfigurationStateMachine = field(factory=ConfigurationStateMachine)
    cursor: int = 1
    # Highest revision in force, also of earlier incarnations.
    in_force: int = 0

    def read(self) -> ApplyResult:
        """Reads the next page."""
        page = self.log.page(self.cursor)
        progress = self.fold.on_page(page)
        self.cursor = max(self.cursor, page.first_offset)
        if page.records:
            self.cursor = page.records[-1].offset + 1
        self.check()
        return progress

    def read_to_end(self) -> None:
        """Reads until there is nothing new."""
        while self.cursor < self.log.next_offset or self.cursor < self.log.first_offset:
            self.read()
        self.read()

    def restart(self) -> None:
        """Loses everything, as a diskless host does."""
        self.fold = ConfigurationStateMachine()
        self.cursor = 1

    def check(self) -> None:
        """Asserts the invariants of one host."""
        state = self.fold.state
        if state is None:
            return
        assert (
            state == self.log.states[state.applied_offset]
        ), "a host's state is what the log adds up to"
        if self.fold.initial_sync_done:
            assert state.revision >= self.in_force, "the configuration in force never goes back"
            self.in_force = state.revision


@define
class Model:
    """The log, its hosts and the operators."""

    hosts: list[ModelHost]
    log: ModelLog
    change_count: int = 0
    # Copies of appends that may still land.
    strays: list[Change] = field(factory=list)
    # Answers given to operators by change.
    answers: dict[str, ChangeOutcome] = field(factory=dict)

    def ask(self, host: ModelHost, name: str, stale: int, copies: int) -> None:
        """An operator changes a deployment; the append takes effect 0, 1 or more times.

        Deployments d0 and d2 claim the same class, as do d1 and d3, so that some are invalid.
        """
        class_name = f"class-{int(name[1:]) % 2}"
        deployment = Deployment(name, classes=(ClassSpec(class_name, WorkKind.GENERATION, "p"),))
        change = self._new_change(host, ChangeKind.APPLY, name, stale)
        self._send(host, evolve(change, deployment=deployment), copies)

    def remove(self, host: ModelHost, name: str) -> None:
        """An operator removes a deployment."""
        self._send(host, self._new_change(host, ChangeKind.REMOVE, name, stale=0), copies=1)

    def land_stray(self) -> None:
        """A copy of an append that was under way for long reaches the log."""
        if self.strays:
            change = self.strays.pop(0)
            self.log.append(change.change_id, change.kind.value, change_to_fields(change))

    def _new_change(self, host: ModelHost, kind: ChangeKind, name: str, stale: int) -> Change:
        self.change_count += 1
        base = max(0, (host.fold.state.revision if host.fold.state else 0) - stale)
        return Change(f"change-{self.change_count}", kind, name, base, "operator")

    def _send(self, host: ModelHost, change: Change, copies: int) -> None:
        at_once = decide_without_append(host.fold.state, host.fold.up_to_date, change)
        if at_once is not None:
            self.answers[change.change_id] = at_once
            return
        for _ in range(copies):
            self.log.append(change.change_id, change.kind.value, change_to_fields(change))
        if copies > 1:
            self.strays.append(change)

    def snapshot(self, host: ModelHost) -> None:
        """A host that is up to date, or was lately, appends a snapshot."""
        if host.fold.state is not None and host.fold.initial_sync_done:
            fields = snapshot_to_json(host.fold.state)
            self.log.append(f"snapshot-{self.log.next_offset}", SNAPSHOT_KIND, fields)

    def offer(self, sender: ModelHost, receiver: ModelHost) -> None:
        """A host sends its state to another, as peers do during a cut."""
        if sender.fold.state is not None and sender.fold.initial_sync_done:
            if not receiver.fold.initial_sync_done:
                # A diskless host that finds only peers cannot know what it had in force before.
                receiver.in_force = 0
            receiver.fold.on_snapshot(snapshot_to_json(sender.fold.state))
            receiver.check()
