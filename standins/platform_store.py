"""Stand-in for the platform's store: topics of plain or keyed records, with conditional appends.

Faults, set by `POST /faults`: away (503), refuse_appends (503 to appends only), silent (requests
are not answered), cut (connections are aborted without a response), lose_answers (responses lost
after the append took effect) and drop_history (records are deleted). `POST /restore` with
`copy_age_s` brings the state of that long ago back in a new era, in which others than the system
write again what was lost, after `rewrite_delay_s`. From the first restore on, each answer states
the era.
"""

import asyncio
import base64
import contextlib
import json
import struct
import time
from typing import Final

from attrs import define, field, frozen

from standins.http_server import Exchange, create_standin_parser, run_standin

KEYED_TOPIC_PREFIX: Final = "keyed."
UNRESPONSIVE_HOLD_S: Final = 60.0
MAX_ITEMS_PER_PAGE: Final = 500
STATUS_OK: Final = 200
STATUS_GONE: Final = 410
STATUS_PRECONDITION_FAILED: Final = 412
# Topics that the operator and the backend servers write.
WRITTEN_BY_OTHERS: Final = ("keyed.op", "keyed.servers")
_OFFSETS: Final = struct.Struct(">QQ")
_LENGTH: Final = struct.Struct(">I")


@define
class Topic:
    """The retained records of one topic, and the newest record of each key."""

    first_offset: int = 0
    records: list[bytes] = field(factory=list)
    newest_by_key: dict[str, tuple[int, bytes]] = field(factory=dict)

    @property
    def end_offset(self) -> int:
        """Returns the offset after the newest record."""
        return self.first_offset + len(self.records)

    def append(self, content: bytes, keyed: bool) -> None:
        """Appends one record; in a keyed topic, an empty value deletes the key."""
        if keyed:
            end = 1 + content[0]
            key, value = content[1:end].decode(), content[end:]
            if value:
                self.newest_by_key[key] = (self.end_offset, value)
            else:
                self.newest_by_key.pop(key, None)
        self.records.append(content)

    def drop_history(self) -> None:
        """Deletes all records, but retains the newest of each key."""
        self.first_offset = self.end_offset
        self.records.clear()


@frozen
class Change:
    """One record, as it was appended."""

    at_s: float
    topic: str
    content: bytes

    @property
    def key(self) -> tuple[str, bytes]:
        """Returns the topic and, in a keyed topic, the key."""
        return self.topic, self.content[: 1 + self.content[0]] if self.content else b""


@define
class PlatformStore:
    """All topics, and the injected faults."""

    topics: dict[str, Topic] = field(factory=dict)
    unavailable: bool = False
    refuses_appends: bool = False
    unresponsive: bool = False
    closes_unanswered: bool = False
    # Number of upcoming appends whose responses are lost after the append took effect.
    responses_to_lose: int = 0
    # Rises with each restore; stated in each answer, or in none if None.
    era: int | None = None
    # All changes, oldest first, from which an older copy is made.
    changes: list[Change] = field(factory=list)
    # Number of requests per path.
    call_counts: dict[str, int] = field(factory=dict)
    append_event: asyncio.Event = field(factory=asyncio.Event)

    async def handle(self, exchange: Exchange) -> None:
        """Answers one request."""
        path = exchange.request.path
        if self.era is not None:
            exchange.common_headers = (("Store-Era", str(self.era)),)
        if path == "/restore":
            await self._restore(exchange.request.json_body())
            await exchange.send_json(200, {"era": self.era})
        elif path == "/faults":
            self._set_faults(exchange.request.json_body())
            await exchange.send_json(200, {})
        elif path == "/calls":
            await exchange.send_json(200, {**self.call_counts})
        elif path == "/put":
            # Writes on behalf of the operator and the backend servers; the real store's API for
            # berylquay has no such request.
            value = exchange.request.json_body()
            content = str(value["value"]).encode() if value["value"] is not None else b""
            record = encode_keyed_record(str(value["key"]), content)
            self.append(str(value["topic"]), record, time.monotonic())
            await exchange.send_json(200, {})
        else:
            await self._serve(exchange)

    async def _serve(self, exchange: Exchange) -> None:
        path = exchange.request.path
        self.call_counts[path] = self.call_counts.get(path, 0) + 1
        if self.unresponsive:
            await asyncio.sleep(UNRESPONSIVE_HOLD_S)
        if self.closes_unanswered:
            exchange.abort_connection()
        elif self.unavailable or (self.refuses_appends and path == "/log-append"):
            await exchange.send_json(503, {"error": "away"})
        elif path == "/log-newest":
            await self._handle_newest(exchange)
        elif path == "/log-read":
            await self._handle_read(exchange)
        elif path == "/log-append":
            await self._handle_append(exchange)
        else:
            await exchange.send_json(404, {"error": "no such call"})

    async def _handle_newest(self, exchange: Exchange) -> None:
        await exchange.send_json(200, self.newest_page(exchange.request.query))

    async def _handle_read(self, exchange: Exchange) -> None:
        query = exchange.request.query
        topic, start_offset = query["topic"], int(query["source"])
        era = self.era
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query.get("waitMs", "0")) / 1000.0):
                while self.era == era and self._topic(topic).end_offset == start_offset:
                    await self.append_event.wait()
        status, body = self.read_page(query)
        if status == STATUS_OK:
            await exchange.send_bytes(status, body)
        else:
            await exchange.send_json(status, json.loads(body))

    async def _handle_append(self, exchange: Exchange) -> None:
        query = exchange.request.query
        if query["topic"] in WRITTEN_BY_OTHERS:
            await exchange.send_json(403, {"error": "not yours"})
            return
        status, fields = self.append_records(query, exchange.request.body, time.monotonic())
        if status == STATUS_OK and self.responses_to_lose:
            self.responses_to_lose -= 1
            exchange.abort_connection()
            return
        await exchange.send_json(status, fields)

    def newest_page(self, query: dict[str, str]) -> dict[str, object]:
        """Returns the body of a page of the newest records."""
        topic = self._topic(query["topic"])
        keys = sorted(key for key in topic.newest_by_key if key > query.get("after", ""))
        page = keys[:MAX_ITEMS_PER_PAGE]
        items = [
            {
                "key": key,
                "value": base64.b64encode(topic.newest_by_key[key][1]).decode(),
                "offset": topic.newest_by_key[key][0],
            }
            for key in page
        ]
        return {"items": items, "hasMore": len(keys) > len(page), "endOffset": topic.end_offset}

    def read_page(self, query: dict[str, str]) -> tuple[int, bytes]:
        """Returns status and body of a page of records from an offset."""
        topic, start_offset = self._topic(query["topic"]), int(query["source"])
        if not topic.first_offset <= start_offset <= topic.end_offset:
            return STATUS_GONE, json.dumps({"firstOffset": topic.first_offset}).encode()
        contents = topic.records[start_offset - topic.first_offset :]
        body = _OFFSETS.pack(topic.end_offset, topic.first_offset)
        return STATUS_OK, body + b"".join(_LENGTH.pack(len(item)) + item for item in contents)

    def append_records(
        self, query: dict[str, str], body: bytes, now_s: float
    ) -> tuple[int, dict[str, object]]:
        """Appends the system's records and returns status and fields of the answer."""
        topic = self._topic(query["topic"])
        if "at" in query and int(query["at"]) != topic.end_offset:
            return STATUS_PRECONDITION_FAILED, {"endOffset": topic.end_offset}
        offset = topic.end_offset
        for content in _split_records(body):
            self.append(query["topic"], content, now_s)
        return STATUS_OK, {"offset": offset, "endOffset": topic.end_offset}

    def _topic(self, name: str) -> Topic:
        return self.topics.setdefault(name, Topic())

    def restore(self, copy_age_s: float, now_s: float) -> list[Change]:
        """Comes back from a copy; returns the newest lost change of each key of others' topics."""
        self.era = 1 if self.era is None else self.era + 1
        changes, self.changes, self.topics = self.changes, [], {}
        lost: dict[tuple[str, bytes], Change] = {}
        for change in changes:
            if change.at_s <= now_s - copy_age_s:
                self.append(change.topic, change.content, change.at_s)
            elif change.topic in WRITTEN_BY_OTHERS:
                lost[change.key] = change
        return list(lost.values())

    async def _restore(self, fields: dict[str, object]) -> None:
        restored_s = time.monotonic()
        lost = self.restore(float(str(fields["copy_age_s"])), restored_s)
        self._wake_readers()
        await asyncio.sleep(float(str(fields.get("rewrite_delay_s", 0.0))))
        written_since = {change.key for change in self.changes if change.at_s > restored_s}
        for change in lost:
            if change.key not in written_since:
                self.append(change.topic, change.content, time.monotonic())

    def append(self, topic_name: str, content: bytes, now_s: float) -> None:
        """Appends one record."""
        self.changes.append(Change(now_s, topic_name, content))
        self._topic(topic_name).append(content, topic_name.startswith(KEYED_TOPIC_PREFIX))
        self._wake_readers()

    def _wake_readers(self) -> None:
        self.append_event.set()
        self.append_event = asyncio.Event()

    def _set_faults(self, faults: dict[str, object]) -> None:
        self.unavailable = bool(faults.get("away", False))
        self.refuses_appends = bool(faults.get("refuse_appends", False))
        self.unresponsive = bool(faults.get("silent", False))
        self.closes_unanswered = bool(faults.get("cut", False))
        self.responses_to_lose = int(str(faults.get("lose_answers", 0)))
        if faults.get("drop_history"):
            for topic in self.topics.values():
                topic.drop_history()


def encode_keyed_record(key: str, value: bytes) -> bytes:
    """Returns a keyed record: length of the key in one byte, key, value."""
    return bytes([len(key.encode())]) + key.encode() + value


def _split_records(body: bytes) -> list[bytes]:
    contents = []
    position = 0
    while position < len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        contents.append(body[position : position + length])
        position += length
    return contents


def main() -> None:
    """Runs the process that stands in for the platform's store."""
    parser = create_standin_parser("Stand-in for the platform's store.")
    parser.add_argument("--era", type=int, help="era to state in each answer; none by default")
    arguments = parser.parse_args()
    run_standin(arguments, PlatformStore(era=arguments.era).handle)


if __name__ == "__main__":
    main()
