"""Streams that go on with another run: each event comes once, in order, and none is missing."""

import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Final

import pytest
from attrs import frozen

from tests.relay.test_ended_servers import Answer, read_answer
from tests.support.relay_fleet import start_relay_fleet
from tests.support.stream_engine import (
    LAST_CHUNK,
    EngineRun,
    RunEnd,
    RunFleet,
    chunk,
    event,
    start_run_fleet,
)


@pytest.fixture(name="run_fleet", scope="module")
def _run_fleet(tmp_path_factory: pytest.TempPathFactory) -> Iterator[RunFleet]:
    """All tests use one fleet; their prompts differ."""
    directory = tmp_path_factory.mktemp("runs")
    with start_relay_fleet(directory) as fleet, start_run_fleet(fleet) as started:
        yield started


def ask(
    run_fleet: RunFleet, kind: str, call_id: str, first: EngineRun, *rest: EngineRun, **headers: str
) -> Answer:
    return read_answer(*run_fleet.begin(kind, call_id, first, *rest, **headers))


def broken(*pieces: bytes) -> EngineRun:
    return EngineRun(pieces, RunEnd.FIN)


@frozen
class Case:
    """A run that breaks off, the one that may follow, and what the caller gets."""

    first: bytes
    second: bytes
    body: bytes
    is_complete: bool
    # `Last-Event-Id` of the second request; None if there is none.
    newest_id: bytes | None


BEGIN: Final = event(1) + event(2)
REST: Final = event(3) + event(4)
UNNAMED: Final = b"data: x\n\n"
LONG_ID: Final = 9007199254740993123


def goes_on(first: bytes, second: bytes, newest_id: object) -> Case:
    return Case(first, second, first + second, True, str(newest_id).encode())


def ends(first: bytes) -> Case:
    """Where to go on is not known."""
    return Case(first, REST, first, False, None)


def unfit(second: bytes) -> Case:
    """The second run does not go on after the first."""
    return Case(BEGIN, second, BEGIN, False, b"2")


CASES: Final = {
    "steps-of-one": goes_on(BEGIN, REST, 2),
    "other-steps": goes_on(event(10) + event(20), event(30), 20),
    "19-digits": goes_on(event(LONG_ID), event(LONG_ID + 1), LONG_ID),
    "two-ids": goes_on(b"id: 1\nid: 2\ndata: a\n\n", REST, 2),
    "comment": goes_on(BEGIN + b": comment\n\n", REST, 2),
    "comment-first": goes_on(BEGIN, b": comment\n\n" + REST, 2),
    "no-id-then-id": goes_on(event(1) + UNNAMED + event(2), REST, 2),
    "no-id": ends(BEGIN + UNNAMED),
    "empty-id": ends(BEGIN + b"id:\ndata: x\n\n"),
    "id-without-colon": ends(BEGIN + b"id\ndata: x\n\n"),
    "no-number": ends(BEGIN + b"id: x\ndata: x\n\n"),
    "number-then-none": ends(BEGIN + b"id: 3\nid: x\ndata: x\n\n"),
    "negative": ends(BEGIN + event(-3)),
    "falls": ends(event(5) + event(3)),
    "twice": ends(BEGIN + event(2)),
    "5000-digits": ends(BEGIN + event("9" * 5000)),
    "begins-anew": unfit(BEGIN + REST),
    "repeats-the-newest": unfit(event(2) + REST),
    "begins-anew-after-a-comment": unfit(b": comment\n\n" + BEGIN + REST),
    "goes-on-without-an-id": unfit(UNNAMED + REST),
    "goes-on-with-no-number": unfit(event("x") + REST),
}


# Guards against a piece that comes twice, or is lost, where the newest event does not tell after
# which one another run goes on, and against a run that goes on elsewhere.
@pytest.mark.parametrize("name", CASES)
def test_a_run_is_joined_only_after_the_newest_event(run_fleet: RunFleet, name: str) -> None:
    case = CASES[name]
    answer = ask(run_fleet, "resumable", name, broken(case.first), EngineRun((case.second,)))
    assert (answer.status, answer.body, answer.is_complete) == (200, case.body, case.is_complete)
    rest = [] if case.newest_id is None else [case.newest_id]
    assert [item for item in run_fleet.newest_ids_sent(name) if item] == rest


LINE_ENDS: Final = {"lf": b"\n", "crlf": b"\r\n", "cr": b"\r"}


def numbered(first: int, last: int, line_end: bytes) -> bytes:
    return b"".join(event(number).replace(b"\n", line_end) for number in range(first, last + 1))


def ids_of(body: bytes) -> list[int]:
    lines = body.replace(b"\r\n", b"\n").replace(b"\r", b"\n").split(b"\n")
    return [int(line[3:]) for line in lines if line.startswith(b"id:")]


# Guards against an event that is lost or comes twice where an answer is cut: in two reads, or by
# the end of its run.
@pytest.mark.parametrize("is_broken", [True, False], ids=["broken", "read"])
@pytest.mark.parametrize("line_end", LINE_ENDS)
def test_events_that_are_cut_anywhere_come_once(
    run_fleet: RunFleet, line_end: str, is_broken: bool
) -> None:
    whole = numbered(1, 4, LINE_ENDS[line_end])
    ends_of_events = [len(numbered(1, count, LINE_ENDS[line_end])) for count in range(5)]

    def ask_cut(cut: int) -> tuple[int, Answer, list[bytes]]:
        call_id = f"{line_end}-{is_broken}-{cut}"
        if not is_broken:
            run = EngineRun((whole[:cut], whole[cut:]))
            return cut, ask(run_fleet, "resumable", call_id, run), []
        # CR alone may end an event before the LF that belongs to it.
        passed = max(
            count
            for count, end in enumerate(ends_of_events)
            if end <= cut + (line_end == "crlf" and count > 0)
        )
        second = EngineRun((numbered(passed + 1, 4, LINE_ENDS[line_end]),))
        answer = ask(run_fleet, "resumable", call_id, broken(whole[:cut]), second)
        return cut, answer, run_fleet.newest_ids_sent(call_id)

    with ThreadPoolExecutor(8) as pool:
        # Before its first whole event, a stream begins anew.
        least = ends_of_events[1] if is_broken else 1
        results = list(pool.map(ask_cut, range(least, len(whole))))
    for cut, answer, newest_ids in results:
        assert (answer.status, answer.is_complete) == (200, True), (cut, answer, newest_ids)
        assert ids_of(answer.body) == [1, 2, 3, 4], (cut, answer, newest_ids)


# Headers of a caller that takes its stream up.
HAS_TWO: Final = {"Last_Event_Id": "2", "Resumes": "earlier"}


# Guards against a caller that takes its stream up and gets the pieces before it again, and against
# a second run that is joined to a first one that has brought nothing.
@pytest.mark.parametrize("kind", ["unfit-twice", "unfit-then-fit", "fit"])
def test_a_stream_that_a_caller_takes_up_goes_on_after_its_newest_event(
    run_fleet: RunFleet, kind: str
) -> None:
    anew, fit = EngineRun((BEGIN, REST)), EngineRun((REST,))
    runs = {"unfit-twice": (anew, anew), "unfit-then-fit": (anew, fit), "fit": (fit,)}[kind]
    answer = ask(run_fleet, "resumable", kind, EngineRun(()), *runs, **HAS_TWO)
    if kind == "unfit-twice":
        assert answer.status == 502
    else:
        assert (answer.status, answer.body, answer.is_complete) == (200, REST, True)
    assert run_fleet.newest_ids_sent(kind) == [b"2"] * len(runs)


# Guards against a stream of another kind of request that is joined from two runs, or is refused
# because its caller says that it has events.
@pytest.mark.parametrize("pieces", [(BEGIN, REST), (REST,)], ids=["whole", "rest"])
def test_a_stream_that_may_not_be_resumed_is_one_run(
    run_fleet: RunFleet, pieces: tuple[bytes, ...]
) -> None:
    call_id, second = f"one-run-{len(pieces)}", EngineRun(pieces)
    answer = ask(run_fleet, "stream", call_id, EngineRun(()), broken(BEGIN), second, **HAS_TWO)
    assert (answer.status, answer.body, answer.is_complete) == (200, BEGIN, False)
    assert run_fleet.newest_ids_sent(call_id) == [b"2"]
    call_id += "-again"
    answer = ask(run_fleet, "stream", call_id, EngineRun(()), second, **HAS_TWO)
    assert (answer.status, answer.body, answer.is_complete) == (200, b"".join(pieces), True)


# Guards against a second run of a request that may run once, after any number of events.
@pytest.mark.parametrize("pieces", [(), (b"id: 1\nda",), (event(1),), (event(1), event(2))])
def test_a_stream_that_may_not_be_resumed_is_not_sent_again(
    run_fleet: RunFleet, pieces: tuple[bytes, ...]
) -> None:
    body = b"".join(pieces)
    call_id = f"broken-{len(body)}"
    answer = ask(run_fleet, "stream", call_id, broken(*pieces), EngineRun((BEGIN, REST)))
    if body.endswith(b"\n\n"):
        assert (answer.status, answer.body, answer.is_complete) == (200, body, False)
    else:
        assert answer.status == 502
    assert run_fleet.newest_ids_sent(call_id) == [b""]


OTHER: Final = event(1, "other") + event(2, "other")
COPY_HEAD: Final = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nServer-Seal: seal\r\n"
STRAY_BYTES: Final = {
    "copy-with-its-id": COPY_HEAD
    + b"Attempt-Id: first\r\nContent-Length: %d\r\n\r\n%b" % (len(OTHER), OTHER),
    "copy-without-id": COPY_HEAD + b"Content-Length: %d\r\n\r\n%b" % (len(OTHER), OTHER),
    "copy-to-the-end": COPY_HEAD + b"Attempt-Id: first\r\n\r\n" + OTHER,
    "chunked-copy": COPY_HEAD
    + b"Attempt-Id: first\r\nTransfer-Encoding: chunked\r\n\r\n"
    + chunk(OTHER)
    + LAST_CHUNK,
    "last-chunk": LAST_CHUNK,
    "chunks": chunk(OTHER) + LAST_CHUNK,
    "events": OTHER,
    "empty-lines": b"\r\n\r\n",
}


# Guards against bytes of an earlier stream that come on its kept connection, before or in the place
# of an answer, and are taken for this one.
@pytest.mark.parametrize("echoes", [True, False], ids=["echo", "no-echo"])
@pytest.mark.parametrize("is_late", [True, False], ids=["with-the-next-answer", "at-once"])
@pytest.mark.parametrize("name", STRAY_BYTES)
def test_the_rest_of_another_stream_is_no_part_of_this_one(
    run_fleet: RunFleet, name: str, is_late: bool, echoes: bool
) -> None:
    stray, prefix = STRAY_BYTES[name], f"{name}-{is_late}-{echoes}"
    kept = sum(engine.kept_answers for engine in run_fleet.engines)
    own = tuple(event(number, "own") for number in range(1, 5))
    for number in range(8):
        first = EngineRun((event(1, "other"),), surplus=b"" if is_late else stray, echoes=echoes)
        ask(run_fleet, "resumable", f"first-{prefix}-{number}", first)
        before = stray if is_late else b""
        whole = EngineRun(own, before=before, echoes=echoes, goes_on=True)
        cut = EngineRun(own[:2], RunEnd.FIN, before=before, echoes=echoes, goes_on=True)
        runs = (whole, whole) if number % 2 else (cut, whole)
        answer = ask(run_fleet, "resumable", f"call-{prefix}-{number}", *runs)
        assert b"other" not in answer.body, (number, answer)
        if answer.is_complete and answer.status == 200:
            assert answer.body == b"".join(own), (number, answer)
        elif answer.status == 200:
            assert b"".join(own).startswith(answer.body), (number, answer)
    if is_late and echoes:
        assert sum(engine.kept_answers for engine in run_fleet.engines) > kept


# Guards against a caller that waits, and an engine that works on, while a run that does not go on
# after the newest event has yet to end.
def test_a_run_that_does_not_go_on_is_given_up_at_once(run_fleet: RunFleet) -> None:
    slow = EngineRun(tuple(event(number) for number in range(1, 5)), interval_s=0.4)
    started_s = time.monotonic()
    answer = ask(run_fleet, "resumable", "given-up", broken(BEGIN), slow)
    assert (answer.body, answer.is_complete) == (BEGIN, False)
    assert time.monotonic() - started_s < 1.0
