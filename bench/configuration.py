"""Measures the costs of the configuration: `python -m bench.configuration`.

Prints the processor time per record applied, sizes, appends and reads per change, and the bytes
that an idle host exchanges with the log, counted by a proxy between them.
"""

import socket
import tempfile
import threading
import time
from pathlib import Path
from typing import Final

import attrs
from attrs import define

from berylquay.decisions.configuration_snapshots import compress_snapshot, snapshot_to_json
from berylquay.decisions.configuration_state import (
    Change,
    ChangeKind,
    ConfigurationState,
    apply_record,
    change_to_fields,
)
from berylquay.decisions.deployment import Deployment, TenantSpec
from berylquay.settings.deployment_file import read_deployment_file
from berylquay.standalone.records import LogRecord, NewRecord, encode_records
from tests.support.configuration_fleet import ConfigurationFleet
from tests.support.fleet import EXAMPLES

APPLY_REPEATS: Final = 300
CHANGES: Final = 20
IDLE_S: Final = 10.0
RECEIVE_BYTES: Final = 65536


def main() -> None:
    """Runs every measurement and prints a table."""
    example = read_deployment_file(str(EXAMPLES / "jamiat.ini")).unwrap()
    _measure_apply(example)
    _measure_sizes(example)
    with tempfile.TemporaryDirectory() as directory:
        _measure_fleet(Path(directory))


def _measure_apply(example: Deployment) -> None:
    for count in (5, 50, 500):
        state = _make_state(example, count)
        record = _make_record(attrs.evolve(example, name="d0"), state)
        started_s = time.process_time()
        for _ in range(APPLY_REPEATS):
            apply_record(state, record)
        processor_us = (time.process_time() - started_s) / APPLY_REPEATS * 1e6
        _print_row(f"fold of a change, {count} deployments", f"{processor_us:.0f} us")


def _measure_sizes(example: Deployment) -> None:
    state = _make_state(example, 50)
    record = _make_record(example, state)
    data = encode_records([NewRecord(record.record_id, record.kind, record.fields)])
    _print_row("change record, the Jamiat example", f"{len(data)} bytes")
    _print_snapshot_size("50 deployments like it", state)
    tenants = tuple(TenantSpec(f"tenant-{n}") for n in range(980))
    many_tenants = attrs.evolve(example, tenants=tenants)
    _print_snapshot_size("5 deployments, 4,900 tenants", _make_state(many_tenants, 5))


def _print_snapshot_size(label: str, state: ConfigurationState) -> None:
    data = encode_records([NewRecord("snapshot", "snapshot", snapshot_to_json(state))])
    compressed_bytes = len(compress_snapshot(state))
    _print_row(
        f"snapshot record, {label}", f"{len(data)} bytes; to a peer {compressed_bytes} bytes"
    )


def _make_state(example: Deployment, count: int) -> ConfigurationState:
    state = ConfigurationState()
    for n in range(count):
        classes = tuple(attrs.evolve(c, name=f"{c.name}-{n}") for c in example.classes)
        deployment = attrs.evolve(example, name=f"d{n}", classes=classes)
        state = apply_record(state, _make_record(deployment, state)).state
    return state


def _make_record(deployment: Deployment, state: ConfigurationState) -> LogRecord:
    change = Change(
        f"change-{state.applied_offset + 1}",
        ChangeKind.APPLY,
        deployment.name,
        state.revision,
        "operator",
        deployment,
    )
    return LogRecord(
        state.applied_offset + 1, change.change_id, change.kind.value, change_to_fields(change)
    )


def _measure_fleet(directory: Path) -> None:
    fleet = ConfigurationFleet(directory)
    fleet.start(3)
    try:
        for name in fleet.hosts:
            fleet.wait_for(name, lambda seen: seen.up_to_date)
        _measure_changes(fleet)
        _measure_idle(fleet)
    finally:
        fleet.processes.stop_all()


def _measure_changes(fleet: ConfigurationFleet) -> None:
    before = fleet.log.get("/witness")
    started_s = time.monotonic()
    waits_s: list[float] = []
    for n in range(CHANGES):
        kind = "undrain" if n % 2 else "drain"
        assert fleet.command("host-0", kind, "host-0").code == 0
        waits_s.append(_wait_for_all(fleet, fleet.configuration("host-0").revision))
    elapsed_s = time.monotonic() - started_s
    after = fleet.log.get("/witness")
    appends = int(str(after["appends"])) - int(str(before["appends"]))
    reads = int(str(after["reads"])) - int(str(before["reads"]))
    _print_row("appends per change", f"{appends / CHANGES:.2f}")
    idle_reads = elapsed_s * len(fleet.hosts)
    _print_row(
        "reads per change and host, beyond one a second",
        _format_per_change(reads - idle_reads, fleet),
    )
    _print_row("longest wait for all hosts after acceptance", f"{max(waits_s) * 1000:.0f} ms")


def _wait_for_all(fleet: ConfigurationFleet, revision: int) -> float:
    return sum(fleet.wait_for(name, lambda seen: seen.revision >= revision) for name in fleet.hosts)


def _format_per_change(reads: float, fleet: ConfigurationFleet) -> str:
    return f"{reads / CHANGES / len(fleet.hosts):.2f}"


def _measure_idle(fleet: ConfigurationFleet) -> None:
    proxy = CountingProxy(fleet.log.port)
    proxy.start()
    fleet.peers["host-idle"] = _free_port()
    log_port = fleet.log.port
    fleet.log.port = proxy.port
    fleet.start_host("host-idle", "dc-idle")
    fleet.log.port = log_port
    fleet.wait_for("host-idle", lambda seen: seen.up_to_date)
    bytes_before, connections_before = proxy.bytes_forwarded, proxy.connections
    time.sleep(IDLE_S)
    rate = (proxy.bytes_forwarded - bytes_before) / IDLE_S
    connections = (proxy.connections - connections_before) / IDLE_S
    text = f"{rate:.0f} bytes/s in TCP payload over {connections:.1f} connections/s"
    _print_row("idle host and the log", text)


def _free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


@define(eq=False)
class CountingProxy:
    """Forwards TCP connections to a port and counts their bytes."""

    target_port: int
    port: int = 0
    bytes_forwarded: int = 0
    connections: int = 0

    def start(self) -> None:
        """Starts to accept connections, in daemon threads that end with the process."""
        server = socket.create_server(("127.0.0.1", 0))
        self.port = int(server.getsockname()[1])
        threading.Thread(target=self._accept, args=(server,), daemon=True).start()

    def _accept(self, server: socket.socket) -> None:
        while True:
            client, _ = server.accept()
            self.connections += 1
            upstream = socket.create_connection(("127.0.0.1", self.target_port))
            for source, sink in ((client, upstream), (upstream, client)):
                threading.Thread(target=self._copy, args=(source, sink), daemon=True).start()

    def _copy(self, source: socket.socket, sink: socket.socket) -> None:
        try:
            while data := source.recv(RECEIVE_BYTES):
                self.bytes_forwarded += len(data)
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            sink.close()


def _print_row(label: str, value: str) -> None:
    print(f"{label:55} {value}")  # noqa: T201


if __name__ == "__main__":
    main()
