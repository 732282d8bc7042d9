"""Filter in front of circuits.web that refuses malformed, oversized and slow requests."""

import time
from socket import socket

from circuits import BaseComponent, Event, handler
from circuits.net.events import close, write

from berylquay.call_verdicts import Refusal, RefusalReason, Verdict
from berylquay.callers.connection_meter import VIOLATION_STATUS, ConnectionMeter, RequestViolation
from berylquay.callers.responses import refusal_body
from berylquay.callers.server import HttpServer
from berylquay.net.message_bus import BUS
from berylquay.net.process_messages import Tick
from berylquay.settings.host_options import CallerLimits


class RequestLimitFilter(BaseComponent):
    """Enforces the limits on every connection of one HTTP server."""

    # Server whose connections are metered.
    _server: HttpServer
    # Limits on the number of connections and on each connection.
    _limits: CallerLimits
    # Meter by connection.
    _meters: dict[socket, ConnectionMeter]

    def __init__(self, server: HttpServer, limits: CallerLimits) -> None:
        super().__init__(channel=server.channel)
        self._server = server
        self._limits = limits
        self._meters = {}

    @handler("connect")
    def _on_connect(self, sock: socket, _ip: str, _port: int) -> None:
        if len(self._meters) >= self._limits.connections:
            self.fire(close(sock))
            return
        self._meters[sock] = ConnectionMeter(time.monotonic())

    @handler("disconnect")
    def _on_disconnect(self, sock: socket) -> None:
        self._meters.pop(sock, None)

    @handler("read", priority=10.0)
    def _on_read(self, event: Event, sock: socket, data: bytes) -> None:
        meter = self._meters.get(sock)
        if meter is None or self._server.is_response_pending(sock):
            # Pipelining is not supported: a request that arrives before the previous response has
            # ended would be mixed up with it.
            event.stop()
            self.fire(close(sock))
            return
        violation = meter.on_bytes(data, self._limits, time.monotonic())
        if violation is not None:
            event.stop()
            self._refuse(sock, violation)

    @handler("request", priority=10.0)
    def _on_request(self, request: object, _answer: object) -> None:
        sock = getattr(request, "sock", None)
        meter = self._meters.get(sock) if isinstance(sock, socket) else None
        if meter is not None:
            meter.on_request_complete(time.monotonic())

    @handler("Tick", channel=BUS)
    def _on_tick(self, message: Tick) -> None:
        overdue = [
            sock
            for sock, meter in self._meters.items()
            if meter.is_overdue(self._limits, message.now_s)
            and not self._server.is_response_pending(sock)
        ]
        for sock in overdue:
            if self._meters[sock].is_receiving_request:
                self._refuse(sock, RequestViolation.TOO_SLOW)
            else:
                self.fire(close(sock))

    def _refuse(self, sock: socket, violation: RequestViolation) -> None:
        self._meters.pop(sock, None)
        refusal = Refusal(RefusalReason.INVALID, Verdict.NOT_RUN, violation.value)
        body = refusal_body(refusal)
        head = (
            f"HTTP/1.1 {VIOLATION_STATUS[violation]} {violation.value}\r\n"
            f"X-Verdict: {Verdict.NOT_RUN.value}\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n"
            "Connection: close\r\n\r\n"
        )
        self.fire(write(sock, head.encode() + body))
        self.fire(close(sock))
