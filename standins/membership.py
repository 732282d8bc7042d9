"""Stand-in for the platform's membership list: serves the list that a test or script uploads."""

import json
from pathlib import Path

from attrs import define

from standins.http_server import Exchange, create_standin_parser, run_standin


@define
class MembershipList:
    """The membership list, and the injected fault."""

    # Body of `GET /v1/members`, with its version.
    document: dict[str, object]
    # Whether connections are aborted, as if the platform were unavailable.
    unavailable: bool = False

    async def handle(self, exchange: Exchange) -> None:
        """Answers one request."""
        request = exchange.request
        if request.path == "/faults":
            self.unavailable = bool(request.json_body().get("away", False))
            await exchange.send_json(200, {})
        elif self.unavailable:
            exchange.abort_connection()
        elif request.method == "GET" and request.path == "/v1/members":
            await self._send_list(exchange)
        elif request.method == "PUT" and request.path == "/v1/members":
            version = int(str(self.document["version"])) + 1
            self.document = {**request.json_body(), "version": version}
            await exchange.send_json(200, {"version": version})
        else:
            await exchange.send_json(404, {"error": "no such path"})

    async def _send_list(self, exchange: Exchange) -> None:
        entity_tag = f'"{self.document["version"]}"'
        if exchange.request.headers.get("if-none-match") == entity_tag:
            await exchange.send_not_modified()
        else:
            await exchange.send_json(200, self.document, (("ETag", entity_tag),))


def main() -> None:
    """Runs the process that stands in for the platform's membership list."""
    parser = create_standin_parser("Stand-in for the platform's membership list.")
    parser.add_argument("--file", help="JSON file with the first list")
    arguments = parser.parse_args()
    document: dict[str, object] = {"version": 1, "backends": [], "hosts": []}
    if arguments.file:
        document = json.loads(Path(arguments.file).read_text(encoding="utf-8"))
    run_standin(arguments, MembershipList(document).handle)


if __name__ == "__main__":
    main()
