"""Measures what the configuration costs: `python -m bench.configuration`.

Prints the processor time per record folded, sizes, appends and reads per change, and the bytes that
an idle host exchanges with the log, counted by a relay between them.
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

FOLDS: Final = 300
CHANGES: Final = 20
IDLE_S: Final = 10.0
RELAY_BYTES: Final = 65536


def main() -> None:
    """Runs every measurement and prints a table."""
    example = read_deployment_file(str(EXAMPLES / "jamiat.ini")).unwrap()
    _measure_folds(example)
    _measure_sizes(example)
    with tempfile.TemporaryDirectory() as directory:
        _measure_processes(Path(directory))


def _measure_folds(example: Deployment) -> None:
    for count in (5, 50, 500):
        state = _state_of(example, count)
        record = _record_of(attrs.evolve(example, name="d0"), state)
        begun_s = time.process_time()
        for _ in range(FOLDS):
            apply_record(state, record)
        spent_us = (time.process_time() - begun_s) / FOLDS * 1e6
        _show(f"fold of a change, {count} deployments", f"{spent_us:.0f} us")


def _measure_sizes(example: Deployment) -> None:
    state = _state_of(example, 50)
    record = _record_of(example, state)
    data = encode_records([NewRecord(record.record_id, record.kind, record.fields)])
    _show("change record, the Jamiat example", f"{len(data)} bytes")
    _show_snapshot("50 deployments like it", state)
    tenants = tuple(TenantSpec(f"tenant-{n}") for n in range(980))
    many = attrs.evolve(example, tenants=tenants)
    _show_snapshot("5 deployments, 4,900 tenants", _state_of(many, 5))


def _show_snapshot(text: str, state: ConfigurationState) -> None:
    data = encode_records([NewRecord("snapshot", "snapshot", snapshot_to_json(state))])
    packed = len(compress_snapshot(state))
    _show(f"snapshot record, {text}", f"{len(data)} bytes; to a peer {packed} bytes")


def _state_of(example: Deployment, count: int) -> ConfigurationState:
    state = ConfigurationState()
    for n in range(count):
        classes = tuple(attrs.evolve(c, name=f"{c.name}-{n}") for c in example.classes)
        deployment = attrs.evolve(example, name=f"d{n}", classes=classes)
        state = apply_record(state, _record_of(deployment, state)).state
    return state


def _record_of(deployment: Deployment, state: ConfigurationState) -> LogRecord:
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


def _measure_processes(directory: Path) -> None:
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
    begun_s = time.monotonic()
    waits_s: list[float] = []
    for n in range(CHANGES):
        kind = "undrain" if n % 2 else "drain"
        assert fleet.command("host-0", kind, "host-0").code == 0
        waits_s.append(_wait_for_all(fleet, fleet.configuration("host-0").revision))
    spent_s = time.monotonic() - begun_s
    after = fleet.log.get("/witness")
    appends = int(str(after["appends"])) - int(str(before["appends"]))
    reads = int(str(after["reads"])) - int(str(before["reads"]))
    _show("appends per change", f"{appends / CHANGES:.2f}")
    idle = spent_s * len(fleet.hosts)
    _show("reads per change and host, beyond one a second", _per_change(reads - idle, fleet))
    _show("longest wait for all hosts after acceptance", f"{max(waits_s) * 1000:.0f} ms")


def _wait_for_all(fleet: ConfigurationFleet, revision: int) -> float:
    return sum(fleet.wait_for(name, lambda seen: seen.revision >= revision) for name in fleet.hosts)


def _per_change(reads: float, fleet: ConfigurationFleet) -> str:
    return f"{reads / CHANGES / len(fleet.hosts):.2f}"


def _measure_idle(fleet: ConfigurationFleet) -> None:
    relay = Relay(fleet.log.port)
    relay.start()
    fleet.peers["host-idle"] = _free_port()
    direct = fleet.log.port
    fleet.log.port = relay.port
    fleet.start_host("host-idle", "dc-idle")
    fleet.log.port = direct
    fleet.wait_for("host-idle", lambda seen: seen.up_to_date)
    bytes_before, connections_before = relay.bytes_relayed, relay.connections
    time.sleep(IDLE_S)
    rate = (relay.bytes_relayed - bytes_before) / IDLE_S
    connections = (relay.connections - connections_before) / IDLE_S
    text = f"{rate:.0f} bytes/s in TCP payload over {connections:.1f} connections/s"
    _show("idle host and the log", text)


def _free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


@define(eq=False)
class Relay:
    """Passes connections on to a port and counts their bytes."""

    target: int
    port: int = 0
    bytes_relayed: int = 0
    connections: int = 0

    def start(self) -> None:
        """Begins to accept connections, in threads that end with the process."""
        server = socket.create_server(("127.0.0.1", 0))
        self.port = int(server.getsockname()[1])
        threading.Thread(target=self._accept, args=(server,), daemon=True).start()

    def _accept(self, server: socket.socket) -> None:
        while True:
            inner, _ = server.accept()
            self.connections += 1
            outer = socket.create_connection(("127.0.0.1", self.target))
            for source, sink in ((inner, outer), (outer, inner)):
                threading.Thread(target=self._copy, args=(source, sink), daemon=True).start()

    def _copy(self, source: socket.socket, sink: socket.socket) -> None:
        try:
            while data := source.recv(RELAY_BYTES):
                self.bytes_relayed += len(data)
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            sink.close()


def _show(text: str, value: str) -> None:
    print(f"{text:55} {value}")  # noqa: T201


if __name__ == "__main__":
    main()
