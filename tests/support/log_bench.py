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

WAIT_TIMEOUT_S: Final = 20.0
LOOP_WAIT_S: Final = 0.05


class LogBench(BaseComponent):
    """A loop with a log client; stores the messages that the client posts."""

    channel = BUS

    def __init__(self, port: int) -> None:
        super().__init__()
        self.loop = EPoll()
        Ticker().register(self.loop)
        connections = TcpConnections(self.loop).register(self.loop)
        LogClient(connections, Address("127.0.0.1", port), AppendLimits(), Random(1)).register(
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

    def append(self, record_id: str, groupable: bool = False, timeout_s: float = 5.0) -> None:
        """Requests that a record is appended to the stream."""
        record = NewRecord(record_id, "test", {"text": record_id})
        post(self, RecordAppendRequested("test", record, groupable, timeout_s))

    def follow(self) -> None:
        """Follows the stream from its beginning."""
        post(self, StreamFollowRequested("test", 1))

    def run_until(self, condition: Callable[[], bool]) -> None:
        """Runs the loop until the condition is true; fails after WAIT_TIMEOUT_S."""
        deadline_s = time.monotonic() + WAIT_TIMEOUT_S
        while not condition():
            assert time.monotonic() < deadline_s, "the condition was not fulfilled in time"
            self.loop.fire(generate_events(Lock(), LOOP_WAIT_S), "*")
            self.loop.flush()
