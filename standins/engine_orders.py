"""Orders in the engine stand-in: a change takes the engine away and cuts off what runs on it."""

import asyncio
import json
import os
from typing import Final

from attrs import define, field

from standins.engine_state import EngineState
from standins.http_server import Exchange

KINDS: Final = ("role", "load_model", "load_adapter")


@define
class OrderTaker:
    """Accepts or refuses orders and carries the accepted one out."""

    state: EngineState
    # How long a change takes the engine away.
    change_s: float
    # Orders that were accepted since the process started.
    _accepted: set[str] = field(factory=set)
    _tasks: set[asyncio.Task[None]] = field(factory=set)

    async def take(self, exchange: Exchange) -> None:
        """Answers one order; a repeated order id has no second effect."""
        value = exchange.request.value()
        order_id = str(value.get("order_id", ""))
        status, error = self._decide(order_id, value)
        if self.state.faults.lose_order_answers > 0:
            self.state.faults.lose_order_answers -= 1
            exchange.abort()
            return
        await exchange.answer(status, {"order_id": order_id, "error": error})

    def _decide(self, order_id: str, value: dict[str, object]) -> tuple[int, str]:
        detail = json.dumps(value, sort_keys=True)
        self.state.note("order-received", order_id, detail)
        if not order_id or value.get("kind") not in KINDS:
            return 400, "malformed"
        if order_id in self._accepted:
            return 202, ""
        number = int(str(value.get("fencing_number", 0)))
        if self.state.checks_fencing and number < self.state.fencing_number:
            self.state.note("order-refused", order_id, detail)
            return 409, "old-fencing-number"
        if self.state.order_under_way:
            self.state.note("order-conflict", order_id, detail)
            return 409, "order-under-way"
        if self.state.checks_fencing:
            self.state.fencing_number = number
        self._accept(order_id, value)
        self.state.note("order-accepted", order_id, detail)
        return 202, ""

    def _accept(self, order_id: str, value: dict[str, object]) -> None:
        state = self.state
        self._accepted.add(order_id)
        state.order_under_way = order_id
        state.last_order = order_id
        for attempt_id in sorted(state.running):
            state.note("cut-off", attempt_id, order_id)
        state.ended |= state.running
        task = asyncio.get_running_loop().create_task(self._carry_out(order_id, value))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _carry_out(self, order_id: str, value: dict[str, object]) -> None:
        await asyncio.sleep(self.change_s / 2)
        if self.state.faults.crash_amid_order:
            os._exit(1)
        await asyncio.sleep(self.change_s / 2)
        self._change(value)
        self.state.order_under_way = ""
        self.state.note("order-done", order_id)

    def _change(self, value: dict[str, object]) -> None:
        state = self.state
        if value["kind"] == "role":
            state.role = str(value["role"])
            return
        if value["kind"] == "load_model":
            state.model = str(value["model"])
            state.version = str(value["version"])
        adapters = value.get("adapters")
        state.adapters = (
            frozenset(map(str, adapters)) if isinstance(adapters, list) else frozenset()
        )
