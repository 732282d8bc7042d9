"""Stand-in for the platform's membership list: serves a list that a test or script puts."""

import json
from pathlib import Path

from attrs import define

from standins.http_server import Exchange, run_standin, standin_parser


@define
class Members:
    """The list and its version."""

    value: dict[str, object]
    # Whether the platform is away.
    away: bool = False

    async def handle(self, exchange: Exchange) -> None:
        """Answers one request."""
        request = exchange.request
        if request.path == "/faults":
            self.away = bool(request.value().get("away", False))
            await exchange.answer(200, {})
        elif self.away:
            exchange.abort()
        elif request.method == "GET" and request.path == "/v1/members":
            await self._read(exchange)
        elif request.method == "PUT" and request.path == "/v1/members":
            version = int(str(self.value["version"])) + 1
            self.value = {**request.value(), "version": version}
            await exchange.answer(200, {"version": version})
        else:
            await exchange.answer(404, {"error": "no such path"})

    async def _read(self, exchange: Exchange) -> None:
        tag = f'"{self.value["version"]}"'
        if exchange.request.headers.get("if-none-match") == tag:
            await exchange.answer_unchanged()
        else:
            await exchange.answer(200, self.value, (("ETag", tag),))


def main() -> None:
    """Runs the membership stand-in."""
    parser = standin_parser("Stand-in for the platform's membership list.")
    parser.add_argument("--file", help="JSON file with the first list")
    arguments = parser.parse_args()
    value: dict[str, object] = {"version": 1, "backends": [], "hosts": []}
    if arguments.file:
        value = json.loads(Path(arguments.file).read_text(encoding="utf-8"))
    run_standin(arguments, Members(value).handle)


if __name__ == "__main__":
    main()
