"""Runs a relay host whose connections to backend servers can be broken from outside.

The first argument is a JSON file that is read at each use of a connection to one of its `ports`;
the other arguments are the relay host's. Its `mode` says what becomes of new connections and of
open ones: nothing (``), `refuse` (open ones live on), `reset`, or `hang` (nothing arrives any more;
new ones go to the listener at `tarpit`, whose backlog is full). In two modes new connections are
established: `reset-on-data` resets a connection once it carries data, and with `silent` nothing
arrives any more at either end. With `full_mesh_hosts`, a fleet of more hosts than that exchanges
summaries between its regions.
"""

import errno
import json
import socket
import sys
from pathlib import Path
from typing import Final
from weakref import WeakSet

from berylquay.decisions import load_sharing_scope
from berylquay.relay import __main__ as relay

LISTENER_HOST: Final = "127.0.0.1"


class PartitionedSocket(socket.socket):
    """A socket that fails as the state file says, once it is connected to one of the ports."""

    state_file: Path
    to_servers: WeakSet[socket.socket] = WeakSet()
    # Connections that were reset as they carried data.
    broken: WeakSet[socket.socket] = WeakSet()

    def connect_ex(self, address: tuple[str, int]) -> int:  # type: ignore[override]
        """Connects, unless the address is to be unreachable."""
        state = json.loads(self.state_file.read_text(encoding="utf-8"))
        if address[1] not in state["ports"]:
            return super().connect_ex(address)
        self.to_servers.add(self)
        if state["mode"] in ("refuse", "reset"):
            return errno.ECONNREFUSED
        if state["mode"] == "hang":
            return super().connect_ex((LISTENER_HOST, state["tarpit"]))
        return super().connect_ex(address)

    def recv(self, size: int, flags: int = 0) -> bytes:
        """Receives, unless the connection is broken."""
        mode = self._mode()
        if mode == "reset" or self in self.broken:
            raise ConnectionResetError(errno.ECONNRESET, "Connection reset by peer")
        if mode in ("hang", "silent"):
            raise BlockingIOError
        return super().recv(size, flags)

    def send(self, data: bytes, flags: int = 0) -> int:  # type: ignore[override]
        """Sends, unless the connection is broken."""
        mode = self._mode()
        if mode == "reset":
            raise ConnectionResetError(errno.ECONNRESET, "Connection reset by peer")
        if mode == "reset-on-data":
            # The data is accepted, and lost with the connection.
            self.broken.add(self)
            self.shutdown(socket.SHUT_RDWR)
            return len(data)
        return len(data) if mode in ("hang", "silent") else super().send(data, flags)

    def _mode(self) -> str:
        if self not in self.to_servers:
            return ""
        return str(json.loads(self.state_file.read_text(encoding="utf-8"))["mode"])


def main() -> None:
    """Runs the relay host with sockets of this kind."""
    PartitionedSocket.state_file = Path(sys.argv.pop(1))
    state = json.loads(PartitionedSocket.state_file.read_text(encoding="utf-8"))
    if state["full_mesh_hosts"] is not None:
        setattr(load_sharing_scope, "MAX_FULL_MESH_HOSTS", state["full_mesh_hosts"])  # noqa: B010
    socket.socket = PartitionedSocket  # type: ignore[misc]
    relay.main()


if __name__ == "__main__":
    main()
