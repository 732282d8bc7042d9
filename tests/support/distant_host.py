"""Runs a relay host whose datagrams are late or lost on the way to the other hosts.

The first argument is a JSON file that is read for each datagram: `delay_s` is the time after which
it is sent, `is_lost` tells whether it is lost, `loss` is the probability of that. The other
arguments are the relay host's.
"""

import json
import random
import socket
import sys
import threading
from pathlib import Path

from berylquay.relay import __main__ as relay


class DistantSocket(socket.socket):
    """A socket whose datagrams take the time that the state file names."""

    state_file: Path

    def sendto(self, data: bytes, address: tuple[str, int]) -> int:  # type: ignore[override]
        """Sends a datagram, at once or later, or loses it."""
        state = json.loads(self.state_file.read_text(encoding="utf-8"))
        if state.get("is_lost") or random.random() < state.get("loss", 0.0):
            return len(data)
        if not state.get("delay_s"):
            return super().sendto(data, address)
        timer = threading.Timer(state["delay_s"], self._send_late, (data, address))
        timer.daemon = True
        timer.start()
        return len(data)

    def _send_late(self, data: bytes, address: tuple[str, int]) -> None:
        super().sendto(data, address)


def main() -> None:
    """Runs the relay host with sockets of this kind."""
    DistantSocket.state_file = Path(sys.argv.pop(1))
    socket.socket = DistantSocket  # type: ignore[misc]
    relay.main()


if __name__ == "__main__":
    main()
