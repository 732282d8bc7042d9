"""Stand-in for the platform's weight store: rate-limited look-ups of published model versions.

Fault: `away` (connections are aborted).
"""

import json
import time
from pathlib import Path

from attrs import define, field

from standins.http_server import Exchange, create_standin_parser, run_standin


@define
class WeightStore:
    """The published models and the rate limit of the look-ups."""

    # Adapters of each published model, by MODEL@VERSION.
    published: dict[str, list[str]]
    lookups_per_s: float
    unavailable: bool = False
    lookup_count: int = 0
    refused_count: int = 0
    # Token bucket of the rate limit: look-ups allowed now, and when it was last refilled.
    tokens: float = 1.0
    tokens_updated_s: float = field(factory=time.monotonic)

    async def handle(self, exchange: Exchange) -> None:
        """Answers one request."""
        request = exchange.request
        if request.path == "/faults":
            self.unavailable = bool(request.json_body().get("away", False))
            await exchange.send_json(200, {})
        elif request.path == "/witness":
            await exchange.send_json(
                200, {"lookups": self.lookup_count, "refused": self.refused_count}
            )
        elif self.unavailable:
            exchange.abort_connection()
        elif not self._take_token():
            self.refused_count += 1
            await exchange.send_json(429, {"error": "too many lookups"}, (("Retry-After", "1"),))
        else:
            await self._look_up(exchange)

    async def _look_up(self, exchange: Exchange) -> None:
        self.lookup_count += 1
        model, _, version = exchange.request.path.removeprefix("/v1/models/").partition(
            "/versions/"
        )
        adapters = self.published.get(f"{model}@{version}")
        if adapters is None:
            await exchange.send_json(404, {"error": "not published"})
        else:
            await exchange.send_json(200, {"adapters": adapters})

    def _take_token(self) -> bool:
        now_s = time.monotonic()
        refilled = (now_s - self.tokens_updated_s) * self.lookups_per_s
        self.tokens = min(self.tokens + refilled, max(1.0, self.lookups_per_s))
        self.tokens_updated_s = now_s
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def main() -> None:
    """Runs the process that stands in for the platform's weight store."""
    parser = create_standin_parser("Stand-in for the platform's weight store.")
    parser.add_argument("--file", required=True, help="JSON file with the published models")
    parser.add_argument("--lookups-per-s", type=float, default=5.0)
    arguments = parser.parse_args()
    published = json.loads(Path(arguments.file).read_text(encoding="utf-8"))
    run_standin(arguments, WeightStore(published, arguments.lookups_per_s).handle)


if __name__ == "__main__":
    main()
