"""Ends of answers without length and chunks that neither a killed nor a sound server explains."""

import json
import time
from pathlib import Path

import pytest

from berylquay.decisions.response_end import InstanceEvidence, InstanceState
from tests.relay.test_ended_servers import (
    EVENT_INTERVAL_MS,
    EVENTS,
    WHOLE,
    add_engines,
    begin,
    read,
    read_answer,
    start,
    start_plain,
)
from tests.support.relay_fleet import PATHS, RelayFleet
from tests.support.scripted_backend import STARTED_UNIX_MS

DEADLINE_MS = 520


# Guards against a stream that looks whole although its server, which runs, has stopped at the
# deadline that it was handed.
@pytest.mark.parametrize("kind", ["stream", "resumable"])
def test_a_stream_that_its_server_stops_at_the_deadline_is_not_complete(
    fleet: RelayFleet, kind: str
) -> None:
    start(fleet, engines=1, stops_at_deadline=True)
    received = read(*begin(fleet, kind, "call-1", deadline_ms=DEADLINE_MS))
    assert 0 < len(received.event_ids) < EVENTS
    assert not received.is_complete


# Guards against a proof that the instance has run since the end, lost before it is used because a
# later question has failed.
def test_a_later_failure_does_not_undo_what_an_answer_has_shown() -> None:
    evidence = InstanceEvidence()
    evidence.on_result(InstanceState.RUNNING, "status 200", asked_s=10.0)
    evidence.on_failure("ECONNRESET", 10.01, 10.02, was_refused=False)
    assert evidence.state_since(10.0) is InstanceState.RUNNING
    assert evidence.state_since(10.01) is InstanceState.UNKNOWN


# Guards against sound content that is quarantined because servers were slow to say that they run.
def test_ends_in_doubt_quarantine_no_content(fleet: RelayFleet) -> None:
    start(fleet, engines=1, report_delay_s=10.0)
    target = f"{PATHS['stream']}same"
    for number in range(3):
        read(*begin(fleet, "stream", f"call-{number}", target=target))
        time.sleep(0.5)
    fleet.backends["decode-0"].post("/faults", {"unframed": True})
    answer = read_answer(*begin(fleet, "stream", "call-3", target=target))
    assert (answer.status, answer.to_received()) == (200, WHOLE)


# Guards against a whole stream that is broken off because the partition that refuses this host's
# new connections began while the stream lived on.
@pytest.mark.parametrize("kind", ["stream", "resumable"])
def test_a_whole_stream_that_lives_on_in_a_partition_is_complete(
    fleet: RelayFleet, tmp_path: Path, kind: str
) -> None:
    add_engines(fleet, engines=2)
    state: dict[str, object] = {"mode": "", "ports": [], "full_mesh_hosts": None, "tarpit": 0}
    state_file = tmp_path / "partition.json"
    state_file.write_text(json.dumps(state), encoding="utf-8")
    fleet.add_host("cut", partition_file=state_file)
    fleet.add_host("gateway")
    time.sleep(1.0)
    stream = begin(fleet, kind, "call-1")
    time.sleep(0.3)
    state |= {"mode": "refuse", "ports": [process.port for process in fleet.backends.values()]}
    state_file.write_text(json.dumps(state), encoding="utf-8")
    assert read(*stream) == WHOLE


# Guards against a whole stream that is broken off because its host stood still while it asked.
def test_a_whole_stream_whose_host_stands_still_while_it_asks_is_complete(
    fleet: RelayFleet,
) -> None:
    start(fleet, engines=1, report_delay_s=0.4)
    stream = begin(fleet, "stream", "call-1", deadline_ms=3900)
    time.sleep(EVENTS * EVENT_INTERVAL_MS / 1000.0 + 0.25)
    fleet.hosts[0].pause()
    time.sleep(2.2)
    fleet.hosts[0].resume()
    assert read(*stream) == WHOLE


# Guards against a sound server with a limit on its requests that gets none for long because each
# end of an answer uses a permit.
def test_questions_do_not_use_up_the_permits_of_a_limited_server(fleet: RelayFleet) -> None:
    start(fleet, engines=1)
    streams = []
    for number in range(40):
        streams.append(begin(fleet, "stream", f"call-{number}"))
        time.sleep(0.02)
    fleet.backends["decode-0"].post("/faults", {"unframed": True, "limit_per_s": 4.0})
    for stream in streams:
        assert read(*stream) == WHOLE
    time.sleep(1.0)
    answer = read_answer(*begin(fleet, "stream", "later"))
    assert (answer.status, answer.to_received()) == (200, WHOLE)


# Guards against a whole stream that is broken off because its server, which runs, has asked for a
# pause before the stream ended.
def test_a_whole_stream_of_a_server_that_wants_a_pause_is_complete(fleet: RelayFleet) -> None:
    start(fleet, engines=1)
    stream = begin(fleet, "stream", "call-1")
    time.sleep(0.3)
    fleet.backends["decode-0"].post("/faults", {"unframed": True, "pause_s": 20.0})
    assert read_answer(*begin(fleet, "stream", "call-2")).status == 503
    assert read(*stream) == WHOLE


# Guards against a whole answer that is replaced by a failure long before its deadline because its
# server is full: a health check waits for a slot like any other request.
def test_a_whole_answer_of_a_full_plain_server_is_passed_on(fleet: RelayFleet) -> None:
    start_plain(fleet)
    fleet.backends["app-0"].post("/faults", {"unframed_bytes": True, "health_delay_s": 2.3})
    assert read_answer(*begin(fleet, "once", "call-1")).status == 200


# Guards against an answer that promises that a request has not run, given at the deadline while the
# end of the server's own answer was in doubt.
def test_a_call_whose_deadline_passes_while_its_end_is_in_doubt_is_not_said_to_have_not_run(
    fleet: RelayFleet,
) -> None:
    start_plain(fleet)
    fleet.backends["app-0"].post("/faults", {"unframed_bytes": True, "health_delay_s": 10.0})
    answer = read_answer(*begin(fleet, "once", "call-1", deadline_ms=1500))
    assert len(fleet.runs("app-0")) == 1
    assert answer.status == 504


def start_again_without_entry(fleet: RelayFleet) -> None:
    """Starts an engine, and another start of it whose entry does not follow."""
    add_engines(fleet, 1)
    fleet.add_host()
    engine = fleet.backends["decode-0"]
    engine.kill()
    arguments = ["--port", str(engine.port), "--name", "decode-0", "--role", "decode"]
    arguments += ["--events", str(EVENTS), "--interval-ms", str(EVENT_INTERVAL_MS)]
    process = fleet.processes.start(
        "again",
        "standins.platform_backend",
        engine.port,
        *arguments,
        "--born",
        str(STARTED_UNIX_MS + 1),
    )
    process.post("/faults", {"unframed": True})
    time.sleep(0.5)


# Guards against whole streams that are broken off because the server that sent them has started
# again under its name before its new entry is in the list of servers.
def test_a_whole_stream_of_a_newer_start_is_whole_before_its_entry_comes(fleet: RelayFleet) -> None:
    start_again_without_entry(fleet)
    got = [read(*begin(fleet, "stream", f"call-{number}")) for number in range(3)]
    assert got == [WHOLE] * 3


# The same for the streams that follow on the one by which the host has heard of the new start.
def test_whole_streams_of_a_newer_start_that_is_known_are_whole_before_its_entry_comes(
    fleet: RelayFleet,
) -> None:
    start_again_without_entry(fleet)
    read(*begin(fleet, "stream", "call-0"))
    got = [read(*begin(fleet, kind, f"call-{kind}")) for kind in ("stream", "resumable")]
    assert got == [WHOLE] * 2
