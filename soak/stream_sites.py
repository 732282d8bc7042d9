"""The kinds of stream, engines and bounds of a soak: fixed ones, or those of a site file."""

import math
import tomllib
from collections.abc import Mapping
from pathlib import Path
from random import Random
from typing import Any, Final

from attrs import frozen

from tests.support.relay_fleet import HOST_NAME, PATHS, make_configuration

POOL: Final = "lm"
EVENTS: Final = 40
# Engines of a run, fewer than the site has, and the fewest of each role.
MAX_SITE_ENGINES: Final = 6
MIN_DECODE_ENGINES: Final = 3
# Most events of a stream of a site, which keeps a run short.
MAX_EVENTS: Final = 60
# Shortest time without an event after which callers leave.
MIN_PATIENCE_S: Final = 2.0
# Engines that the site file does not describe.
OLD_ENGINES: Final = 4
RETRY_EXTRA: Final = 58


@frozen
class StreamKind:
    """A kind of stream and its route."""

    name: str
    is_resumable: bool
    # Share of the traffic, in any unit.
    share: float = 1.0
    priority: int = 1
    aim_ms: int = 400
    deadline_ms: int = 4000
    timeout_ms: int = 4000
    attempts: int = 1
    gap_aim_ms: int = 150
    prompt_tokens: int = 20
    tokens_per_event: int = 1
    mean_events: float = EVENTS
    # Spread of the logarithm of the number of events; 0 if all streams have the same.
    events_spread: float = 0.0

    @property
    def path(self) -> str:
        """Returns the path prefix of the route."""
        return PATHS.get(self.name) or f"/{self.name}/"

    @property
    def patience_s(self) -> float:
        """Returns the time without an event after which callers leave."""
        return max(MIN_PATIENCE_S, 0.004 * self.aim_ms, 0.008 * self.gap_aim_ms)

    def draw_event_count(self, rng: Random) -> int:
        """Draws the number of events of a stream."""
        if not self.events_spread:
            return round(self.mean_events)
        mu = math.log(self.mean_events) - self.events_spread**2 / 2.0
        return min(MAX_EVENTS, max(1, round(rng.lognormvariate(mu, self.events_spread))))

    def route(self) -> dict[str, object]:
        """Returns the route of this kind in the configuration."""
        return {
            "name": self.name,
            "host": HOST_NAME,
            "pathPrefix": self.path,
            "kind": "streaming",
            "timeoutMs": self.timeout_ms,
            "goalMs": self.aim_ms,
            "priority": self.priority,
            "service": POOL,
            "maxAttempts": self.attempts,
            "sessionAffinity": True,
            "resumable": self.is_resumable,
            "gapTargetMs": self.gap_aim_ms,
        }


RESUMABLE: Final = StreamKind("resumable", is_resumable=True)
NOT_RESUMABLE: Final = StreamKind("stream", is_resumable=False)


@frozen
class Site:
    """What a run takes from a deployment."""

    kinds: tuple[StreamKind, ...]
    configuration: Mapping[str, object]
    decode_engines: int = OLD_ENGINES
    prefill_engines: int = 0
    retry_extra: int = RETRY_EXTRA
    data_centres: tuple[str, ...] = ()

    def choose_kind(self, rng: Random) -> StreamKind:
        """Draws a kind by its share of the traffic."""
        return rng.choices(self.kinds, [kind.share for kind in self.kinds])[0]


DEFAULT_SITE: Final = Site((RESUMABLE, NOT_RESUMABLE), make_configuration())


def read_site(file: Path) -> Site:
    """Reads a site file of the users."""
    text = tomllib.loads(file.read_text(encoding="utf-8"))
    service = next(service for service in text["services"] if "llm" in service)
    engine = service["llm"]
    count = min(MAX_SITE_ENGINES, sum(servers["count"] for servers in service["servers"]))
    decode = max(MIN_DECODE_ENGINES, round(count * (1.0 - engine["prefill"])))
    kinds = tuple(
        _read_kind(kind, text["traffic"], engine["stride"])
        for kind in text["classes"]
        if kind["kind"] == "stream" and kind["service"] == service["name"]
    )
    described = {
        "name": POOL,
        "healthPath": "/health",
        "maxConns": service["conn_cap"],
        "engine": {
            "slots": service["slots"],
            "kvCapTokens": engine["kv_tokens"],
            "kvTokenBytes": int(engine["kv_bytes"]),
            "linkMbps": engine["link_mbps"],
        },
    }
    configuration = make_configuration(
        routes=[kind.route() for kind in kinds], services=[described]
    )
    return Site(
        kinds,
        configuration,
        decode,
        count - decode,
        int(text["bounds"]["budget_slack"]),
        tuple(zone["name"] for zone in text["zones"]),
    )


def _read_kind(kind: dict[str, Any], traffic: list[dict[str, Any]], stride: int) -> StreamKind:
    stream = kind["stream"]
    return StreamKind(
        name=kind["name"],
        is_resumable=stream["resume"],
        share=sum(zone["mix"][kind["name"]] * zone["per_s"] for zone in traffic),
        priority=kind["priority"],
        aim_ms=int(kind["aim_ms"]),
        deadline_ms=int(kind["deadline_ms"]),
        timeout_ms=int(kind["timeout_ms"]),
        attempts=kind["attempts"],
        gap_aim_ms=int(stream["gap_aim_ms"]),
        prompt_tokens=int(stream["prompt_tokens"]["mean"]),
        tokens_per_event=stride,
        mean_events=stream["pieces"]["mean"],
        events_spread=stream["pieces"]["spread"],
    )
