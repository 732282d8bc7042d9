"""Which start of a server a connection leads to, from entries and answers."""

import pytest

from berylquay.decisions.server_starts import MAX_STARTS, ServerStarts
from berylquay.decisions.stream_ledger import StreamLedger, hash_stream
from berylquay.decisions.stream_versions import (
    PENDING_VERSION,
    UNLISTED_VERSION,
    StreamVersions,
    choose_version,
)

LISTED, NEWER = 1000, 2000


def make_starts(now_s: float = 0.0) -> ServerStarts:
    starts = ServerStarts()
    starts.on_listed("engine", LISTED, now_s)
    return starts


# Guards against a connection that is taken for one to the listed start although the engine may have
# started again between its last answer and the connection.
@pytest.mark.parametrize(
    ("asked_s", "expected"), [(0.9, 0), (1.0, 0), (1.1, LISTED), (2.0, LISTED)]
)
def test_a_start_must_have_answered_after_the_connection_was_established(
    asked_s: float, expected: int
) -> None:
    starts = make_starts()
    starts.on_answered("engine", LISTED, asked_s, asked_s + 0.01)
    assert starts.find("engine", opened_s=1.0, established_s=1.1) == expected


# Guards against a connection that the former start has accepted and that is taken for one to the
# newer start, which answers from then on.
def test_a_newer_start_counts_for_connections_that_were_opened_once_it_was_known() -> None:
    starts = make_starts()
    assert starts.on_answered("engine", NEWER, 1.2, 1.3)
    assert starts.find("engine", opened_s=1.0, established_s=1.1) == 0
    assert not starts.on_answered("engine", NEWER, 1.6, 1.7)
    assert starts.find("engine", opened_s=1.4, established_s=1.5) == NEWER
    assert starts.has_newer("engine", LISTED)
    assert not starts.has_newer("engine", NEWER)


# Guards against an engine whose connections broke and that is trusted until its entry follows, and
# against one that is doubted for good.
def test_a_lost_connection_casts_doubt_until_the_start_answers() -> None:
    starts = make_starts()
    assert not starts.is_doubted("engine", LISTED)
    starts.on_doubt("engine", 1.0)
    assert starts.is_doubted("engine", LISTED)
    starts.on_answered("engine", LISTED, 0.9, 1.1)
    assert starts.is_doubted("engine", LISTED)
    starts.on_answered("engine", LISTED, 1.2, 1.3)
    assert not starts.is_doubted("engine", LISTED)
    starts.on_answered("engine", NEWER, 1.4, 1.5)
    assert starts.is_doubted("engine", LISTED)
    assert starts.is_doubted("unknown", LISTED)


def test_the_starts_of_one_server_are_bounded() -> None:
    starts = make_starts()
    for number in range(MAX_STARTS):
        starts.on_answered("engine", NEWER + number, 1.0, 1.0)
    assert not starts.on_answered("engine", NEWER, 2.0, 2.0)
    assert starts.on_answered("engine", LISTED, 2.0, 2.0)
    starts.forget("engine")
    assert starts.find("engine", 3.0, 3.0) == 0


# Guards against keepers that forget what is known of a stream because messages about it overtake
# each other: its version was not known at first, or another start than the listed one has begun it.
@pytest.mark.parametrize(
    ("first", "second", "expected"),
    [
        (PENDING_VERSION, "v1", "v1"),
        ("v1", PENDING_VERSION, "v1"),
        ("v1", UNLISTED_VERSION, UNLISTED_VERSION),
        (UNLISTED_VERSION, "v1", UNLISTED_VERSION),
        (PENDING_VERSION, UNLISTED_VERSION, UNLISTED_VERSION),
        ("v1", "v2", "v2"),
    ],
)
def test_what_is_certain_of_a_stream_stays(first: str, second: str, expected: str) -> None:
    assert choose_version(first, second) == expected
    versions, ledger = StreamVersions(), StreamLedger()
    for now_s, version in ((1.0, first), (2.0, second)):
        versions.record("call-1", version, now_s)
        ledger.collect(version, [hash_stream("call-1")], now_s)
        ledger.record_begun("pool", hash_stream("call-1"), version, now_s)
    assert versions.find("call-1") == ledger.find("call-1") == expected
    assert list(ledger.take_unsaved().values()) == [expected]
    assert ledger.begun_streams("pool", 3.0) == {expected: [hash_stream("call-1")]}
