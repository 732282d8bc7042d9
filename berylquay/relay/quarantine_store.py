"""Keeps quarantined segments in the platform's store, for a fleet whose hosts all start anew.

Hosts learn of quarantines from each other. The store is read by the first host of each group, once
after its start; the others have it from there.
"""

from collections.abc import Callable
from random import Random
from typing import Final

import logbook

from berylquay.platform.store_client import (
    AppendResult,
    NewestRecordsPage,
    StoreClient,
    StoreFailure,
    encode_keyed_record,
)
from berylquay.platform.wire_names import TOPIC_QUARANTINES
from berylquay.relay.follower import FAILURE_BACKOFF

# Time after the start from which the store is read; by then the hosts know which one is the first.
READ_DELAY_S: Final = 1.0
# Value of a quarantined segment's record; an empty one removes the record.
QUARANTINED: Final = b"quarantined"
# Longest segment id that can be the key of a record.
MAX_KEY_BYTES: Final = 255
# Most records that wait to be written; the oldest are dropped first.
MAX_UNSAVED: Final = 256
_log = logbook.Logger("quarantine-store")


class QuarantineStore:
    """Writes quarantines that this host has found, and reads those of before its start."""

    _store_client: StoreClient
    _rng: Random
    # Called with the segments that the store shows as quarantined, and the present time.
    _on_read: Callable[[list[str], float], None]
    # Tells whether this host is the first of those that exchange load reports.
    _is_first_of_group: Callable[[float], bool]
    # Records to write: whether each segment is quarantined.
    _unsaved: dict[str, bool]
    # The records of the append in flight.
    _saving: dict[str, bool]
    _has_read: bool
    # Monotonic times of the first tick and of the last one, and before which no call is made.
    _started_s: float | None
    _now_s: float
    _next_call_s: float
    _consecutive_failures: int

    def __init__(
        self,
        store_client: StoreClient,
        rng: Random,
        on_read: Callable[[list[str], float], None],
        is_first_of_group: Callable[[float], bool],
    ) -> None:
        self._store_client = store_client
        self._rng = rng
        self._on_read = on_read
        self._is_first_of_group = is_first_of_group
        self._unsaved = {}
        self._saving = {}
        self._has_read = False
        self._started_s = None
        self._now_s = float("-inf")
        self._next_call_s = float("-inf")
        self._consecutive_failures = 0

    def save(self, segment: str, *, is_quarantined: bool) -> None:
        """Writes that a segment is quarantined, or that it no longer is.

        A quarantine is written by the host that has found it. All hosts learn of its end, so it is
        written by the first one of each group.
        """
        if not segment or len(segment.encode()) > MAX_KEY_BYTES:
            return
        if not is_quarantined and not self._is_first_of_group(self._now_s):
            return
        self._unsaved.pop(segment, None)
        self._unsaved[segment] = is_quarantined
        while len(self._unsaved) > MAX_UNSAVED:
            del self._unsaved[next(iter(self._unsaved))]

    def on_new_era(self, segments: list[str], now_s: float) -> None:
        """Writes the quarantined segments again: the store has come back from an older copy."""
        self._store_client.abandon_call()
        self._saving = {}
        if self._is_first_of_group(now_s):
            for segment in segments:
                self.save(segment, is_quarantined=True)

    def on_tick(self, now_s: float) -> None:
        """Sends the next call to the store when it is due."""
        self._now_s = now_s
        if self._started_s is None:
            self._started_s = now_s
        if not (self._unsaved or self._saving) and self._has_read:
            return
        self._store_client.on_tick(now_s)
        if self._store_client.busy or now_s < self._next_call_s:
            return
        if self._unsaved:
            self._saving, self._unsaved = self._unsaved, {}
            records = [
                encode_keyed_record(segment, QUARANTINED if is_quarantined else b"")
                for segment, is_quarantined in self._saving.items()
            ]
            self._store_client.append(TOPIC_QUARANTINES, records, self._on_appended)
        elif (
            not self._has_read
            and now_s - self._started_s >= READ_DELAY_S
            and self._is_first_of_group(now_s)
        ):
            self._store_client.read_newest(TOPIC_QUARANTINES, "", self._on_newest)

    def _on_appended(self, result: AppendResult | StoreFailure) -> None:
        saving, self._saving = self._saving, {}
        if isinstance(result, StoreFailure):
            # What was decided meanwhile goes before.
            self._unsaved = {**saving, **self._unsaved}
            self._on_failure(result)
            return
        self._consecutive_failures = 0
        _log.info("quarantines written", segments=saving)

    def _on_newest(self, result: NewestRecordsPage | StoreFailure) -> None:
        if isinstance(result, StoreFailure) and not result.is_topic_missing:
            self._on_failure(result)
            return
        self._consecutive_failures = 0
        self._has_read = True
        records = () if isinstance(result, StoreFailure) else result.records
        segments = [record.key for record in records if record.value == QUARANTINED]
        if segments:
            _log.info("quarantines read", segments=segments)
            self._on_read(segments, self._now_s)

    def _on_failure(self, failure: StoreFailure) -> None:
        self._consecutive_failures += 1
        self._next_call_s = self._now_s + FAILURE_BACKOFF.delay_s(
            self._consecutive_failures, self._rng
        )
        _log.info("quarantine request failed", status=failure.status, detail=failure.detail)
