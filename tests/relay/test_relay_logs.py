"""Log lines and metrics of a relay host: limited in rate, non-blocking, and searchable by id."""

import json
import subprocess
import sys
import time
import urllib.request

from berylquay.relay.log_handler import BURST_LINES, LINES_PER_S
from tests.support.relay_fleet import PATHS, RelayFleet

FLOOD_SCRIPT = """
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


def run_flood(*, read_output: bool) -> tuple[bytes, int, float]:
    started_s = time.monotonic()
    process = subprocess.Popen(
        [sys.executable, "-c", FLOOD_SCRIPT, "100" if read_output else "0"],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )
    assert process.stdout is not None and process.stderr is not None
    if not read_output:
        # Nobody reads the pipe until the process has ended.
        process.wait(timeout=60)
    output, errors = process.communicate(timeout=60)
    return output, int(errors), time.monotonic() - started_s


def test_a_flood_of_lines_is_limited_and_dropped_lines_are_counted() -> None:
    output, dropped, _ = run_flood(read_output=True)
    lines = [json.loads(line) for line in output.splitlines()]
    max_lines = BURST_LINES + 3 * LINES_PER_S
    assert 0 < len(lines) <= max_lines + 3
    assert dropped >= 60000 - max_lines
    assert any(line["message"] == "lines dropped" for line in lines)


def test_a_blocked_pipe_does_not_block_the_process() -> None:
    output, dropped, _ = run_flood(read_output=False)
    assert dropped > 0
    # Only the last line may be truncated, where the pipe was full.
    for line in output.splitlines()[:-1]:
        json.loads(line)


def test_a_failed_request_is_logged_with_its_id_and_counted(app_fleet: RelayFleet) -> None:
    for backend in app_fleet.backends.values():
        backend.post("/faults", {"lose_answer": True})
    assert app_fleet.send_request(PATHS["once"], "id-lost", b"b").status == 502
    time.sleep(0.1)
    lines = [line for line in app_fleet.log_lines() if line.get("id") == "id-lost"]
    assert [line["message"] for line in lines] == ["attempt failed", "call ended"]
    assert lines[0]["end"] == "broken"
    assert lines[1]["verdict"] == "may-have-run"
    assert lines[1]["outcome"] == "refused-backend-failed"
    settings = (app_fleet.processes.directory / "host-0.ini").read_text(encoding="utf-8")
    address = settings.split("metrics = ")[1].split()[0]
    with urllib.request.urlopen(f"http://{address}/metrics", timeout=5) as page:
        text = page.read().decode()
    assert 'outcome="refused-backend-failed"' in text
    assert "berylquay_relay_call_seconds_bucket" in text
    assert "berylquay_relay_configuration_version 1" in text.replace("{}", "")
