"""Orders in the engine stand-in.

While an order is in progress, the engine refuses new attempts; attempts that were running are
aborted.
"""

import asyncio
import json
import os
from typing import Final

from attrs import define, field

from standins.engine_state import EngineState
from standins.http_server import Exchange

ORDER_KINDS: Final = ("role", "load_model", "load_adapter")


@define
class OrderHandler:
    """Accepts or refuses orders and executes the accepted ones, one at a time."""

    state: EngineState
    # Time for which a change makes the engine unavailable.
    change_duration_s: float
    # Ids of the orders accepted since the process started.
    _accepted_order_ids: set[str] = field(factory=set)
    _tasks: set[asyncio.Task[None]] = field(factory=set)

    async def handle(self, exchange: Exchange) -> None:
        """Answers one order; a repeated order id is executed only once."""
        order = exchange.request.json_body()
        order_id = str(order.get("order_id", ""))
        status, error = self._decide(order_id, order)
        if self.state.faults.lose_order_answers > 0:
            self.state.faults.lose_order_answers -= 1
            exchange.abort_connection()
            return
        await exchange.send_json(status, {"order_id": order_id, "error": error})

    def _decide(self, order_id: str, order: dict[str, object]) -> tuple[int, str]:
        detail = json.dumps(order, sort_keys=True)
        self.state.record_event("order-received", order_id, detail)
        if not order_id or order.get("kind") not in ORDER_KINDS:
            return 400, "malformed"
        if order_id in self._accepted_order_ids:
            return 202, ""
        fencing_number = int(str(order.get("fencing_number", 0)))
        if self.state.checks_fencing and fencing_number < self.state.fencing_number:
            self.state.record_event("order-refused", order_id, detail)
            return 409, "old-fencing-number"
        if self.state.order_in_progress:
            self.state.record_event("order-conflict", order_id, detail)
            return 409, "order-under-way"
        if self.state.checks_fencing:
            self.state.fencing_number = fencing_number
        self._accept(order_id, order)
        self.state.record_event("order-accepted", order_id, detail)
        return 202, ""

    def _accept(self, order_id: str, order: dict[str, object]) -> None:
        state = self.state
        self._accepted_order_ids.add(order_id)
        state.order_in_progress = order_id
        state.last_order = order_id
        for attempt_id in sorted(state.running):
            state.record_event("cut-off", attempt_id, order_id)
        state.terminating |= state.running
        task = asyncio.get_running_loop().create_task(self._execute(order_id, order))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _execute(self, order_id: str, order: dict[str, object]) -> None:
        await asyncio.sleep(self.change_duration_s / 2)
        if self.state.faults.crash_amid_order:
            os._exit(1)
        await asyncio.sleep(self.change_duration_s / 2)
        self._apply_change(order)
        self.state.order_in_progress = ""
        self.state.record_event("order-done", order_id)

    def _apply_change(self, order: dict[str, object]) -> None:
        state = self.state
        if order["kind"] == "role":
            state.role = str(order["role"])
            return
        if order["kind"] == "load_model":
            state.model = str(order["model"])
            state.version = str(order["version"])
        adapters = order.get("adapters")
        state.adapters = (
            frozenset(map(str, adapters)) if isinstance(adapters, list) else frozenset()
        )
