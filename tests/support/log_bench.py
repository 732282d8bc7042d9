"""A circuits loop with a log client, driven by a test against a log stand-in."""

import time
from collections.abc import Callable
from random import Random
from threading import Lock
from typing import Final

from circuits import BaseComponent, handler
from circuits.core.events import generate_events
from circuits.core.pollers import EPoll

from berylquay.component_messages import (
    LogReachabilityChanged,
    RecordAppendFailed,
    RecordAppendRequested,
    RecordAppendUnsettled,
    RecordsRead,
    StreamFollowRequested,
)
from berylquay.decisions.fleet import Address
from berylquay.decisions.pending_appends import AppendLimits
from berylquay.net.message_bus import BUS, post
from berylquay.net.tcp_connections import TcpConnections
from berylquay.net.ticker import Ticker
from berylquay.standalone.log_client import LogClient
from berylquay.standalone.records import LogRecord, NewRecord

GIVE_UP_S: Final = 20.0
MAX_WAIT_S: Final = 0.05


class LogBench(BaseComponent):
    """Keeps what a log client posts."""

    channel = BUS

    def __init__(self, port: int) -> None:
        super().__init__()
        self.loop = EPoll()
        Ticker().register(self.loop)
        outbound = TcpConnections(self.loop).register(self.loop)
        LogClient(outbound, Address("127.0.0.1", port), AppendLimits(), Random(1)).register(
            self.loop
        )
        self.register(self.loop)
        self.records: list[LogRecord] = []
        self.failed: list[str] = []
        self.unsettled: list[str] = []
        self.reachable: list[bool] = []
        self.reads: list[RecordsRead] = []

    @handler("RecordsRead")
    def _on_records(self, message: RecordsRead) -> None:
        self.reads.append(message)
        self.records.extend(message.records)

    @handler("RecordAppendFailed")
    def _on_failed(self, message: RecordAppendFailed) -> None:
        self.failed.append(message.record_id)

    @handler("RecordAppendUnsettled")
    def _on_unsettled(self, message: RecordAppendUnsettled) -> None:
        self.unsettled.append(message.record_id)

    @handler("LogReachabilityChanged")
    def _on_reachability(self, message: LogReachabilityChanged) -> None:
        self.reachable.append(message.reachable)

    def append(self, record_id: str, groupable: bool = False, give_up_after_s: float = 5.0) -> None:
        """Asks for a record to be appended."""
        record = NewRecord(record_id, "test", {"text": record_id})
        post(self, RecordAppendRequested("test", record, groupable, give_up_after_s))

    def follow(self) -> None:
        """Follows the stream from its beginning."""
        post(self, StreamFollowRequested("test", 1))

    def run_until(self, condition: Callable[[], bool]) -> None:
        """Turns the loop until the condition holds."""
        give_up_s = time.monotonic() + GIVE_UP_S
        while not condition():
            assert time.monotonic() < give_up_s, "the condition never held"
            self.loop.fire(generate_events(Lock(), MAX_WAIT_S), "*")
            self.loop.flush()
