"""Stand-in for a plain service: answers every call and records the calls that it executed."""

import asyncio
import os
from typing import Final

from attrs import define, field

from standins.http_server import Exchange, create_standin_parser, run_standin

NOT_STARTED_HEADERS: Final = (("X-Not-Started", "yes"), ("Retry-After", "1"))


@define
class Service:
    """The service, its executed calls and the injected faults."""

    name: str
    # Attempt id, path and body of each executed call.
    executed_calls: list[tuple[str, str, str]] = field(factory=list)
    # Faults injected by a test.
    refuse_not_started: bool = False
    lose_response: bool = False
    delay_s: float = 0.0
    crash_on: str = ""

    async def handle(self, exchange: Exchange) -> None:
        """Answers one request."""
        request = exchange.request
        if request.path == "/witness":
            await exchange.send_json(200, {"entries": self.executed_calls})
        elif request.path == "/faults":
            self._set_faults(request.json_body())
            await exchange.send_json(200, {})
        else:
            await self._run(exchange)

    def _set_faults(self, faults: dict[str, object]) -> None:
        self.refuse_not_started = bool(faults.get("refuse_not_started", False))
        self.lose_response = bool(faults.get("lose_answer", False))
        self.delay_s = float(str(faults.get("delay_s", 0.0)))
        self.crash_on = str(faults.get("crash_on", ""))

    async def _run(self, exchange: Exchange) -> None:
        if self.refuse_not_started:
            await exchange.send_json(503, {"error": "busy"}, NOT_STARTED_HEADERS)
            return
        request = exchange.request
        attempt_id = request.headers.get("x-attempt-id", "")
        body = request.body.decode(errors="replace")
        self.executed_calls.append((attempt_id, request.path, body))
        if self.crash_on and self.crash_on in body:
            os._exit(1)
        await asyncio.sleep(self.delay_s)
        if self.lose_response:
            exchange.abort_connection()
            return
        await exchange.send_json(200, {"service": self.name, "path": request.path, "echo": body})


def main() -> None:
    """Runs the process that stands in for a plain service."""
    parser = create_standin_parser("Stand-in for a plain service.")
    parser.add_argument("--name", required=True)
    arguments = parser.parse_args()
    run_standin(arguments, Service(arguments.name).handle)


if __name__ == "__main__":
    main()
