"""Follows a topic of the store: reads the newest record of each key first, then newer records.

Where another host has just read the topic, its report replaces a read by this host, and the records
that it has read replace a read of a change.
"""

from collections.abc import Callable, Sequence
from math import isfinite
from random import Random
from typing import Final

import logbook
from attrs import define, evolve, field, frozen

from berylquay.decisions.backoff import Backoff
from berylquay.decisions.shared_polling import OwnRead, SharedPolling, TopicReport
from berylquay.decisions.store_era import StoreEra, add_era, split_era
from berylquay.decisions.suspension_meter import SuspensionMeter
from berylquay.platform.store_client import (
    CALL_TIMEOUT_S,
    KeyedRecord,
    NewestRecordsPage,
    RecordPage,
    StoreClient,
    StoreFailure,
    decode_keyed_record,
)
from berylquay.relay.topic_deltas import TopicDelta
from berylquay.whole_numbers import parse_whole_number

# Wait after a failed call; the store rejects calls beyond a rate limit that all hosts share.
FAILURE_BACKOFF: Final = Backoff(min_delay_s=0.2, max_delay_s=0.8)
# Timeout of the first call after one that succeeded, as a fraction of the time within which a
# change must be known, and its minimum: a connection that has gone silent must not use it up.
FIRST_CALL_TIMEOUT_FRACTION: Final = 0.15
MIN_FIRST_CALL_TIMEOUT_S: Final = 0.5
# Time over which the hosts spread their reads after the store has come back from an older copy.
NEW_ERA_READ_SPREAD_S: Final = 0.4
MS_PER_S: Final = 1000.0
# Stands for the host in `confirmed_by` after changes that another host has passed on.
CHANGES: Final = "changes"
_log = logbook.Logger("follower")


@frozen
class FollowTimings:
    """How often and for how long a topic is read."""

    # Time for which a read by the polling host waits at the store for a new record.
    long_poll_wait_s: float
    # Minimum time from the start of one such read to that of the next.
    interval_s: float
    # Time within which a change must be known.
    max_staleness_s: float


class TopicHandler:
    """Applies the records of a topic."""

    def state_hash(self) -> str:
        """Returns a hash of all that is known, or an empty string if the offset identifies it."""
        return ""

    def on_snapshot(self, records: dict[str, bytes], now_s: float) -> None:
        """Called with the newest value of each key."""
        raise NotImplementedError

    def on_record(self, record: KeyedRecord, now_s: float) -> None:
        """Called with each newer record."""
        raise NotImplementedError


@define(eq=False)
class TopicFollower:
    """Reads one topic with a store client of its own and tracks how fresh its knowledge is."""

    topic: str
    _timings: FollowTimings
    _store_client: StoreClient
    _handler: TopicHandler
    _rng: Random
    # Read the monotonic clock, and the one that also runs while the machine is suspended.
    _clock: Callable[[], float]
    _boot_clock: Callable[[], float]
    # Era of the store, which marks this host's state of the topic.
    _store_era: StoreEra
    # Whether this process has read the newest records of all keys at least once.
    has_snapshot: bool = field(default=False, init=False)
    _suspensions: SuspensionMeter = field(factory=SuspensionMeter, init=False)
    # Decides when to read, and tracks up to when the knowledge is complete.
    polling: SharedPolling = field(init=False)
    # Name of the host whose report confirmed the knowledge last; empty after an own read.
    confirmed_by: str = field(default="", init=False)
    # Failed calls since the last one that succeeded.
    consecutive_failures: int = field(default=0, init=False)
    # Offset of the next record to read, or None to begin with the newest records.
    _offset: int | None = field(default=None, init=False)
    # Newest records by key, collected while their pages are read.
    _snapshot_records: dict[str, bytes] = field(factory=dict, init=False)
    # Last key of the previous page, and the topic's end offset when the first page was read.
    _page_after_key: str = field(default="", init=False)
    _snapshot_end_offset: int | None = field(default=None, init=False)
    # Monotonic time at which the first page was requested: later changes may be missing.
    _snapshot_sent_s: float = field(default=float("-inf"), init=False)
    # Monotonic time before which no call is made, and that at which the last call was sent.
    _next_call_s: float = field(default=float("-inf"), init=False)
    _last_call_s: float = field(default=float("-inf"), init=False)
    # Whether it was logged that the knowledge is older than a change may stay unknown.
    _is_outdated: bool = field(default=False, init=False)
    # Newest era that another host has reported and this one has not seen in an answer.
    _reported_era: int = field(default=-1, init=False)
    # Changes that this host has read for the others and not passed on yet, with the monotonic time
    # at which each read was sent.
    _unsent_deltas: list[tuple[TopicDelta, float]] = field(factory=list, init=False)

    def __attrs_post_init__(self) -> None:
        """Starts as a host that polls the store itself."""
        self.polling = SharedPolling(self._timings.max_staleness_s, self._timings.interval_s)

    @property
    def confirmed_s(self) -> float:
        """Returns the monotonic time up to which all changes are known."""
        self._count_suspension()
        return self.polling.confirmed_s

    @property
    def state_hash(self) -> str:
        """Returns a string that is equal on hosts that know the same of the topic."""
        return add_era(self._handler.state_hash() or str(self._offset), self._store_era.current)

    @property
    def next_offset(self) -> int | None:
        """Returns the offset of the next record to read, or None before the first read."""
        return self._offset

    def on_new_era(self, now_s: float) -> None:
        """Reads the topic again, since the offset and a call in flight are of the former era."""
        self._store_client.abandon_call()
        self._unsent_deltas.clear()
        self._restart_from_snapshot("the store came back older")
        self._next_call_s = now_s + self._new_era_delay_s()

    def _new_era_delay_s(self) -> float:
        if self.polling.is_poller:
            return 0.0
        return self._rng.uniform(0.0, NEW_ERA_READ_SPREAD_S)

    def on_tick(self, now_s: float) -> None:
        """Sends the next call when it is due."""
        self._count_suspension()
        self._store_client.on_tick(now_s)
        self._log_outdated(now_s)
        if self._store_client.busy or now_s < self._next_call_s:
            return
        if self._offset is None:
            self._last_call_s = now_s
            self._store_client.read_newest(self.topic, self._page_after_key, self._on_newest)
        elif self.polling.has_diverged:
            # What was kept of an earlier state can't be healed by newer records.
            self._restart_from_snapshot("other hosts know another state")
        elif now_s >= self.polling.next_read_s(self._last_call_s):
            self._last_call_s = now_s
            wait_s = self._timings.long_poll_wait_s if self.polling.is_poller else 0.0
            self._store_client.read(
                self.topic, self._offset, wait_s, self._on_page, timeout_s=self._call_timeout_s()
            )

    def _call_timeout_s(self) -> float:
        if self.consecutive_failures:
            return CALL_TIMEOUT_S
        return min(
            CALL_TIMEOUT_S,
            max(
                MIN_FIRST_CALL_TIMEOUT_S,
                self._timings.max_staleness_s * FIRST_CALL_TIMEOUT_FRACTION,
            ),
        )

    def on_peer_report(self, report: TopicReport, now_s: float, host: str = "") -> None:
        """Takes another host's report of a read; ignored while this host has no snapshot."""
        self._count_suspension()
        if not self.has_snapshot or self._offset is None:
            return
        own_era = self._store_era.current
        era, _state_hash = split_era(report.state_hash)
        if own_era is None or era == own_era:
            self._apply_report(report, now_s, host)
        elif era is not None and era > max(own_era, self._reported_era):
            # The answer to a read shows the new era to this host as well.
            self._reported_era = era
            self.polling.on_newer_era()
            self._next_call_s = max(self._next_call_s, now_s + self._new_era_delay_s())

    def next_report(self, now_s: float) -> OwnRead | None:
        """Returns the read to report to the other hosts, by the boot clock, or None."""
        if not self.has_snapshot or self._offset is None:
            return None
        self._count_suspension()
        own_read = self.polling.next_report(self.topic, self.state_hash, now_s)
        if own_read is None:
            return None
        return evolve(own_read, sent_s=own_read.sent_s + self._boot_clock() - self._clock())

    def take_deltas(self, now_s: float) -> list[TopicDelta]:
        """Returns the changes that this host has read for the others since the last call."""
        self._count_suspension()
        unsent, self._unsent_deltas = self._unsent_deltas, []
        return [
            evolve(delta, age_ms=round((now_s - read_s) * MS_PER_S)) for delta, read_s in unsent
        ]

    def on_delta(self, delta: TopicDelta, now_s: float) -> bool:
        """Applies changes that another host has read; returns whether they follow on this state."""
        self._count_suspension()
        if not self.has_snapshot or self._offset is None or delta.before_hash != self.state_hash:
            return False
        if not self._handler.state_hash():
            # The offset identifies the state of this topic.
            after_offset = parse_whole_number(split_era(delta.after_hash)[1])
            if after_offset is None:
                return False
            self._offset = after_offset
        self._apply_records(delta.contents, now_s)
        _log.info(
            "changes applied",
            topic=self.topic,
            records=len(delta.contents),
            age_ms=delta.age_ms,
            complete=self.state_hash == delta.after_hash,
        )
        self._apply_report(delta.to_report(), now_s, CHANGES)
        return True

    def _count_suspension(self) -> None:
        """Moves the times back by which ages are worked out, if the machine was suspended."""
        suspended_s = self._suspensions.observe(self._boot_clock(), self._clock())
        if suspended_s:
            self.polling.on_suspended(suspended_s)
            self._last_call_s -= suspended_s
            self._snapshot_sent_s -= suspended_s
            self._unsent_deltas = [
                (delta, read_s - suspended_s) for delta, read_s in self._unsent_deltas
            ]

    def _apply_report(self, report: TopicReport, now_s: float, source: str) -> None:
        before_s, was_behind = self.confirmed_s, self.polling.is_behind
        self.polling.on_peer_report(report, self.state_hash, now_s)
        if self.confirmed_s > before_s:
            self.confirmed_by = source
        if self.polling.is_behind and not was_behind:
            _log.info(
                "another host has another state",
                topic=self.topic,
                host=source,
                age_ms=report.age_ms,
                **self._describe_knowledge(now_s),
            )

    def _describe_knowledge(self, now_s: float) -> dict[str, int | str | None]:
        """Returns, for logs, how old the knowledge is, by whom it is known, and the last call."""
        return {
            "known_ms": _age_ms(self.confirmed_s, now_s),
            "known_from": self.confirmed_by or "store",
            "called_ms": _age_ms(self._last_call_s, now_s),
            "failures": self.consecutive_failures,
            "ignored_reports": self.polling.ignored_reports,
        }

    def _log_outdated(self, now_s: float) -> None:
        """Logs once when a change may have stayed unknown for too long, and when no longer."""
        if not self.has_snapshot:
            return
        is_outdated = now_s - self.confirmed_s > self._timings.max_staleness_s
        if is_outdated and not self._is_outdated:
            _log.warning("topic outdated", topic=self.topic, **self._describe_knowledge(now_s))
        elif self._is_outdated and not is_outdated:
            _log.info("topic up to date", topic=self.topic, **self._describe_knowledge(now_s))
        self._is_outdated = is_outdated

    def _on_newest(self, result: NewestRecordsPage | StoreFailure) -> None:
        self._count_suspension()
        now_s = self._clock()
        if isinstance(result, StoreFailure):
            if result.is_outdated:
                self._restart_from_snapshot(result.detail)
                self._next_call_s = now_s
            else:
                self._on_failure(result, now_s)
            return
        if self._snapshot_end_offset is None:
            # The pages are not read atomically: changes made meanwhile are read from the end offset
            # of the first page on.
            self._snapshot_end_offset = result.end_offset
            self._snapshot_sent_s = self._last_call_s
        for record in result.records:
            self._snapshot_records[record.key] = record.value or b""
        if result.has_more and result.records:
            self._page_after_key = result.records[-1].key
            self._next_call_s = now_s
            return
        records, self._snapshot_records = self._snapshot_records, {}
        self._offset, self._snapshot_end_offset, self._page_after_key = (
            self._snapshot_end_offset,
            None,
            "",
        )
        self._last_call_s = self._snapshot_sent_s
        self._on_success(now_s)
        self.has_snapshot = True
        self._handler.on_snapshot(records, now_s)

    def _on_page(self, result: RecordPage | StoreFailure) -> None:
        self._count_suspension()
        now_s = self._clock()
        if isinstance(result, StoreFailure):
            if result.records_gone or result.is_outdated:
                self._restart_from_snapshot(
                    result.detail if result.is_outdated else "records were deleted unread"
                )
                self._next_call_s = now_s
            else:
                self._on_failure(result, now_s)
            return
        if self._offset is not None and result.first_offset > self._offset:
            self._restart_from_snapshot("records are missing")
            return
        if not result.contents and not result.is_at_end:
            failure = StoreFailure("a page without records", 0, may_have_happened=False)
            self._on_failure(failure, now_s)
            return
        before_hash, known = self.state_hash, self._describe_knowledge(now_s)
        # A host that is behind reads what others have read before.
        is_first_to_read = self.polling.is_poller or not self.polling.is_behind
        # Changes that others have passed on since the read was answered remain applied.
        self._offset = max(self._offset or 0, result.next_offset)
        if result.is_at_end:
            self._on_success(now_s)
        changes = self._apply_records(result.contents, now_s)
        if self.state_hash != before_hash:
            _log.info("changes read", topic=self.topic, records=len(changes), **known)
        if result.is_at_end and is_first_to_read and self.state_hash != before_hash:
            delta = TopicDelta(self.topic, before_hash, self.state_hash, 0, changes)
            self._unsent_deltas.append((delta, self._last_call_s))

    def _apply_records(self, contents: Sequence[bytes], now_s: float) -> tuple[bytes, ...]:
        """Applies records and returns those that changed the state."""
        changes = []
        for content in contents:
            record = decode_keyed_record(content)
            if record is None:
                continue
            before_hash = self._handler.state_hash()
            self._handler.on_record(record, now_s)
            after_hash = self._handler.state_hash()
            if not after_hash or after_hash != before_hash:
                changes.append(content)
        return tuple(changes)

    def _restart_from_snapshot(self, reason: str) -> None:
        _log.warning("reading the newest records again", topic=self.topic, reason=reason)
        self.polling.on_snapshot()
        self._offset, self._snapshot_end_offset, self._page_after_key, self._snapshot_records = (
            None,
            None,
            "",
            {},
        )

    def _on_success(self, now_s: float) -> None:
        if self.consecutive_failures:
            _log.info("store regained", topic=self.topic, failures=self.consecutive_failures)
        self.consecutive_failures = 0
        self.polling.on_read(self._last_call_s)
        self.confirmed_by = ""

    def _on_failure(self, failure: StoreFailure, now_s: float) -> None:
        if not self.consecutive_failures:
            _log.warning(
                "store lost",
                topic=self.topic,
                status=failure.status,
                detail=failure.detail,
                **self._describe_knowledge(now_s),
            )
        self.consecutive_failures += 1
        if self.consecutive_failures == 1 and failure.is_unanswered:
            # A new connection may work.
            self._next_call_s = now_s
            return
        self._next_call_s = now_s + FAILURE_BACKOFF.delay_s(self.consecutive_failures, self._rng)


def _age_ms(at_s: float, now_s: float) -> int | None:
    """Returns the time since then in milliseconds, or None if it has never been."""
    return round((now_s - at_s) * MS_PER_S) if isfinite(at_s) else None
