"""Log lines and metrics of a relay host: bounded, never blocking, and enough to find a cause."""

import json
import subprocess
import sys
import time
import urllib.request

from berylquay.relay.log_handler import BURST_LINES, LINES_PER_S
from tests.support.relay_fleet import PATHS, RelayFleet

FLOOD = """
import time, logbook
from berylquay.relay.log_handler import StdoutLogHandler
lines = StdoutLogHandler("info")
lines.push_application()
log = logbook.Logger("flood")
for second in range(3):
    for number in range(20000):
        log.info("decision", id=str(number), detail="x" * 100)
    lines.on_tick(float(second))
import sys
for _ in range(int(sys.argv[1])):
    lines.flush()
    time.sleep(0.01)
sys.stderr.write(str(lines.dropped_lines))
"""


def flood(*, read: bool) -> tuple[bytes, int, float]:
    begun_s = time.monotonic()
    process = subprocess.Popen(
        [sys.executable, "-c", FLOOD, "100" if read else "0"],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )
    assert process.stdout is not None and process.stderr is not None
    if not read:
        # Nobody reads until the process has ended.
        process.wait(timeout=60)
    output, errors = process.communicate(timeout=60)
    return output, int(errors), time.monotonic() - begun_s


def test_a_flood_of_lines_is_bounded_and_what_was_dropped_is_counted() -> None:
    output, dropped, _ = flood(read=True)
    lines = [json.loads(line) for line in output.splitlines()]
    most = BURST_LINES + 3 * LINES_PER_S
    assert 0 < len(lines) <= most + 3
    assert dropped >= 60000 - most
    assert any(line["message"] == "lines dropped" for line in lines)


def test_a_reader_that_stands_still_does_not_hold_the_process_up() -> None:
    output, dropped, _ = flood(read=False)
    assert dropped > 0
    # Whole lines only, but for the last one that the pipe took in part.
    for line in output.splitlines()[:-1]:
        json.loads(line)


def test_a_failed_request_is_found_by_its_id_and_counted(plain: RelayFleet) -> None:
    for backend in plain.backends.values():
        backend.post("/faults", {"lose_answer": True})
    assert plain.ask(PATHS["once"], "id-lost", b"b").status == 502
    time.sleep(0.1)
    lines = [line for line in plain.log_lines() if line.get("id") == "id-lost"]
    assert [line["message"] for line in lines] == ["attempt failed", "call ended"]
    assert lines[0]["end"] == "broken"
    assert lines[1]["verdict"] == "may-have-run"
    assert lines[1]["outcome"] == "refused-backend-failed"
    settings = (plain.processes.directory / "host-0.ini").read_text(encoding="utf-8")
    address = settings.split("metrics = ")[1].split()[0]
    with urllib.request.urlopen(f"http://{address}/metrics", timeout=5) as page:
        text = page.read().decode()
    assert 'outcome="refused-backend-failed"' in text
    assert "berylquay_relay_call_seconds_bucket" in text
    assert "berylquay_relay_configuration_version 1" in text.replace("{}", "")
