"""The log client against the log stand-in: lost and late answers, outages, grouped appends."""

from collections.abc import Iterator
from pathlib import Path

import pytest

from examples.processes import Process, Processes
from tests.support.log_bench import LogBench


@pytest.fixture
def log(tmp_path: Path) -> Iterator[Process]:
    processes = Processes(tmp_path)
    yield processes.start_standin("log", "log")
    processes.stop_all()


def test_appended_record_is_read_by_the_follower(log: Process) -> None:
    bench = LogBench(log.port)
    bench.follow()
    bench.append("a")
    bench.run_until(lambda: len(bench.records) == 1)
    assert bench.records[0].record_id == "a"
    assert bench.records[0].offset == 1
    assert bench.reachable == [True]


def test_append_with_lost_answer_is_settled_by_reading(log: Process) -> None:
    log.post("/faults", {"lose_answers": 1})
    bench = LogBench(log.port)
    bench.follow()
    bench.append("a")
    bench.run_until(lambda: bool(bench.records))
    bench.append("b")
    bench.run_until(lambda: bench.records[-1].record_id == "b")
    assert {record.record_id for record in bench.records} == {"a", "b"}
    assert not bench.failed
    assert not bench.unsettled


def test_dropped_append_is_retried_under_its_id(log: Process) -> None:
    log.post("/faults", {"drop_appends": 2})
    bench = LogBench(log.port)
    bench.follow()
    bench.append("a")
    bench.run_until(lambda: bool(bench.records))
    assert [record.record_id for record in bench.records] == ["a"]


def test_append_that_was_never_sent_is_reported_as_failed(log: Process) -> None:
    log.kill()
    bench = LogBench(log.port)
    bench.append("a", timeout_s=0.3)
    bench.run_until(lambda: bench.failed == ["a"])
    assert not bench.unsettled


def test_unanswered_append_is_unsettled_not_failed(log: Process) -> None:
    log.pause()
    bench = LogBench(log.port)
    bench.append("a", timeout_s=0.3)
    bench.run_until(lambda: bench.unsettled == ["a"])
    assert not bench.failed
    log.resume()
    bench.follow()
    bench.run_until(lambda: [record.record_id for record in bench.records] == ["a"])


def test_unresponsive_log_is_detected_and_its_recovery_too(log: Process) -> None:
    bench = LogBench(log.port)
    bench.follow()
    bench.run_until(lambda: bench.reachable == [True])
    log.pause()
    bench.run_until(lambda: bench.reachable == [True, False])
    log.resume()
    bench.run_until(lambda: bench.reachable == [True, False, True])


def test_groupable_records_share_appends(log: Process) -> None:
    bench = LogBench(log.port)
    bench.follow()
    names = [f"r{n}" for n in range(150)]
    for name in names:
        bench.append(name, groupable=True)
    bench.run_until(lambda: len(bench.records) == len(names))
    assert [record.record_id for record in bench.records] == names
    assert int(str(log.get("/witness")["appends"])) <= 4


def test_reads_of_an_idle_stream_are_spaced(log: Process) -> None:
    bench = LogBench(log.port)
    bench.follow()
    bench.run_until(lambda: len(bench.reads) == 3)
    assert bench.reads[2].sent_s - bench.reads[1].sent_s >= 0.9
