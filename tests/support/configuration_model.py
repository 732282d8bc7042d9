"""A model of an expiring log and the hosts that read it, driven step by step by a test."""

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
    """Every record ever appended, with the state after each."""

    records: list[LogRecord] = field(factory=list)
    # State after each record; the first is the state before any record.
    states: list[ConfigurationState] = field(factory=lambda: [ConfigurationState()])
    # Outcome of each change that was appended.
    outcomes: dict[str, ChangeOutcome] = field(factory=dict)
    first_offset: int = 1

    @property
    def next_offset(self) -> int:
        """Returns the offset of the next record."""
        return len(self.records) + 1

    def append(self, record_id: str, kind: str, fields: dict[str, object]) -> None:
        """Appends a record."""
        record = LogRecord(self.next_offset, record_id, kind, fields)
        transition = apply_record(self.states[-1], record)
        self.records.append(record)
        self.states.append(transition.state)
        if transition.outcome is not None:
            # A later copy either gives no outcome of its own or is refused.
            first = self.outcomes.setdefault(record_id, transition.outcome)
            assert (
                first is transition.outcome
                or transition.outcome.status is not ChangeStatus.ACCEPTED
            )

    def read_page(self, from_offset: int) -> LogPage:
        """Returns the records from the offset on that have not expired."""
        available = [r for r in self.records if r.offset >= max(from_offset, self.first_offset)]
        return LogPage(tuple(available[:PAGE_RECORDS]), self.first_offset, self.next_offset)


@define
class ModelHost:
    """One host; checks that its state always matches the log and never reverts."""

    log: ModelLog
    state_machine: ConfigurationStateMachine = field(factory=ConfigurationStateMachine)
    cursor: int = 1
    # Highest revision in force, including those of earlier incarnations.
    revision_in_force: int = 0

    def read_next_page(self) -> ApplyResult:
        """Reads the next page."""
        page = self.log.read_page(self.cursor)
        result = self.state_machine.on_page(page)
        self.cursor = max(self.cursor, page.first_offset)
        if page.records:
            self.cursor = page.records[-1].offset + 1
        self.check()
        return result

    def read_to_end(self) -> None:
        """Reads to the end of the log."""
        while self.cursor < self.log.next_offset or self.cursor < self.log.first_offset:
            self.read_next_page()
        self.read_next_page()

    def restart(self) -> None:
        """Loses all state, as a diskless host does on restart."""
        self.state_machine = ConfigurationStateMachine()
        self.cursor = 1

    def check(self) -> None:
        """Asserts the invariants of one host."""
        state = self.state_machine.state
        if state is None:
            return
        assert (
            state == self.log.states[state.applied_offset]
        ), "a host's state is what the log adds up to"
        if self.state_machine.initial_sync_done:
            assert (
                state.revision >= self.revision_in_force
            ), "the configuration in force never goes back"
            self.revision_in_force = state.revision


@define
class ConfigurationModel:
    """The log, its hosts and the operators."""

    hosts: list[ModelHost]
    log: ModelLog
    change_count: int = 0
    # Copies of appended changes that may still be appended again.
    delayed_copies: list[Change] = field(factory=list)
    # Answers given to operators, by change id.
    answers: dict[str, ChangeOutcome] = field(factory=dict)

    def apply_deployment(
        self, host: ModelHost, name: str, revisions_behind: int, copies: int
    ) -> None:
        """An operator changes a deployment; its record is appended 0, 1 or more times.

        Deployments d0 and d2 have a class of the same name, as do d1 and d3, so that some changes
        are invalid.
        """
        class_name = f"class-{int(name[1:]) % 2}"
        deployment = Deployment(name, classes=(ClassSpec(class_name, WorkKind.GENERATION, "p"),))
        change = self._new_change(host, ChangeKind.APPLY, name, revisions_behind)
        self._submit(host, evolve(change, deployment=deployment), copies)

    def remove_deployment(self, host: ModelHost, name: str) -> None:
        """An operator removes a deployment."""
        self._submit(
            host, self._new_change(host, ChangeKind.REMOVE, name, revisions_behind=0), copies=1
        )

    def append_delayed_copy(self) -> None:
        """Appends the oldest delayed copy of a change."""
        if self.delayed_copies:
            change = self.delayed_copies.pop(0)
            self.log.append(change.change_id, change.kind.value, change_to_fields(change))

    def _new_change(
        self, host: ModelHost, kind: ChangeKind, name: str, revisions_behind: int
    ) -> Change:
        self.change_count += 1
        base_revision = max(
            0,
            (host.state_machine.state.revision if host.state_machine.state else 0)
            - revisions_behind,
        )
        return Change(f"change-{self.change_count}", kind, name, base_revision, "operator")

    def _submit(self, host: ModelHost, change: Change, copies: int) -> None:
        outcome = decide_without_append(
            host.state_machine.state, host.state_machine.up_to_date, change
        )
        if outcome is not None:
            self.answers[change.change_id] = outcome
            return
        for _ in range(copies):
            self.log.append(change.change_id, change.kind.value, change_to_fields(change))
        if copies > 1:
            self.delayed_copies.append(change)

    def append_snapshot(self, host: ModelHost) -> None:
        """A host that has completed its initial sync appends a snapshot of its state."""
        if host.state_machine.state is not None and host.state_machine.initial_sync_done:
            fields = snapshot_to_json(host.state_machine.state)
            self.log.append(f"snapshot-{self.log.next_offset}", SNAPSHOT_KIND, fields)

    def send_snapshot(self, sender: ModelHost, receiver: ModelHost) -> None:
        """A host sends its state to another, as peers do while the log is unreachable."""
        if sender.state_machine.state is not None and sender.state_machine.initial_sync_done:
            if not receiver.state_machine.initial_sync_done:
                # A diskless host that reaches only peers cannot know its revision before its
                # restart.
                receiver.revision_in_force = 0
            receiver.state_machine.on_snapshot(snapshot_to_json(sender.state_machine.state))
            receiver.check()
