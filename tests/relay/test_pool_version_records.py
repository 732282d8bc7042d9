"""Versions of pools and of streams in the store: single decisions, formats and datagrams."""

import json
from collections.abc import Callable
from random import Random
from typing import Any, Final
from unittest.mock import Mock

import pytest
from attrs import evolve

from berylquay.decisions.backend_registry import BackendEntry, BackendRegistry, EntryState
from berylquay.decisions.fleet import Address, Role
from berylquay.decisions.pool_version_history import (
    ABSENCE_DELAY_S,
    ABSENT_VERSION_S,
    DROP_ABSENT_MS,
    PoolVersionHistory,
    PoolVersionRecord,
)
from berylquay.decisions.stream_ledger import (
    MAX_UNSAVED_STREAMS,
    LedgerReading,
    StreamLedger,
    hash_stream,
)
from berylquay.decisions.stream_versions import MAX_LIST_AGE_S, STREAM_RETENTION_S
from berylquay.platform.store_client import AppendResult, NewestRecordsPage
from berylquay.relay.datagram_wait import split_wait
from berylquay.relay.pool_version_store import PoolVersionStore, decode_record, encode_record
from berylquay.relay.report_fields import compress_fields
from berylquay.relay.version_datagrams import (
    POOL_KIND,
    VERSION_RECORD_TAG,
    PoolRecordNotice,
    StreamsNotice,
    decode_stream_record,
    decode_version_datagram,
    encode_pool_record,
    encode_stream_record,
    encode_streams,
)

UNIX_MS: Final = 1_800_000_000_000
ENTRY: Final = BackendEntry(
    "s", "lm", Address("10.0.0.1", 80), "a", 1, EntryState.READY, Role.DECODE, software_version="v1"
)


def make_history(
    record: PoolVersionRecord | None, *versions: str, era: int | None = 2, age_ms: int = 0
) -> PoolVersionHistory:
    """Returns what a host knows that has just read the list of servers and a record."""
    history = PoolVersionHistory()
    if era is not None:
        history.on_store_era(era)
    history.on_list_confirmed(0.0, 0.0)
    history.on_listed(entries(*versions), 0.0)
    assert history.needs_read
    records = {} if record is None else {"lm": record}
    history.on_records_read(records, 0.0, 0.0, UNIX_MS + age_ms)
    return history


def entries(*versions: str) -> list[BackendEntry]:
    return [
        evolve(ENTRY, name=f"s-{number}", software_version=version)
        for number, version in enumerate(versions)
    ]


# Guards against a version that is taken for the only one though streams may have begun at another.
@pytest.mark.parametrize(
    ("record", "listed", "age_s", "expected"),
    [
        (PoolVersionRecord(frozenset({"v1"}), {}, 2), ("v1",), 0.0, "v1"),
        # A server of another version has started since, or the recorded one is gone.
        (PoolVersionRecord(frozenset({"v1"}), {}, 2), ("v1", "v2"), 0.0, None),
        (PoolVersionRecord(frozenset({"v1", "v2"}), {}, 2), ("v2",), 0.0, None),
        # Absence was noticed a minute ago by a host whose clock may be half a minute behind.
        (PoolVersionRecord(frozenset({"v2"}), {"v1": UNIX_MS}, 2), ("v2",), 61.0, None),
        (PoolVersionRecord(frozenset({"v2"}), {"v1": UNIX_MS}, 2), ("v2",), 91.0, "v2"),
        # By a host whose clock is ahead.
        (PoolVersionRecord(frozenset({"v2"}), {"v1": UNIX_MS}, 2), ("v2",), -20.0, None),
        # The store came back older, or stated no era when the record was written.
        (PoolVersionRecord(frozenset({"v1"}), {}, 1), ("v1",), 0.0, None),
        (PoolVersionRecord(frozenset({"v1"}), {}, None), ("v1",), 0.0, None),
        (None, ("v1",), 0.0, None),
    ],
)
def test_a_host_that_has_started_knows_the_only_version_from_the_record(
    record: PoolVersionRecord | None, listed: tuple[str, ...], age_s: float, expected: str | None
) -> None:
    history = make_history(record, *listed, age_ms=round(age_s * 1000))
    assert history.only_version("lm", entries(*listed), 0.1) == expected


def test_a_gap_in_the_list_voids_the_record() -> None:
    history = make_history(PoolVersionRecord(frozenset({"v1"}), {}, 2), "v1")
    assert history.only_version("lm", entries("v1"), 1.0) == "v1"
    history.on_list_confirmed(0.0, 5.0)
    history.on_list_confirmed(6.0, 6.0)
    assert history.only_version("lm", entries("v1"), 6.0) is None
    assert history.needs_read
    records = {"lm": PoolVersionRecord(frozenset({"v1"}), {}, 2)}
    history.on_records_read(records, 6.0, 6.1, UNIX_MS)
    assert history.only_version("lm", entries("v1"), 6.1) == "v1"


# Guards against a host that was suspended and takes its list, and the record, for current.
def test_a_suspension_voids_the_list_until_it_is_confirmed_again() -> None:
    history = make_history(PoolVersionRecord(frozenset({"v1"}), {}, 2), "v1")
    for now_s, boot_s in ((1.0, 101.0), (1.5, 101.8), (1.6, 131.6)):
        history.on_clocks(now_s, boot_s)
        history.on_list_confirmed(1.0, now_s)
    assert history.only_version("lm", entries("v1"), 1.6) is None
    assert not history.needs_read
    history.on_list_confirmed(1.7, 1.8)
    assert history.needs_read


# Guards against streams that begin at a version of which a host that starts anew would not know.
def test_streams_begin_at_recorded_versions() -> None:
    record = PoolVersionRecord(frozenset({"v1"}), {}, 2)
    history = make_history(record, "v1", "v2")
    assert history.recorded_versions("lm") == {"v1"}
    assert history.has_unrecorded("lm")
    assert history.is_record_outdated("lm", 0.1)
    history.on_record("lm", history.make_record("lm", 0.1, UNIX_MS), 0.1, UNIX_MS, current_s=0.1)
    assert history.recorded_versions("lm") == {"v1", "v2"}
    assert not history.is_record_outdated("lm", 0.2)
    # An absent version is recorded again before streams begin at it again.
    history.on_listed(entries("v2"), 1.0)
    assert not history.is_record_outdated("lm", 1.0 + ABSENCE_DELAY_S - 0.1)
    history.on_listed(entries("v2"), 1.0 + ABSENCE_DELAY_S)
    assert history.is_record_outdated("lm", 1.0 + ABSENCE_DELAY_S)
    assert history.recorded_versions("lm") == {"v2"}
    # What was recorded in a former era may be lost.
    history.on_store_era(3)
    assert not history.recorded_versions("lm")


def test_a_record_keeps_absent_versions_for_some_time() -> None:
    record = PoolVersionRecord(frozenset({"v1", "v3"}), {"v0": UNIX_MS}, 2)
    history = make_history(record, "v2")
    now_s = ABSENCE_DELAY_S
    unix_ms = UNIX_MS + 50_000
    written = history.make_record("lm", now_s, unix_ms)
    assert written.present == {"v2"}
    assert written.absent_unix_ms == {"v0": UNIX_MS, "v1": unix_ms, "v3": unix_ms}
    later_s = ABSENT_VERSION_S + 1.0
    written = history.make_record("lm", later_s, UNIX_MS + DROP_ABSENT_MS)
    assert "v0" not in written.absent_unix_ms


# Guards against a record that a host certifies for the new era without knowing the last minute.
def test_a_record_of_a_former_era_is_replaced_after_a_minute() -> None:
    history = make_history(PoolVersionRecord(frozenset({"v1"}), {}, 1), "v1")
    assert not history.is_record_outdated("lm", STREAM_RETENTION_S - 0.1)
    assert history.is_record_outdated("lm", STREAM_RETENTION_S)
    assert history.make_record("lm", STREAM_RETENTION_S, UNIX_MS).era == 2


def test_records_and_datagrams_keep_what_they_state() -> None:
    record = PoolVersionRecord(frozenset({"v1", "ü"}), {"v0": UNIX_MS}, 7)
    assert decode_record(encode_record(record)) == record
    notice = PoolRecordNotice("lm", record, 12)
    assert decode_version_datagram(encode_pool_record(notice)) == notice
    streams = tuple(hash_stream(f"c-{number}") for number in range(3))
    assert decode_version_datagram(encode_streams("v1", streams)) == StreamsNotice("v1", streams)
    assert decode_stream_record(encode_stream_record("v1", streams)) == StreamsNotice("v1", streams)


@pytest.mark.parametrize("data", [b"", b"x", b"\xff" * 30, b"{}", b"[]", b"null", b"\x82\x01\x02"])
def test_malformed_records_and_datagrams_are_ignored(data: bytes) -> None:
    assert decode_version_datagram(VERSION_RECORD_TAG + data) is None
    assert decode_stream_record(data) is None
    assert decode_record(data) is None


@pytest.mark.parametrize("number", [float("inf"), 10**400, -1, "1", True, None])
def test_numbers_out_of_range_are_refused(number: object) -> None:
    fields: list[object] = [POOL_KIND, "lm", ["v1"], {"v0": number}, 2, 1]
    data = VERSION_RECORD_TAG + compress_fields(fields)
    assert decode_version_datagram(data) is None
    value = {"present": ["v1"], "absent": {"v0": number}, "era": 2}
    assert decode_record(json.dumps(value).encode()) is None


def test_streams_that_could_not_be_written_wait_within_a_bound() -> None:
    ledger = StreamLedger()
    ledger.collect("v1", [hash_stream("c-0")], 0.0)
    taken = ledger.take_unsaved()
    assert not ledger.has_unsaved
    ledger.put_back(taken)
    assert ledger.take_unsaved() == taken
    ledger.collect("v2", [hash_stream(f"d-{n}") for n in range(MAX_UNSAVED_STREAMS + 10)], 1.0)
    assert len(ledger.take_unsaved()) == MAX_UNSAVED_STREAMS
    # The store came back older: what was collected within the retention time is written again.
    ledger.on_store_restored(STREAM_RETENTION_S + 0.5)
    assert hash_stream("c-0") not in ledger.take_unsaved()
    assert ledger.find("d-1") == "v2"
    ledger.expire(STREAM_RETENTION_S + 1.0)
    assert ledger.find("d-1") is None


@pytest.mark.parametrize(
    ("end_offset", "record_bytes", "least_streams"),
    [(50, 100, 50), (30_000, 100, 12_000), (30_000, 1_000, 3_000)],
)
def test_only_the_newest_part_of_a_topic_is_read(
    end_offset: int, record_bytes: int, least_streams: int
) -> None:
    reading, offset, read_bytes = LedgerReading(12_000, 4_000_000), 0, 0
    read: set[int] = set()
    for page in range(40):
        records = min(end_offset - offset, max(1, (1_000_000 if page else 1_000) // record_bytes))
        read.update(range(offset, offset + records))
        read_bytes += records * record_bytes
        is_end = reading.on_page(offset + records, end_offset, records, records * record_bytes)
        if is_end:
            break
        assert reading.next_offset is not None
        offset = reading.next_offset
    assert read.issuperset(range(end_offset - least_streams, end_offset))
    assert read_bytes <= 4_100_000


# Guards against a take-up that a host decides right after it stood still, before its next tick.
def test_an_only_version_is_not_concluded_from_a_list_that_is_too_old_now() -> None:
    history = PoolVersionHistory(is_first_start=True)
    history.on_list_confirmed(0.0, 0.0)
    history.on_records_read({"lm": PoolVersionRecord(frozenset({"v1"}))}, 0.1, 0.1, UNIX_MS)
    assert history.only_version("lm", entries("v1"), MAX_LIST_AGE_S) == "v1"
    assert history.only_version("lm", entries("v1"), MAX_LIST_AGE_S + 0.1) is None


class WaitingClient:
    """Keeps the answers to a host's calls until the test delivers them."""

    busy = False

    def __init__(self) -> None:
        self.on_result: Any = None

    def on_tick(self, _now_s: float) -> None:
        """Does nothing: no call fails."""

    def read_newest(self, _topic: str, _after: str, on_result: Callable[..., None]) -> None:
        self.busy, self.on_result = True, on_result

    def append(
        self, _topic: str, _contents: object, on_result: Callable[..., None], **_options: object
    ) -> None:
        self.busy, self.on_result = True, on_result

    def answer(self, result: object) -> None:
        self.busy = False
        self.on_result(result)


# Guards against a record that counts as current when its writer reads the answer, long after the
# store gave it: another group may have recorded a further version since.
def test_a_written_record_is_as_old_as_the_call() -> None:
    client, registry, sent = WaitingClient(), BackendRegistry(), list[bytes]()
    registry.on_entry(ENTRY)
    history = PoolVersionHistory()
    history.on_list_confirmed(0.0, 0.0)
    current_s: list[float] = []
    boot_s = 0.0
    store = PoolVersionStore(
        history=history,
        registry=registry,
        store_client=client,  # type: ignore[arg-type]
        metrics=Mock(),
        rng=Random(1),
        unix_ms=lambda: UNIX_MS,
        boot_clock=lambda: boot_s,
        is_first_of_group=lambda _now_s: True,
        send_to_group=sent.append,
        on_read=lambda _now_s: None,
    )
    store.pools = frozenset({"lm"})
    history.on_record = (  # type: ignore[method-assign]
        lambda *_arguments, **times: current_s.append(times["current_s"])
    )
    now_s = 0.0
    while not sent:
        now_s += 0.5
        boot_s = now_s
        store.on_tick(now_s)
        if client.busy and client.on_result == store._on_newest:
            client.answer(NewestRecordsPage((), False, 0))
        if client.busy and client.on_result == store._on_appended:
            # The machine is suspended before the answer is read.
            boot_s += 7.0
            client.answer(AppendResult(0))
    content, wait_ms = split_wait(sent[0])
    assert isinstance(decode_version_datagram(content), PoolRecordNotice)
    assert wait_ms == 7000
    assert current_s == [now_s]
