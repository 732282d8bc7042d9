"""Stand-in for the platform's weight store: says which versions of models it has, at a low rate.

Faults: away.
"""

import json
import time
from pathlib import Path

from attrs import define, field

from standins.http_server import Exchange, run_standin, standin_parser


@define
class Weights:
    """The published models: adapters by model and version, as MODEL@VERSION."""

    published: dict[str, list[str]]
    lookups_per_s: float
    away: bool = False
    lookups: int = 0
    refused: int = 0
    allowance: float = 1.0
    allowance_s: float = field(factory=time.monotonic)

    async def handle(self, exchange: Exchange) -> None:
        """Answers one request."""
        request = exchange.request
        if request.path == "/faults":
            self.away = bool(request.value().get("away", False))
            await exchange.answer(200, {})
        elif request.path == "/witness":
            await exchange.answer(200, {"lookups": self.lookups, "refused": self.refused})
        elif self.away:
            exchange.abort()
        elif not self._take_allowance():
            self.refused += 1
            await exchange.answer(429, {"error": "too many lookups"}, (("Retry-After", "1"),))
        else:
            await self._look_up(exchange)

    async def _look_up(self, exchange: Exchange) -> None:
        self.lookups += 1
        model, _, version = exchange.request.path.removeprefix("/v1/models/").partition(
            "/versions/"
        )
        adapters = self.published.get(f"{model}@{version}")
        if adapters is None:
            await exchange.answer(404, {"error": "not published"})
        else:
            await exchange.answer(200, {"adapters": adapters})

    def _take_allowance(self) -> bool:
        now_s = time.monotonic()
        gained = (now_s - self.allowance_s) * self.lookups_per_s
        self.allowance = min(self.allowance + gained, max(1.0, self.lookups_per_s))
        self.allowance_s = now_s
        if self.allowance < 1.0:
            return False
        self.allowance -= 1.0
        return True


def main() -> None:
    """Runs the weight store stand-in."""
    parser = standin_parser("Stand-in for the platform's weight store.")
    parser.add_argument("--file", required=True, help="JSON file with the published models")
    parser.add_argument("--lookups-per-s", type=float, default=5.0)
    arguments = parser.parse_args()
    published = json.loads(Path(arguments.file).read_text(encoding="utf-8"))
    run_standin(arguments, Weights(published, arguments.lookups_per_s).handle)


if __name__ == "__main__":
    main()
