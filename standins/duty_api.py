"""Stand-in for the platform's API for duties: carries out each call, and checks its rules.

`POST /usage` and `POST /scale` are calls. Faults, set by `POST /faults`: away (503, and the call is
not carried out), silent (no answer, not carried out), lose_answers (number of calls that are
carried out without an answer), delay_s (until a call is carried out), none_available (409 for
scaling) and busy (503 although it was carried out). `GET /calls` returns the calls that were
carried out, and the rules that were broken.
"""

import asyncio
import json
import time
from collections.abc import Mapping
from typing import Final

from attrs import asdict, define, field, frozen

from standins.http_server import Exchange, create_standin_parser, run_standin

USAGE_PATH: Final = "/usage"
SCALE_PATH: Final = "/scale"
UNRESPONSIVE_HOLD_S: Final = 60.0
MS_PER_S: Final = 1000.0


@frozen
class DutyCall:
    """A call that was carried out."""

    at_s: float
    # What may have one holder at a time: the reports, or a pool in a data centre.
    subject: str
    holder: str
    token: int
    fields: Mapping[str, object]


@define
class DutyLedger:
    """The calls that were carried out, and the rules that they have broken."""

    lease_s: float
    calls: list[DutyCall] = field(factory=list)
    broken: list[str] = field(factory=list)
    # Counts by window, and the first time at which each was reported.
    usage: dict[int, Mapping[str, int]] = field(factory=dict)
    reported_s: dict[int, float] = field(factory=dict)
    _by_subject: dict[str, list[DutyCall]] = field(factory=dict)

    def carry_out(
        self, path: str, holder: str, token: int, fields: Mapping[str, object], at_s: float
    ) -> None:
        """Records a call and checks it against those before it."""
        subject = "usage" if path == USAGE_PATH else f"{fields['service']}/{fields['zone']}"
        call = DutyCall(at_s, subject, holder, token, fields)
        earlier = self._by_subject.setdefault(subject, [])
        self._check_holder(call, earlier)
        if path == USAGE_PATH:
            self._check_usage(call)
        earlier.append(call)
        self.calls.append(call)

    def _check_holder(self, call: DutyCall, earlier: list[DutyCall]) -> None:
        if not earlier:
            return
        last = earlier[-1]
        if call.token < last.token:
            self._break("a lower token after a higher one", last, call)
        if call.token == last.token and call.holder != last.holder:
            self._break("two holders with one token", last, call)
        if call.holder != last.holder:
            before = [one for one in earlier if one.holder == call.holder]
            if before and call.at_s - before[-1].at_s < self.lease_s:
                self._break("holders in the order A, B, A within the lease", last, call)

    def _check_usage(self, call: DutyCall) -> None:
        window_id = int(str(call.fields["windowId"]))
        counts = call.fields["counts"]
        assert isinstance(counts, dict)
        if self.usage.setdefault(window_id, counts) != counts:
            self.broken.append(
                f"window {window_id} has two reports: {self.usage[window_id]}, {call}"
            )
        self.reported_s.setdefault(window_id, call.at_s)

    def _break(self, rule: str, before: DutyCall, call: DutyCall) -> None:
        self.broken.append(f"{rule}: {before}, {call}")


@define
class DutyApi:
    """The API, and the injected faults."""

    ledger: DutyLedger
    calls_per_s: float
    faults: dict[str, object] = field(factory=dict)
    _recent_calls_s: list[float] = field(factory=list)

    async def handle(self, exchange: Exchange) -> None:
        """Answers one request."""
        path = exchange.request.path
        if path == "/faults":
            self.faults = exchange.request.json_body()
            await exchange.send_json(200, {})
        elif path == "/calls":
            calls = [asdict(call) for call in self.ledger.calls]
            await exchange.send_json(200, {"calls": calls, "broken": self.ledger.broken})
        elif path in (USAGE_PATH, SCALE_PATH):
            await self._handle_call(exchange)
        else:
            await exchange.send_json(404, {"error": "no such call"})

    async def _handle_call(self, exchange: Exchange) -> None:
        if self.faults.get("silent"):
            await asyncio.sleep(UNRESPONSIVE_HOLD_S)
            exchange.abort_connection()
            return
        if self.faults.get("away"):
            await exchange.send_json(503, {"error": "away"})
            return
        if self._is_above_rate():
            await exchange.send_json(429, {"error": "too many calls"})
            return
        request = exchange.request
        if request.path == SCALE_PATH and self.faults.get("none_available"):
            await exchange.send_json(409, {"error": "none available"})
            return
        await asyncio.sleep(float(str(self.faults.get("delay_s", 0.0))))
        self.ledger.carry_out(
            request.path,
            request.headers["duty-holder"],
            int(request.headers["fence-token"]),
            json.loads(request.body),
            time.time(),
        )
        lost = int(str(self.faults.get("lose_answers", 0)))
        if lost:
            self.faults["lose_answers"] = lost - 1
            exchange.abort_connection()
        elif self.faults.get("busy"):
            await exchange.send_json(503, {"error": "busy"})
        else:
            await exchange.send_json(200, {})

    def _is_above_rate(self) -> bool:
        now_s = time.monotonic()
        self._recent_calls_s = [at_s for at_s in self._recent_calls_s if now_s - at_s < 1.0]
        self._recent_calls_s.append(now_s)
        return len(self._recent_calls_s) > self.calls_per_s


def main() -> None:
    """Runs the process that stands in for the platform's API for duties."""
    parser = create_standin_parser("Stand-in for the platform's API for duties.")
    parser.add_argument("--lease-ms", type=float, default=3000.0)
    parser.add_argument("--calls-per-s", type=float, default=50.0)
    arguments = parser.parse_args()
    ledger = DutyLedger(arguments.lease_ms / MS_PER_S)
    run_standin(arguments, DutyApi(ledger, arguments.calls_per_s).handle)


if __name__ == "__main__":
    main()
