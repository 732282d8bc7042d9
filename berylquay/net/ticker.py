"""The ticker: reads the monotonic clock and posts the time to the other components."""

import time
from typing import Final

from circuits import BaseComponent, handler
from circuits.core.events import generate_events

from berylquay.net.message_bus import post
from berylquay.net.process_messages import Tick

TICK_INTERVAL_S: Final = 0.025


class Ticker(BaseComponent):
    """Posts `Tick` at a fixed interval and limits the sleep of the event loop to that interval."""

    # Monotonic time of the next tick.
    _next_tick_s: float

    def __init__(self) -> None:
        super().__init__()
        self._next_tick_s = time.monotonic()

    @handler("generate_events")
    def _on_generate_events(self, event: generate_events) -> None:
        now_s = time.monotonic()
        if now_s >= self._next_tick_s:
            self._next_tick_s = now_s + TICK_INTERVAL_S
            post(self, Tick(now_s))
            event.reduce_time_left(0)
        else:
            event.reduce_time_left(self._next_tick_s - now_s)
