"""Stand-in for the platform's store: topics of plain or keyed records, with conditional appends.

Faults, set by `POST /faults`: away (503), silent (requests are not answered), cut (connections are
aborted without a response), lose_answers (responses lost after the append took effect) and
drop_history (records are deleted).
"""

import asyncio
import base64
import contextlib
import struct
from typing import Final

from attrs import define, field

from standins.http_server import Exchange, create_standin_parser, run_standin

KEYED_TOPIC_PREFIX: Final = "keyed."
UNRESPONSIVE_HOLD_S: Final = 60.0
MAX_ITEMS_PER_PAGE: Final = 500
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


@define
class PlatformStore:
    """All topics, and the injected faults."""

    topics: dict[str, Topic] = field(factory=dict)
    unavailable: bool = False
    unresponsive: bool = False
    closes_unanswered: bool = False
    # Number of upcoming appends whose responses are lost after the append took effect.
    responses_to_lose: int = 0
    # Number of requests per path.
    call_counts: dict[str, int] = field(factory=dict)
    append_event: asyncio.Event = field(factory=asyncio.Event)

    async def handle(self, exchange: Exchange) -> None:
        """Answers one request."""
        path = exchange.request.path
        if path == "/faults":
            self._set_faults(exchange.request.json_body())
            await exchange.send_json(200, {})
        elif path == "/calls":
            await exchange.send_json(200, {**self.call_counts})
        elif path == "/put":
            # Writes on behalf of the operator and the backend servers; the real store's API for
            # berylquay has no such request.
            value = exchange.request.json_body()
            content = str(value["value"]).encode() if value["value"] is not None else b""
            self._append(str(value["topic"]), encode_keyed_record(str(value["key"]), content))
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
        elif self.unavailable:
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
        query = exchange.request.query
        topic = self.topics.get(query["topic"], Topic())
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
        more = len(keys) > len(page)
        end = topic.end_offset
        await exchange.send_json(200, {"items": items, "hasMore": more, "endOffset": end})

    async def _handle_read(self, exchange: Exchange) -> None:
        query = exchange.request.query
        topic = self.topics.setdefault(query["topic"], Topic())
        start_offset = int(query["source"])
        if start_offset < topic.first_offset:
            await exchange.send_json(410, {"firstOffset": topic.first_offset})
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query.get("waitMs", "0")) / 1000.0):
                while topic.end_offset <= start_offset:
                    await self.append_event.wait()
        contents = topic.records[start_offset - topic.first_offset :]
        body = _OFFSETS.pack(topic.end_offset, topic.first_offset)
        body += b"".join(_LENGTH.pack(len(content)) + content for content in contents)
        await exchange.send_bytes(200, body)

    async def _handle_append(self, exchange: Exchange) -> None:
        query = exchange.request.query
        topic = self.topics.setdefault(query["topic"], Topic())
        if query["topic"] in ("keyed.op", "keyed.servers"):
            await exchange.send_json(403, {"error": "not yours"})
            return
        if "at" in query and int(query["at"]) != topic.end_offset:
            await exchange.send_json(412, {"endOffset": topic.end_offset})
            return
        offset = topic.end_offset
        for content in _split_records(exchange.request.body):
            self._append(query["topic"], content)
        if self.responses_to_lose:
            self.responses_to_lose -= 1
            exchange.abort_connection()
            return
        await exchange.send_json(200, {"offset": offset, "endOffset": topic.end_offset})

    def _append(self, topic_name: str, content: bytes) -> None:
        self.topics.setdefault(topic_name, Topic()).append(
            content, topic_name.startswith(KEYED_TOPIC_PREFIX)
        )
        self.append_event.set()
        self.append_event = asyncio.Event()

    def _set_faults(self, faults: dict[str, object]) -> None:
        self.unavailable = bool(faults.get("away", False))
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
    arguments = create_standin_parser("Stand-in for the platform's store.").parse_args()
    run_standin(arguments, PlatformStore().handle)


if __name__ == "__main__":
    main()
