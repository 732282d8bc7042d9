"""Generation in the engine stand-in: made-up tokens at a steady rate, resumed and cancelled.

The token at index i of the answer to a prompt is always the same text, so that a test can compare
an answer token by token.
"""

import asyncio
import os
import zlib
from typing import Final

from attrs import define

from standins.engine_state import EngineState
from standins.http_server import Exchange

NOT_STARTED: Final = (("X-Not-Started", "yes"), ("Retry-After", "1"))


def token_text(model: str, prompt: str, index: int) -> str:
    """Returns the token at the index of the answer to the prompt."""
    return f"{zlib.crc32(f'{model}|{prompt}'.encode()):08x}.{index} "


@define
class Generator:
    """Runs attempts in one batch."""

    state: EngineState
    token_interval_s: float
    prefill_tokens_per_s: float
    max_batch: int

    async def generate(self, exchange: Exchange) -> None:
        """Runs one attempt, or refuses it before it starts."""
        value = exchange.request.value()
        refusal = self._refusal(value)
        if refusal:
            await exchange.answer(503, {"error": refusal}, NOT_STARTED)
            return
        attempt_id = str(value["attempt_id"])
        prompt = str(value["prompt"])
        state = self.state
        state.note("started", attempt_id, prompt)
        if state.faults.crash_on and state.faults.crash_on in prompt:
            os._exit(1)
        state.running.add(attempt_id)
        try:
            await self._stream(exchange, value)
            state.note("finished", attempt_id)
        finally:
            state.running.discard(attempt_id)
            state.ended.discard(attempt_id)

    async def cancel(self, exchange: Exchange) -> None:
        """Ends an attempt whose answer nobody wants any more."""
        attempt_id = str(exchange.request.value().get("attempt_id", ""))
        if attempt_id in self.state.running:
            self.state.ended.add(attempt_id)
            self.state.note("cancelled", attempt_id)
        await exchange.answer(200, {})

    def _refusal(self, value: dict[str, object]) -> str:
        state = self.state
        if state.order_under_way:
            return "a change is under way"
        if value["model"] != state.model:
            return "model is not loaded"
        if value.get("model_version", "") not in {"", state.version}:
            return "another version of the model is loaded"
        adapter = str(value.get("adapter", ""))
        if adapter and adapter not in state.adapters:
            return "adapter is not loaded"
        if len(state.running) >= self.max_batch:
            return "batch is full"
        return ""

    async def _stream(self, exchange: Exchange, value: dict[str, object]) -> None:
        attempt_id = str(value["attempt_id"])
        total = int(str(value["max_tokens"]))
        version = ("X-Model-Version", self.state.version)
        await exchange.start_stream((version, ("X-Incarnation", self.state.incarnation)))
        await self._prefill(int(str(value["prompt_tokens"])))
        for index in range(int(str(value.get("first_token", 0))), total):
            await self._maybe_fail(exchange, index)
            self._check_not_ended(exchange, attempt_id)
            text = token_text(str(value["model"]), str(value["prompt"]), index)
            await exchange.send_event({"attempt_id": attempt_id, "index": index, "text": text})
            await asyncio.sleep(self.token_interval_s)
        self._check_not_ended(exchange, attempt_id)
        await exchange.send_event({"attempt_id": attempt_id, "total_tokens": total})
        await exchange.end()

    async def _prefill(self, prompt_tokens: int) -> None:
        self.state.prefill_backlog_tokens += prompt_tokens
        try:
            await asyncio.sleep(prompt_tokens / self.prefill_tokens_per_s)
        finally:
            self.state.prefill_backlog_tokens -= prompt_tokens

    def _check_not_ended(self, exchange: Exchange, attempt_id: str) -> None:
        if attempt_id in self.state.ended:
            exchange.abort()
            raise ConnectionAbortedError

    async def _maybe_fail(self, exchange: Exchange, index: int) -> None:
        faults = self.state.faults
        if index == faults.cut_after_tokens:
            exchange.abort()
            raise ConnectionAbortedError
        if index == faults.silent_after_tokens:
            await asyncio.Event().wait()
