"""Stand-in for a backend server of the platform: a plain service, or an engine with a role.

It notes what it ran (`GET /witness`) and takes faults (`POST /faults`): reject, fail, break_off
(the connection ends within the answer), lose_answer, delay_s, foreign_answer (an answer to another
request comes first), lapsed_handles (no KV cache can be fetched), other_server (every request
gets 421). With `--witness` it also writes each thing that it does to a file at once, with the
monotonic time, so that nothing is lost when it is killed.
"""

import asyncio
import json
import secrets
import time
from pathlib import Path
from typing import Final

from attrs import define, field

from standins.http_server import Exchange, StandinRequest, run_standin, standin_parser

NOT_EXECUTED: Final = (("Not-Executed", "1"),)
EVENT_BYTES: Final = 40


@define
class PlatformBackend:
    """One backend server."""

    name: str
    # Role of an engine, or empty for a plain service.
    role: str
    events: int
    interval_s: float
    faults: dict[str, object] = field(factory=dict)
    # What ran: attempt id, method, target, body, stage and the headers that the system set.
    ran: list[dict[str, object]] = field(factory=list)
    # Runs that ended early since their connection was closed.
    cancelled: list[str] = field(factory=list)
    # Prompts that are kept for another engine.
    handles: list[str] = field(factory=list)
    accepted_orders: int = 0
    # File for what it does, or None.
    witness: Path | None = None

    async def handle(self, exchange: Exchange) -> None:
        """Answers one request."""
        request = exchange.request
        if request.path == "/witness":
            await exchange.answer(
                200, {"ran": self.ran, "cancelled": self.cancelled, "handles": self.handles}
            )
        elif request.path == "/faults":
            self.faults = request.value()
            await exchange.answer(200, {})
        elif request.path == "/report":
            await exchange.answer(200, {"phase": self.role, "seq": self.accepted_orders})
        elif request.path == "/order":
            await self._take_order(exchange)
        elif request.path.startswith("/kv-handle/"):
            handle = request.path.removeprefix("/kv-handle/")
            self.handles = [kept for kept in self.handles if kept != handle]
            await exchange.answer(200, {})
        else:
            await self._serve(exchange)

    async def _take_order(self, exchange: Exchange) -> None:
        order = exchange.request.value()
        if order.get("expected") != self.accepted_orders:
            await exchange.answer(409, {"seq": self.accepted_orders})
            return
        self.accepted_orders += 1
        self.role = str(order["phase"])
        self.ran.append({"stage": "order", **order})
        self._write("order", holder=order.get("holder"), term=order.get("fence"))
        await exchange.answer(202, {})

    async def _serve(self, exchange: Exchange) -> None:
        request = exchange.request
        headers = request.headers
        if self.faults.get("other_server") or headers.get("expect-instance") != self.name:
            await exchange.answer(421, {}, (("Instance-Id", self.name),))
        elif self.faults.get("reject") or self._has_lost_handle(headers):
            await exchange.answer(503, {}, NOT_EXECUTED)
        elif headers.get("stage") == "prefill":
            await self._read_prompt(exchange)
        else:
            await self._run(exchange)

    def _has_lost_handle(self, headers: dict[str, str]) -> bool:
        return bool(self.faults.get("lapsed_handles")) and "kv-source" in headers

    async def _read_prompt(self, exchange: Exchange) -> None:
        self._note(exchange.request, "prefill")
        await asyncio.sleep(self._delay_s())
        if exchange.is_closed():
            self._write("cancelled", id=exchange.request.headers.get("attempt-id", ""))
            return
        handle = secrets.token_hex(6)
        self.handles.append(handle)
        await exchange.answer(200, {"kvHandle": handle, "tokens": 10, "version": 1})

    async def _run(self, exchange: Exchange) -> None:
        request = exchange.request
        self._note(request, "run")
        await asyncio.sleep(self._delay_s())
        if self.faults.get("lose_answer"):
            exchange.abort()
            return
        echo = (("Attempt-Id", request.headers.get("attempt-id", "")),)
        sealed = (*echo, ("Server-Seal", f"seal-{self.name}"))
        if self.faults.get("foreign_answer"):
            exchange.send_extra_answer((("Attempt-Id", "of-another"), ("Server-Seal", "x")))
        if self.faults.get("fail"):
            await exchange.answer(500, {"error": "failed"}, sealed)
        elif self.role:
            await self._stream(exchange, sealed)
        else:
            await exchange.answer(200, {"echo": request.body.decode("latin-1")}, sealed)

    async def _stream(self, exchange: Exchange, sealed: tuple[tuple[str, str], ...]) -> None:
        request = exchange.request
        first = int(request.headers.get("last-event-id", "0")) + 1
        break_after = int(str(self.faults.get("break_after", self.events + 1)))
        await exchange.start_stream(sealed)
        for number in range(first, self.events + 1):
            if exchange.is_closed():
                self.cancelled.append(request.headers.get("attempt-id", ""))
                self._write("cancelled", id=request.headers.get("attempt-id", ""))
                return
            if number > break_after:
                await exchange.send_raw(f"id: {number}\nda".encode())
                exchange.abort()
                return
            data = request.headers.get("attempt-id", "").ljust(EVENT_BYTES, "x")
            await exchange.send_raw(f"id: {number}\ndata: {data}\n\n".encode())
            await asyncio.sleep(self.interval_s)
        await exchange.end()

    def _delay_s(self) -> float:
        return float(str(self.faults.get("delay_s", 0.0)))

    def _write(self, event: str, **fields: object) -> None:
        if self.witness is None:
            return
        line = {"at_s": time.monotonic(), "backend": self.name, "event": event, **fields}
        with self.witness.open("a", encoding="utf-8") as file:
            file.write(json.dumps(line) + "\n")

    def _note(self, request: StandinRequest, stage: str) -> None:
        headers = request.headers
        self._write(stage, id=headers.get("attempt-id", ""), target=request.target)
        self.ran.append(
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
    """Runs the stand-in."""
    parser = standin_parser("Stand-in for a backend server of the platform.")
    parser.add_argument("--name", required=True)
    parser.add_argument("--role", default="", choices=("", "prefill", "decode"))
    parser.add_argument("--events", type=int, default=4)
    parser.add_argument("--interval-ms", type=float, default=5.0)
    parser.add_argument("--witness", type=Path)
    arguments = parser.parse_args()
    backend = PlatformBackend(
        arguments.name, arguments.role, arguments.events, arguments.interval_ms / 1000.0
    )
    backend.witness = arguments.witness
    run_standin(arguments, backend.handle)


if __name__ == "__main__":
    main()
