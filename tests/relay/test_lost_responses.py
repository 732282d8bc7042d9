"""Work whose response was lost: it is not run again, and its caller is not told that it was not."""

from pathlib import Path
from typing import Final

import pytest

from tests.relay.test_gateways import has_line
from tests.relay.test_partitioned_hosts import Partition
from tests.support.relay_fleet import PATHS, RelayFleet, make_configuration, wait_until
from tests.support.scripted_backend import Ending, Script, ScriptedBackend

# Statuses that guarantee that a call has not run.
NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})
HEAD: Final = b"HTTP/1.1 200 OK\r\nAttempt-Id: <id>\r\nServer-Seal: seal\r\n"
LOST_RESPONSES: Final = {
    "no-byte": Script(b"", Ending.FIN),
    "reset": Script(b"", Ending.RESET),
    "part-of-the-head": Script(HEAD, Ending.RESET),
    "part-of-the-body": Script(HEAD + b"Content-Length: 100\r\n\r\nabc", Ending.FIN),
    "silence": Script(b"", Ending.SILENCE),
    "server-error": Script(HEAD.replace(b"200 OK", b"500 No") + b"\r\n", Ending.FIN),
}


def start_servers(fleet: RelayFleet, path: str, script: Script) -> list[ScriptedBackend]:
    """Starts two servers that lose their responses, so that a call could run at another one."""
    fleet.put_configuration(make_configuration())
    pool, role = ("app", "") if path == "once" else ("lm", "decode")
    servers = []
    for number in range(2):
        server = fleet.add_scripted_backend(f"lossy-{number}", pool, b"", Ending.FIN, role)
        server.default_script = script
        servers.append(server)
    return servers


def check_lost(fleet: RelayFleet, path: str, servers: list[ScriptedBackend]) -> None:
    for server in servers:
        server.requests.clear()
    prompt = {"Deadline-Ms": "1200", "Token-Counts": "20,4"}
    status = fleet.send_request(PATHS[path], "id-lost", b"", prompt).status
    runs = [request for server in servers for request in server.requests]
    assert len([request for request in runs if b"id-lost" in request]) == 1
    assert status not in NOT_RUN_STATUSES


# Guards against work that is run again, or reported as not run, after its response was lost.
@pytest.mark.parametrize("kind", LOST_RESPONSES)
@pytest.mark.parametrize("path", ["once", "stream"])
def test_a_lost_response_is_no_refusal(fleet: RelayFleet, path: str, kind: str) -> None:
    servers = start_servers(fleet, path, LOST_RESPONSES[kind])
    fleet.add_host()
    check_lost(fleet, path, servers)


# The same by way of another host.
@pytest.mark.parametrize("kind", LOST_RESPONSES)
def test_a_response_lost_by_way_of_a_gateway_is_no_refusal(
    fleet: RelayFleet, tmp_path: Path, kind: str
) -> None:
    servers = start_servers(fleet, "once", LOST_RESPONSES[kind])
    partition = Partition.make(tmp_path / "partition.json")
    partition.ports = [server.port for server in servers]
    partition.set_mode("")
    fleet.add_host("host-0", partition_file=partition.file)
    fleet.add_host("host-1")
    partition.set_mode("refuse")

    def uses_gateway() -> bool:
        fleet.send_request(PATHS["once"], "id-first", b"", {"Deadline-Ms": "300"})
        return has_line(fleet, 0, "paths to servers lost") and any(
            server.requests for server in servers
        )

    wait_until(uses_gateway)
    check_lost(fleet, "once", servers)
