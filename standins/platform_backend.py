"""Stand-in for a backend server of the platform: a plain service, or an engine with a role.

It records the requests that arrived and those that it executed (`GET /witness`), and injects faults
(`POST /faults`): reject, fail, fail_prefill (only prefills fail), break_after (the connection is
aborted within the response, after that many events), lose_answer, delay_s, foreign_answer (a
response to another request is sent first), lapsed_handles (no KV cache can be fetched),
other_server (every request gets 421), crash_on_segment (the process ends when it begins to answer a
prompt with that segment), limit_per_s (each answer names that limit on requests), unframed (streams
end with their connection), unframed_bytes (so do a plain service's answers, of an unknown type),
        stops_at_s = self._stops_at_s(request)
        for event_id in range(first_event_id, event_count + 1):
            if time.monotonic() >= stops_at_s:
                break
"""

import asyncio
import json
import os
import secrets
import time
from pathlib import Path
from typing import Final

from attrs import define, field

from standins.http_server import Exchange, StandinRequest, create_standin_parser, run_standin

NOT_EXECUTED_HEADERS: Final = (("Not-Executed", "1"),)
EVENT_DATA_BYTES: Final = 40
# Piece of a plain service's unframed body, which has as many as a stream has events.
PLAIN_PIECE: Final = b"0123456789"
CRASH_EXIT_STATUS: Final = 70


@define
class PlatformBackend:
    """One backend server."""

    name: str
    # Role of an engine, or empty for a plain service.
    role: str
    event_count: int
    event_interval_s: float
    faults: dict[str, object] = field(factory=dict)
    # Per executed request: stage, attempt id, method, target, body and headers. Per accepted order:
    # the stage "order" and the fields of the order.
    executed_requests: list[dict[str, object]] = field(factory=list)
    # Per arrived request, executed or not: monotonic time, attempt id and stage.
    arrivals: list[dict[str, object]] = field(factory=list)
    # Attempts whose stream ended early because the client closed the connection.
    cancelled_attempt_ids: list[str] = field(factory=list)
    # Handles of the KV caches retained for a transfer to another engine.
    kv_handles: list[str] = field(factory=list)
    accepted_order_count: int = 0
    # File to which each event is appended, or None.
    event_log_path: Path | None = None
    # Software version that each event names; empty if none does.
    software_version: str = ""
    # Tenants whose requests are served, or None if nothing is checked.
    tenants: frozenset[str] | None = None
    # Start time in Unix milliseconds that it states in its reports; 0 if it states none.
    started_unix_ms: int = 0
    # Streams that have not ended.
    running_streams: int = 0

    async def handle(self, exchange: Exchange) -> None:
        """Answers one request."""
        request = exchange.request
        if self.faults.get("leaving"):
            exchange.common_headers = (("Server-Leaving", "1"),)
        if "limit_per_s" in self.faults:
            limit_header = (("Server-Limit", str(self.faults["limit_per_s"])),)
            exchange.common_headers += limit_header
        if request.path == "/witness":
            await exchange.send_json(
                200,
                {
                    "ran": self.executed_requests,
                    "arrived": self.arrivals,
                    "cancelled": self.cancelled_attempt_ids,
                    "handles": self.kv_handles,
                },
            )
        elif request.path == "/faults":
            self.faults = request.json_body()
            await exchange.send_json(200, {})
        elif request.path == "/report":
            await self._send_report(exchange)
        elif request.path == "/health":
            await asyncio.sleep(float(str(self.faults.get("health_delay_s", 0.0))))
            await exchange.send_json(200, {}, (("Instance-Id", self.name),))
        elif request.path == "/order":
            await self._handle_order(exchange)
        elif request.path.startswith("/kv-handle/"):
            handle = request.path.removeprefix("/kv-handle/")
            self.kv_handles = [kv_handle for kv_handle in self.kv_handles if kv_handle != handle]
            await exchange.send_json(200, {})
        else:
            await self._serve(exchange)

    async def _send_report(self, exchange: Exchange) -> None:
        if not self.role:
            await exchange.send_json(400, {})
            return
        await asyncio.sleep(float(str(self.faults.get("report_delay_s", 0.0))))
        report: dict[str, object] = {"phase": self.role, "seq": self.accepted_order_count}
        if self.started_unix_ms:
            report["born"] = self.started_unix_ms
        await exchange.send_json(200, report)

    async def _handle_order(self, exchange: Exchange) -> None:
        order = exchange.request.json_body()
        if order.get("expected") != self.accepted_order_count:
            await exchange.send_json(409, {"seq": self.accepted_order_count})
            return
        self.accepted_order_count += 1
        self.role = str(order["phase"])
        self.executed_requests.append({"stage": "order", **order})
        self._write_event("order", holder=order.get("holder"), term=order.get("fence"))
        await exchange.send_json(202, {})

    async def _serve(self, exchange: Exchange) -> None:
        request = exchange.request
        headers = request.headers
        self.arrivals.append(
            {
                "at_s": time.monotonic(),
                "id": headers.get("attempt-id", ""),
                "stage": headers.get("stage", "run"),
            }
        )
        if self.faults.get("other_server") or headers.get("expect-instance") != self.name:
            await exchange.send_json(421, {}, (("Instance-Id", self.name),))
        elif not self._has_expected_tenant(headers):
            tenant = headers.get("tenant", "")
            self._write_event("wrong-tenant", id=headers.get("attempt-id", ""), tenant=tenant)
            await exchange.send_json(400, {"error": "a key, or not the tenant"})
        elif "pause_s" in self.faults:
            self._write_event("paused", id=headers.get("attempt-id", ""))
            retry_after = (("Retry-After", str(self.faults["pause_s"])),)
            await exchange.send_json(503, {}, (*NOT_EXECUTED_HEADERS, *retry_after))
        elif self.faults.get("reject") or self._is_kv_handle_expired(headers):
            await exchange.send_json(503, {}, NOT_EXECUTED_HEADERS)
        elif headers.get("stage") == "prefill" and self.faults.get("fail_prefill"):
            await exchange.send_json(500, {"error": "failed"})
        elif headers.get("stage") == "prefill":
            await self._prefill(exchange)
        else:
            await self._run(exchange)

    def _has_expected_tenant(self, headers: dict[str, str]) -> bool:
        if self.tenants is None:
            return True
        return "authorization" not in headers and headers.get("tenant") in self.tenants

    def _is_kv_handle_expired(self, headers: dict[str, str]) -> bool:
        return bool(self.faults.get("lapsed_handles")) and "kv-source" in headers

    async def _prefill(self, exchange: Exchange) -> None:
        self._record_request(exchange.request, "prefill")
        await asyncio.sleep(self._delay_s())
        if exchange.is_closed():
            self._write_event("cancelled", id=exchange.request.headers.get("attempt-id", ""))
            return
        handle = secrets.token_hex(6)
        self.kv_handles.append(handle)
        await exchange.send_json(200, {"kvHandle": handle, "tokens": 10, "version": 1})

    async def _run(self, exchange: Exchange) -> None:
        request = exchange.request
        self._record_request(request, "run")
        await asyncio.sleep(self._delay_s())
        if self.faults.get("lose_answer"):
            exchange.abort_connection()
            return
        attempt_id_header = (("Attempt-Id", request.headers.get("attempt-id", "")),)
        headers = (*attempt_id_header, ("Server-Seal", f"seal-{self.name}"))
        if self.faults.get("foreign_answer"):
            exchange.send_unsolicited_response((("Attempt-Id", "of-another"), ("Server-Seal", "x")))
        if self.faults.get("fail"):
            await exchange.send_json(500, {"error": "failed"}, headers)
        elif self.role:
            await self._stream(exchange, headers)
        elif self.faults.get("unframed_bytes"):
            await self._send_unframed_bytes(exchange, headers)
        else:
            await exchange.send_json(200, {"echo": request.body.decode("latin-1")}, headers)

    async def _send_unframed_bytes(
        self, exchange: Exchange, headers: tuple[tuple[str, str], ...]
    ) -> None:
        """Sends a body of an unknown type in pieces; it ends with its connection."""
        await exchange.start_unframed_response("application/octet-stream", headers)
        for _ in range(self.event_count):
            await exchange.send_raw_bytes(PLAIN_PIECE)
            await asyncio.sleep(self.event_interval_s)
        exchange.close_connection()

    async def _stream(self, exchange: Exchange, headers: tuple[tuple[str, str], ...]) -> None:
        self.running_streams += 1
        try:
            is_complete = await self._send_events(exchange, headers)
        finally:
            self.running_streams -= 1
        if is_complete and "idle_exit_delay_s" in self.faults and not self.running_streams:
            await asyncio.sleep(float(str(self.faults["idle_exit_delay_s"])))
            os._exit(0)
        if is_complete and "exit_delay_s" in self.faults:
            await asyncio.sleep(float(str(self.faults["exit_delay_s"])))
            os._exit(0)

    async def _send_events(self, exchange: Exchange, headers: tuple[tuple[str, str], ...]) -> bool:
        """Sends a stream; returns whether it is complete."""
        request = exchange.request
        first_event_id = int(request.headers.get("last-event-id", "0")) + 1
        event_count = int(request.headers.get("event-count", self.event_count))
        break_after = int(str(self.faults.get("break_after", event_count + 1)))
        # Without length and chunks, a stream that breaks off ends as cleanly as a complete one.
        is_unframed = bool(self.faults.get("unframed"))
        if is_unframed:
            await exchange.start_unframed_response("text/event-stream", headers)
            send = exchange.send_raw_bytes
        else:
            await exchange.start_stream(headers)
            send = exchange.send_stream_bytes
        if self._crashes_on(request):
            os._exit(CRASH_EXIT_STATUS)
        stops_at_s = self._stops_at_s(request)
        for event_id in range(first_event_id, event_count + 1):
            if time.monotonic() >= stops_at_s:
                break
            if exchange.is_closed():
                self.cancelled_attempt_ids.append(request.headers.get("attempt-id", ""))
                self._write_event("cancelled", id=request.headers.get("attempt-id", ""))
                return False
            if event_id > break_after:
                await send(f"id: {event_id}\nda".encode())
                (exchange.close_connection if is_unframed else exchange.abort_connection)()
                return False
            data = request.headers.get("attempt-id", "").ljust(EVENT_DATA_BYTES, "x")
            if self.software_version:
                data += f" {self.software_version}"
            await send(f"id: {event_id}\ndata: {data}\n\n".encode())
            await asyncio.sleep(self.event_interval_s)
        if is_unframed:
            exchange.close_connection()
        else:
            await exchange.end_response()
        return True

    def _stops_at_s(self, request: StandinRequest) -> float:
        """Returns the monotonic time at which the run stops whatever is missing."""
        if not self.faults.get("stops_at_deadline"):
            return float("inf")
        return time.monotonic() + int(request.headers["deadline-ms"]) / 1000.0

    def _crashes_on(self, request: StandinRequest) -> bool:
        items = request.headers.get("prompt-prefix", "").split(",")
        return self.faults.get("crash_on_segment") in [item.partition(":")[0] for item in items]

    def _delay_s(self) -> float:
        return float(str(self.faults.get("delay_s", 0.0)))

    def _write_event(self, event: str, **fields: object) -> None:
        if self.event_log_path is None:
            return
        line = {"at_s": time.monotonic(), "backend": self.name, "event": event, **fields}
        with self.event_log_path.open("a", encoding="utf-8") as file:
            file.write(json.dumps(line) + "\n")

    def _record_request(self, request: StandinRequest, stage: str) -> None:
        headers = request.headers
        self._write_event(
            stage,
            id=headers.get("attempt-id", ""),
            target=request.target,
            tenant=headers.get("tenant", ""),
        )
        self.executed_requests.append(
            {
                "stage": stage,
                "id": headers.get("attempt-id", ""),
                "method": request.method,
                "target": request.target,
                "body": request.body.decode("latin-1"),
                "headers": headers,
            }
        )


def main() -> None:
    """Runs the process that stands in for a backend server of the platform."""
    parser = create_standin_parser("Stand-in for a backend server of the platform.")
    parser.add_argument("--name", required=True)
    parser.add_argument("--role", default="", choices=("", "prefill", "decode"))
    parser.add_argument("--events", type=int, default=4)
    parser.add_argument("--interval-ms", type=float, default=5.0)
    parser.add_argument("--version", default="")
    parser.add_argument("--witness", type=Path)
    parser.add_argument("--tenants", help="tenants to expect, separated by commas")
    parser.add_argument("--born", type=int, default=1000, help="start time in Unix milliseconds")
    arguments = parser.parse_args()
    backend = PlatformBackend(
        arguments.name, arguments.role, arguments.events, arguments.interval_ms / 1000.0
    )
    backend.event_log_path = arguments.witness
    backend.software_version = arguments.version
    backend.started_unix_ms = arguments.born
    if arguments.tenants is not None:
        backend.tenants = frozenset(arguments.tenants.split(","))
    run_standin(arguments, backend.handle)


if __name__ == "__main__":
    main()
