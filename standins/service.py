"""Stand-in for a plain service: answers every call and keeps a log of the calls that ran."""

import asyncio
import os
from typing import Final

from attrs import define, field

from standins.http_server import Exchange, run_standin, standin_parser

NOT_STARTED: Final = (("X-Not-Started", "yes"), ("Retry-After", "1"))


@define
class Service:
    """State of the service."""

    name: str
    # Attempt id, path and body of each call that ran.
    ran: list[tuple[str, str, str]] = field(factory=list)
    # Faults that a test has asked for.
    refuse_not_started: bool = False
    lose_answer: bool = False
    delay_s: float = 0.0
    crash_on: str = ""

    async def handle(self, exchange: Exchange) -> None:
        """Answers one request."""
        request = exchange.request
        if request.path == "/witness":
            await exchange.answer(200, {"entries": self.ran})
        elif request.path == "/faults":
            self._set_faults(request.value())
            await exchange.answer(200, {})
        else:
            await self._run(exchange)

    def _set_faults(self, value: dict[str, object]) -> None:
        self.refuse_not_started = bool(value.get("refuse_not_started", False))
        self.lose_answer = bool(value.get("lose_answer", False))
        self.delay_s = float(str(value.get("delay_s", 0.0)))
        self.crash_on = str(value.get("crash_on", ""))

    async def _run(self, exchange: Exchange) -> None:
        if self.refuse_not_started:
            await exchange.answer(503, {"error": "busy"}, NOT_STARTED)
            return
        request = exchange.request
        attempt_id = request.headers.get("x-attempt-id", "")
        body = request.body.decode(errors="replace")
        self.ran.append((attempt_id, request.path, body))
        if self.crash_on and self.crash_on in body:
            os._exit(1)
        await asyncio.sleep(self.delay_s)
        if self.lose_answer:
            exchange.abort()
            return
        await exchange.answer(200, {"service": self.name, "path": request.path, "echo": body})


def main() -> None:
    """Runs the service stand-in."""
    parser = standin_parser("Stand-in for a plain service.")
    parser.add_argument("--name", required=True)
    arguments = parser.parse_args()
    run_standin(arguments, Service(arguments.name).handle)


if __name__ == "__main__":
    main()
