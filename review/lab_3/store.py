"""The project's stand-in of the store, which also takes records with keys that are no text.

`POST /put-bytes` with `topic`, `key` (in hexadecimal) and `value` writes such a record on behalf of
another writer. Pages of the newest records show bytes of a key that are no text as U+FFFD.
"""

import time
from http import HTTPStatus

from attrs import define

from standins.http_server import Exchange, create_standin_parser, run_standin
from standins.platform_store import PlatformStore, Topic


@define
class AnyKeyTopic(Topic):
    """A topic whose keys may be any bytes."""

    def append(self, content: bytes, keyed: bool) -> None:
        """Appends one record; in a keyed topic, an empty value deletes the key."""
        if keyed:
            end = 1 + content[0]
            key, value = content[1:end].decode("utf-8", "replace"), content[end:]
            if value:
                self.newest_by_key[key] = (self.end_offset, value)
            else:
                self.newest_by_key.pop(key, None)
        self.records.append(content)


@define
class AnyKeyStore(PlatformStore):
    """The store with topics whose keys may be any bytes."""

    async def handle(self, exchange: Exchange) -> None:
        """Answers one request."""
        if exchange.request.path != "/put-bytes":
            await super().handle(exchange)
            return
        fields = exchange.request.json_body()
        key, value = bytes.fromhex(str(fields["key"])), str(fields["value"]).encode()
        record = bytes([len(key)]) + key + value
        self.append(str(fields["topic"]), record, time.monotonic())
        await exchange.send_json(HTTPStatus.OK, {})

    def _topic(self, name: str) -> Topic:
        return self.topics.setdefault(name, AnyKeyTopic())


def main() -> None:
    """Runs the process that stands in for the platform's store."""
    parser = create_standin_parser("Stand-in for the platform's store, with keys of any bytes.")
    parser.add_argument("--era", type=int, help="era to state in each answer; none by default")
    arguments = parser.parse_args()
    run_standin(arguments, AnyKeyStore(era=arguments.era).handle)


if __name__ == "__main__":
    main()
