"""Stand-in for the platform's API for orders of servers, which writes their entries to a store."""

import json
import threading
import time
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from attrs import define, field


@define
class ServerCloud:
    """Accepts orders; `register` is called with each server's name and the fields of its entry."""

    service: str
    boot_s: float
    register: Callable[[str, dict[str, object] | None], None]
    # Holder, token, data centre, whether spot, and number of each order.
    orders: list[tuple[str, int, str, bool, int]] = field(factory=list)
    # Data centres and kinds without servers.
    refused: set[tuple[str, bool]] = field(factory=set)
    # Whether the test has ended: servers that boot later are not registered.
    stopped: bool = False
    _servers: dict[tuple[str, bool], list[str]] = field(factory=dict)
    _born: int = 0
    _lock: threading.Lock = field(factory=threading.Lock)

    def add_present(self, data_centre: str, number: int) -> None:
        """Registers on-demand servers that were there before any order."""
        for _ in range(number):
            self._add(data_centre, spot=False)

    def on_order(self, holder: str, token: int, fields: dict[str, object]) -> int:
        """Carries out an order and returns the status."""
        assert fields["service"] == self.service
        data_centre, spot = str(fields["zone"]), fields.get("spot") is True
        desired = int(str(fields["desired"]))
        with self._lock:
            self.orders.append((holder, token, data_centre, spot, desired))
            present = self._servers.setdefault((data_centre, spot), [])
            if (data_centre, spot) in self.refused and desired > len(present):
                return 409
            while len(present) > desired:
                self.register(present.pop(), None)
            missing = desired - len(present)
        threading.Timer(self.boot_s, self._boot, (data_centre, spot, missing)).start()
        return 200

    def _boot(self, data_centre: str, spot: bool, number: int) -> None:
        with self._lock:
            for _ in range(0 if self.stopped else number):
                self._add(data_centre, spot=spot)

    def _add(self, data_centre: str, *, spot: bool) -> None:
        self._born += 1
        name = f"s-{self._born}"
        self._servers.setdefault((data_centre, spot), []).append(name)
        entry: dict[str, object] = {"zone": data_centre, "born": int(time.time() * 1000)}
        self.register(name, {**entry, "spot": True} if spot else entry)

    def counts(self) -> dict[tuple[str, bool], int]:
        """Returns the present servers by data centre and whether they are spot servers."""
        with self._lock:
            return {key: len(names) for key, names in self._servers.items() if names}


def serve_cloud(cloud: ServerCloud) -> ThreadingHTTPServer:
    """Returns a server that answers orders in a thread of its own, until its shutdown."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def do_POST(self) -> None:
            body = self.rfile.read(int(self.headers["Content-Length"]))
            status = 404
            if self.path == "/scale":
                token = int(self.headers["Fence-Token"])
                status = cloud.on_order(self.headers["Duty-Holder"], token, json.loads(body))
            self.send_response(status)
            self.send_header("Content-Length", "0")
            self.end_headers()

        def log_message(self, *_arguments: object) -> None:
            """Writes nothing."""

    server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server
