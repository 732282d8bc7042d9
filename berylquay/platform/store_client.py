"""Client of the platform's store: newest records of a topic, records from an offset, appends.

Each client has one persistent connection that carries one call at a time, so that a long poll for
new records never delays a call of another client.
"""

import base64
import binascii
import json
import struct
import time
from collections.abc import Callable, Sequence
from typing import Final, Protocol
from urllib.parse import quote

from attrs import define, field, frozen

from berylquay.call_verdicts import Verdict
from berylquay.decisions.fleet import Address
from berylquay.decisions.store_era import EraCheck, StoreEra
from berylquay.errors import TransportError
from berylquay.net.http_client import STATUS_OK
from berylquay.net.persistent_http import Headers, PersistentConnection, RawRequest, RawResponseHead
from berylquay.net.tcp_connections import TcpConnections
from berylquay.platform.wire_names import STORE_ERA
from berylquay.whole_numbers import parse_whole_number

# Timeout of a call that is not a long poll; several times the store's usual response time, and long
# enough for a store that answers fifty times as slowly.
CALL_TIMEOUT_S: Final = 1.0
# Maximum size of a response: a page of newest records, or of records from an offset.
MAX_RESPONSE_BYTES: Final = 8_000_000
MAX_READ_KB: Final = 1024
# Maximum length of the response body of a failed call that is used as the failure's detail.
MAX_DETAIL_BYTES: Final = 200
STATUS_NOT_FOUND: Final = 404
STATUS_GONE: Final = 410
STATUS_PRECONDITION_FAILED: Final = 412
FIRST_CLIENT_ERROR: Final = 400
FIRST_SERVER_ERROR: Final = 500
# Statuses of servers' errors that state that nothing was done.
NOT_DONE_STATUSES: Final = frozenset({503, 507})
_DECODE_ERRORS: Final = (
    struct.error,
    binascii.Error,
    AttributeError,
    OverflowError,
    RecursionError,
)
_PAGE_HEADER: Final = struct.Struct(">QQ")
_RECORD_LENGTH: Final = struct.Struct(">I")


@frozen
class KeyedRecord:
    """A record of a topic that retains the newest value of each key."""

    key: str
    # Value, or None if the key was deleted. Not in the text of an object: a configuration has keys
    # of callers.
    value: bytes | None = field(repr=False)


@frozen
class NewestRecordsPage:
    """A page of the newest records of the keys of a topic, in key order."""

    records: tuple[KeyedRecord, ...]
    # Whether further pages follow after the last key.
    has_more: bool
    # Offset after the newest record of the topic.
    end_offset: int


@frozen
class RecordPage:
    """A page of consecutive records."""

    contents: tuple[bytes, ...]
    # Offset of the first record of the page.
    first_offset: int
    # Offset after the newest record of the topic.
    end_offset: int

    @property
    def next_offset(self) -> int:
        """Returns the offset after the last record of the page."""
        return self.first_offset + len(self.contents)

    @property
    def is_at_end(self) -> bool:
        """Returns whether no newer record follows.

        A page ends early if it is full, or if its body ended with its connection between records.
        """
        return self.next_offset >= self.end_offset


@frozen
class AppendResult:
    """The result of a successful append."""

    # Offset of the first record.
    offset: int


@frozen
class StoreFailure:
    """A failed call to the store."""

    detail: str
    # HTTP status, or 0 if there was no valid response.
    status: int
    # Whether an append may have been executed, or may still be.
    may_have_happened: bool
    # Offset of the oldest record that is retained, if older ones were requested; else 0.
    first_offset: int = 0
    # Whether the answer is of an older era of the store and was dropped.
    is_outdated: bool = False

    @property
    def is_unanswered(self) -> bool:
        """Returns whether no answer came, as on a connection that has gone silent."""
        return self.status == 0 and not self.is_outdated

    @property
    def records_gone(self) -> bool:
        """Returns whether the requested records have been deleted."""
        return self.status == STATUS_GONE

    @property
    def has_other_end_offset(self) -> bool:
        """Returns whether a conditional append found the topic to end at another offset."""
        return self.status == STATUS_PRECONDITION_FAILED

    @property
    def is_topic_missing(self) -> bool:
        """Returns whether the topic does not exist yet."""
        return self.status == STATUS_NOT_FOUND


class _ResponseDecoder(Protocol):
    def __call__(self, body: bytes) -> object: ...


@define(eq=False)
class _PendingCall:
    """The call in flight on a connection."""

    decode: _ResponseDecoder
    on_result: Callable[[object], None]
    deadline_s: float
    status: int = 0
    # Whether the answer is of an older era of the store.
    is_outdated: bool = False
    body: bytearray = field(factory=bytearray)


class StoreClient:
    """Sends one call at a time to the store over one persistent connection."""

    _connections: TcpConnections
    _address: Address
    _connection: PersistentConnection | None
    _call: _PendingCall | None
    # Monotonic time of the last tick.
    _last_tick_s: float
    # Era of the store, which all clients of a process share.
    _store_era: StoreEra

    def __init__(self, connections: TcpConnections, address: Address, store_era: StoreEra) -> None:
        self._connections = connections
        self._address = address
        self._store_era = store_era
        self._last_tick_s = time.monotonic()
        self._connection = None
        self._call = None

    @property
    def busy(self) -> bool:
        """Returns whether a call is in flight."""
        return self._call is not None

    def read_newest(
        self,
        topic: str,
        after_key: str,
        on_result: Callable[[NewestRecordsPage | StoreFailure], None],
    ) -> None:
        """Requests the newest records of the keys after `after_key`; an empty one is the start."""
        query = f"topic={topic}&part=0" + (f"&after={quote(after_key)}" if after_key else "")
        self._send(
            b"GET", f"/log-newest?{query}", b"", decode=_decode_newest_page, on_result=on_result
        )

    def read(
        self,
        topic: str,
        offset: int,
        long_poll_wait_s: float,
        on_result: Callable[[RecordPage | StoreFailure], None],
        *,
        max_kb: int = MAX_READ_KB,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        """Requests records from an offset; waits up to `long_poll_wait_s` if there are none.

        The call fails if no answer has come `timeout_s` after that wait.
        """
        target = f"/log-read?topic={topic}&part=0&source={offset}&maxKb={max_kb}"
        if long_poll_wait_s > 0.0:
            target += f"&waitMs={int(long_poll_wait_s * 1000.0)}"

        def decode(body: bytes) -> RecordPage:
            return _decode_record_page(body, offset)

        self._send(
            b"GET",
            target,
            b"",
            decode=decode,
            on_result=on_result,
            timeout_s=long_poll_wait_s + timeout_s,
        )

    def append(
        self,
        topic: str,
        contents: Sequence[bytes],
        on_result: Callable[[AppendResult | StoreFailure], None],
        expected_end_offset: int | None = None,
    ) -> None:
        """Appends records; with `expected_end_offset`, only if the topic ends at that offset."""
        target = f"/log-append?topic={topic}&part=0"
        if expected_end_offset is not None:
            target += f"&at={expected_end_offset}"
        body = b"".join(_RECORD_LENGTH.pack(len(content)) + content for content in contents)
        self._send(b"POST", target, body, decode=_decode_append_result, on_result=on_result)

    def on_tick(self, now_s: float) -> None:
        """Fails a call that has exceeded its deadline; also called before each call."""
        self._last_tick_s = now_s
        if self._call is not None and now_s >= self._call.deadline_s:
            self._fail_call("no answer in time", self._may_have_happened())

    def abandon_call(self) -> None:
        """Drops the call in flight, if any, without passing on its result."""
        self._call = None
        if self._connection is not None:
            self._connection.close()

    def on_response_head(self, head: RawResponseHead) -> None:
        """Stores the status, and the era that any answer states."""
        era_check = self._store_era.on_answer(parse_whole_number(head.get(STORE_ERA)))
        # A new era makes the owners of the clients abandon their calls.
        if self._call is not None:
            self._call.status = head.status
            self._call.is_outdated = era_check is EraCheck.OUTDATED

    def on_response_data(self, data: bytes) -> None:
        """Adds data to the body; fails the call if the body is too large."""
        if self._call is None:
            return
        self._call.body += data
        if len(self._call.body) > MAX_RESPONSE_BYTES:
            self._fail_call("the answer is too large", may_have_happened=True)

    def on_response_complete(self) -> None:
        """Decodes the response and passes the result to the call's `on_result`."""
        call, self._call = self._call, None
        if call is None:
            return
        if call.is_outdated:
            call.on_result(
                StoreFailure(
                    "an answer of an older era", 0, may_have_happened=True, is_outdated=True
                )
            )
            return
        if call.status != STATUS_OK:
            call.on_result(_decode_failure(call.status, bytes(call.body)))
            return
        try:
            result = call.decode(bytes(call.body))
        except (ValueError, LookupError, TypeError, *_DECODE_ERRORS) as error:
            result = StoreFailure(f"unreadable answer: {error!r}", 0, may_have_happened=True)
        call.on_result(result)

    def on_response_failed(self, error: TransportError) -> None:
        """Fails the call after the connection was lost."""
        call, self._call = self._call, None
        if call is not None:
            may_have_happened = error.verdict is Verdict.MAY_HAVE_RUN
            call.on_result(StoreFailure(error.detail, 0, may_have_happened=may_have_happened))

    def _may_have_happened(self) -> bool:
        return self._connection is not None and self._connection.verdict is Verdict.MAY_HAVE_RUN

    def _send(
        self,
        method: bytes,
        target: str,
        body: bytes,
        *,
        decode: _ResponseDecoder,
        on_result: Callable[..., None],
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        headers: Headers = [(b"host", str(self._address).encode())]
        if method == b"POST":
            headers.append((b"content-length", str(len(body)).encode()))
        deadline_s = self._last_tick_s + timeout_s
        self._call = _PendingCall(decode, on_result, deadline_s)
        if self._connection is None or self._connection.closed:
            self._connection = PersistentConnection(
                self._address, _ignore_connection_event, _ignore_connection_event, self._connections
            )
        self._connection.start_request(RawRequest(method, target.encode(), headers, body), self)

    def _fail_call(self, detail: str, may_have_happened: bool) -> None:
        call, self._call = self._call, None
        if self._connection is not None:
            # A connection whose response was abandoned can't carry another call.
            self._connection.close()
        if call is not None:
            call.on_result(StoreFailure(detail, 0, may_have_happened))


def _ignore_connection_event(_connection: PersistentConnection) -> None:
    """Does nothing: the store client tracks the state of its connection itself."""


def encode_keyed_record(key: str, value: bytes) -> bytes:
    """Returns the content of a record with a key; an empty value deletes the key."""
    key_bytes = key.encode()
    return bytes([len(key_bytes)]) + key_bytes + value


def decode_keyed_record(content: bytes) -> KeyedRecord | None:
    """Returns the record, or None if the content has no complete key."""
    if not content or len(content) < 1 + content[0]:
        return None
    key_end = 1 + content[0]
    key = content[1:key_end].decode("utf-8", "replace")
    return KeyedRecord(key, content[key_end:] or None)


def _decode_newest_page(body: bytes) -> NewestRecordsPage:
    fields = json.loads(body)
    records = tuple(
        KeyedRecord(str(item["key"]), base64.b64decode(item["value"])) for item in fields["items"]
    )
    has_more = fields["hasMore"]
    if not isinstance(has_more, bool) or (has_more and not records):
        raise ValueError("the page does not tell whether others follow")
    return NewestRecordsPage(records, has_more, _decode_offset(fields["endOffset"]))


def _decode_record_page(body: bytes, requested_offset: int) -> RecordPage:
    end_offset, oldest_offset = _PAGE_HEADER.unpack_from(body)
    contents = []
    position = _PAGE_HEADER.size
    while position < len(body):
        (length,) = _RECORD_LENGTH.unpack_from(body, position)
        position += _RECORD_LENGTH.size
        if position + length > len(body):
            raise ValueError("a record is cut off")
        contents.append(body[position : position + length])
        position += length
    return RecordPage(tuple(contents), max(requested_offset, oldest_offset), end_offset)


def _decode_failure(status: int, body: bytes) -> StoreFailure:
    detail = body[:MAX_DETAIL_BYTES].decode("utf-8", "replace")
    first_offset = 0
    if status == STATUS_GONE:
        try:
            first_offset = _decode_offset(json.loads(body)["firstOffset"])
        except (ValueError, LookupError, TypeError, *_DECODE_ERRORS):
            detail = f"no first offset: {detail}"
    is_refusal = FIRST_CLIENT_ERROR <= status < FIRST_SERVER_ERROR
    may_have_happened = not is_refusal and status not in NOT_DONE_STATUSES
    return StoreFailure(detail, status, may_have_happened, first_offset)


def _decode_append_result(body: bytes) -> AppendResult:
    return AppendResult(_decode_offset(json.loads(body)["offset"]))


def _decode_offset(value: object) -> int:
    if not isinstance(value, int) or isinstance(value, bool) or value < 0:
        raise ValueError("an offset is not a whole number")
    return value
