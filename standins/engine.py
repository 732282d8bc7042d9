"""Stand-in for an engine: generates made-up tokens at a steady rate and takes orders.

The token at index i of the answer to a prompt is always the same text, so that a test can compare
an answer token by token.
"""

import asyncio
import os
import zlib
from typing import Final

from attrs import define, field

from standins.http_server import Exchange, run_standin, standin_parser

NOT_STARTED: Final = (("X-Not-Started", "yes"), ("Retry-After", "1"))


def token_text(model: str, prompt: str, index: int) -> str:
    """Returns the token at the index of the answer to the prompt."""
    return f"{zlib.crc32(f'{model}|{prompt}'.encode()):08x}.{index} "


@define
class WitnessEntry:
    """One thing that reached the engine, in order of arrival."""

    kind: str
    attempt_id: str
    detail: str = ""


@define
class Faults:
    """Faults that a test has asked for."""

    # Content that crashes the process when it stands in a prompt.
    crash_on: str = ""
    # Breaks the connection off after so many tokens; negative for never.
    cut_after_tokens: int = -1
    # Stops sending, with the connection open, after so many tokens; negative for never.
    silent_after_tokens: int = -1


@define
class Engine:
    """State of the engine."""

    name: str
    token_interval_s: float
    prefill_tokens_per_s: float
    max_batch: int
    model: str
    role: str = "mixed"
    running: int = 0
    faults: Faults = field(factory=Faults)
    witness: list[WitnessEntry] = field(factory=list)

    async def handle(self, exchange: Exchange) -> None:
        """Answers one request."""
        request = exchange.request
        if request.method == "POST" and request.path == "/v1/generate":
            await self._generate(exchange)
        elif request.method == "GET" and request.path == "/v1/state":
            await exchange.answer(200, {"name": self.name, "role": self.role, "model": self.model})
        elif request.method == "GET" and request.path == "/witness":
            entries = [[entry.kind, entry.attempt_id, entry.detail] for entry in self.witness]
            await exchange.answer(200, {"entries": entries})
        elif request.method == "POST" and request.path == "/faults":
            self._set_faults(request.value())
            await exchange.answer(200, {})
        else:
            await exchange.answer(404, {"error": "no such path"}, NOT_STARTED)

    def _set_faults(self, value: dict[str, object]) -> None:
        self.faults = Faults(
            crash_on=str(value.get("crash_on", "")),
            cut_after_tokens=int(str(value.get("cut_after_tokens", -1))),
            silent_after_tokens=int(str(value.get("silent_after_tokens", -1))),
        )

    async def _generate(self, exchange: Exchange) -> None:
        value = exchange.request.value()
        attempt_id = str(value["attempt_id"])
        prompt = str(value["prompt"])
        if value["model"] != self.model:
            await exchange.answer(503, {"error": "model is not loaded"}, NOT_STARTED)
            return
        if self.running >= self.max_batch:
            await exchange.answer(503, {"error": "batch is full"}, NOT_STARTED)
            return
        self.witness.append(WitnessEntry("started", attempt_id, prompt))
        if self.faults.crash_on and self.faults.crash_on in prompt:
            os._exit(1)
        self.running += 1
        try:
            await self._stream(exchange, value)
            self.witness.append(WitnessEntry("finished", attempt_id))
        finally:
            self.running -= 1

    async def _stream(self, exchange: Exchange, value: dict[str, object]) -> None:
        attempt_id = str(value["attempt_id"])
        total = int(str(value["max_tokens"]))
        await exchange.start_stream()
        await asyncio.sleep(int(str(value["prompt_tokens"])) / self.prefill_tokens_per_s)
        for index in range(int(str(value.get("first_token", 0))), total):
            await self._maybe_fail(exchange, index)
            text = token_text(str(value["model"]), str(value["prompt"]), index)
            await exchange.send_event({"attempt_id": attempt_id, "index": index, "text": text})
            await asyncio.sleep(self.token_interval_s)
        await exchange.send_event({"attempt_id": attempt_id, "total_tokens": total})
        await exchange.end()

    async def _maybe_fail(self, exchange: Exchange, index: int) -> None:
        if index == self.faults.cut_after_tokens:
            exchange.abort()
            raise ConnectionAbortedError
        if index == self.faults.silent_after_tokens:
            await asyncio.Event().wait()


def main() -> None:
    """Runs the engine stand-in."""
    parser = standin_parser("Stand-in for an engine.")
    parser.add_argument("--name", required=True)
    parser.add_argument("--model", required=True)
    parser.add_argument("--token-interval-ms", type=float, default=5.0)
    parser.add_argument("--prefill-tokens-per-s", type=float, default=20000.0)
    parser.add_argument("--max-batch", type=int, default=64)
    arguments = parser.parse_args()
    engine = Engine(
        name=arguments.name,
        token_interval_s=arguments.token_interval_ms / 1000.0,
        prefill_tokens_per_s=arguments.prefill_tokens_per_s,
        max_batch=arguments.max_batch,
        model=arguments.model,
    )
    run_standin(arguments, engine.handle)


if __name__ == "__main__":
    main()
