"""Generation in the engine stand-in: synthetic tokens at a fixed rate, with resume and cancel.

The token at index i of the output for a prompt is deterministic, so that a test can compare the
output token by token.
"""

import asyncio
import os
import zlib
from typing import Final

from attrs import define

from standins.engine_state import EngineState
from standins.http_server import Exchange

NOT_STARTED_HEADERS: Final = (("X-Not-Started", "yes"), ("Retry-After", "1"))


def token_text(model: str, prompt: str, index: int) -> str:
    """Returns the text of the token at `index` of the output for the prompt."""
    return f"{zlib.crc32(f'{model}|{prompt}'.encode()):08x}.{index} "


@define
class Generator:
    """Runs the attempts of one batch."""

    state: EngineState
    token_interval_s: float
    prefill_tokens_per_s: float
    max_batch: int

    async def generate(self, exchange: Exchange) -> None:
        """Runs one attempt, or answers 503 before it starts."""
        body = exchange.request.json_body()
        refusal_reason = self._find_refusal_reason(body)
        if refusal_reason:
            await exchange.send_json(503, {"error": refusal_reason}, NOT_STARTED_HEADERS)
            return
        attempt_id = str(body["attempt_id"])
        prompt = str(body["prompt"])
        state = self.state
        state.record_event("started", attempt_id, prompt)
        if state.faults.crash_on and state.faults.crash_on in prompt:
            os._exit(1)
        state.running.add(attempt_id)
        try:
            await self._stream(exchange, body)
            state.record_event("finished", attempt_id)
        finally:
            state.running.discard(attempt_id)
            state.terminating.discard(attempt_id)

    async def cancel(self, exchange: Exchange) -> None:
        """Cancels a running attempt; an unknown attempt id has no effect."""
        attempt_id = str(exchange.request.json_body().get("attempt_id", ""))
        if attempt_id in self.state.running:
            self.state.terminating.add(attempt_id)
            self.state.record_event("cancelled", attempt_id)
        await exchange.send_json(200, {})

    def _find_refusal_reason(self, body: dict[str, object]) -> str:
        state = self.state
        if state.order_in_progress:
            return "a change is under way"
        if body["model"] != state.model:
            return "model is not loaded"
        if body.get("model_version", "") not in {"", state.version}:
            return "another version of the model is loaded"
        adapter = str(body.get("adapter", ""))
        if adapter and adapter not in state.adapters:
            return "adapter is not loaded"
        if len(state.running) >= self.max_batch:
            return "batch is full"
        return ""

    async def _stream(self, exchange: Exchange, body: dict[str, object]) -> None:
        attempt_id = str(body["attempt_id"])
        total_tokens = int(str(body["max_tokens"]))
        version_header = ("X-Model-Version", self.state.version)
        await exchange.start_stream((version_header, ("X-Incarnation", self.state.incarnation)))
        await self._prefill(int(str(body["prompt_tokens"])))
        for index in range(int(str(body.get("first_token", 0))), total_tokens):
            await self._inject_faults(exchange, index)
            self._abort_if_terminating(exchange, attempt_id)
            text = token_text(str(body["model"]), str(body["prompt"]), index)
            await exchange.send_event({"attempt_id": attempt_id, "index": index, "text": text})
            await asyncio.sleep(self.token_interval_s)
        self._abort_if_terminating(exchange, attempt_id)
        await exchange.send_event({"attempt_id": attempt_id, "total_tokens": total_tokens})
        await exchange.end_response()

    async def _prefill(self, prompt_tokens: int) -> None:
        self.state.prefill_backlog_tokens += prompt_tokens
        try:
            await asyncio.sleep(prompt_tokens / self.prefill_tokens_per_s)
        finally:
            self.state.prefill_backlog_tokens -= prompt_tokens

    def _abort_if_terminating(self, exchange: Exchange, attempt_id: str) -> None:
        if attempt_id in self.state.terminating:
            exchange.abort_connection()
            raise ConnectionAbortedError

    async def _inject_faults(self, exchange: Exchange, index: int) -> None:
        faults = self.state.faults
        if index == faults.cut_after_tokens:
            exchange.abort_connection()
            raise ConnectionAbortedError
        if index == faults.silent_after_tokens:
            await asyncio.Event().wait()
