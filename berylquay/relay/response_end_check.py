"""Tells whether the answer to a call is whole that ended with its connection."""

from math import inf
from typing import Final

from attrs import define, evolve, field

from berylquay.decisions.relay_call import RelayCall
from berylquay.decisions.response_end import EndVerdict, WaitingTime, judge_end
from berylquay.relay.call_logging import log_unframed_end
from berylquay.relay.response_relay import ResponseRelay
from berylquay.relay.services import RelayServices
from berylquay.relay.upstream_request import UpstreamRequest

# Fraction of the time for which callers wait for an event, after which another engine goes on.
RESUMPTION_FRACTION: Final = 0.5
# Time before the deadline from which a server may have stopped at it: servers are handed whole
# milliseconds, rounded down.
DEADLINE_ROUNDING_S: Final = 0.005
ALL_TOKENS: Final = "as many events as the request allows tokens"


@define(eq=False)
class ResponseEndCheck:
    """Finds out whether the server of one answer still runs."""

    _services: RelayServices
    _call: RelayCall
    _response: ResponseRelay
    # Attempt whose answer has ended.
    upstream: UpstreamRequest
    # Monotonic time at which it ended.
    _ended_s: float
    _waiting_time: WaitingTime = field(init=False)
    # What the result follows from, for logs.
    evidence: str = field(default="", init=False)

    def __attrs_post_init__(self) -> None:
        """Begins to count the time that is waited."""
        self._waiting_time = WaitingTime(self._ended_s)

    def judge(self, now_s: float) -> EndVerdict | None:
        """Returns, and logs, what the end is taken for, or None while that is not known."""
        verdict = self._judge(now_s)
        if verdict is not None:
            log_unframed_end(
                self._call,
                self.upstream,
                newest_event_id=self._response.newest_event_id,
                verdict=verdict.value,
                evidence=self.evidence,
                checked_s=now_s - self._ended_s,
            )
        return verdict

    def _judge(self, now_s: float) -> EndVerdict | None:
        if self._has_all_events():
            self.evidence = ALL_TOKENS
            return EndVerdict.WHOLE
        if self._ended_s >= self._call.deadline_s - DEADLINE_ROUNDING_S:
            return EndVerdict.AT_DEADLINE
        backend, services = self.upstream.backend, self._services
        started_unix_ms = services.connection_pool.find_start(
            backend.name, self.upstream.connection
        )
        if started_unix_ms:
            # It may be another start than the listed one, whose entry follows.
            backend = evolve(backend, started_unix_ms=started_unix_ms)
        state, self.evidence = services.instance_probes.state_since(backend, self._ended_s, now_s)
        return judge_end(state, self._waiting_time.on_tick(now_s), self._limit_s())

    def _has_all_events(self) -> bool:
        """Tells whether no event can follow: each has a token of those that the request allows."""
        generation = self._call.generation
        if generation is None or not generation.max_output_tokens:
            return False
        return self._response.event_count >= generation.max_output_tokens

    def _limit_s(self) -> float:
        """Returns the time for which the server may be silent after the end."""
        route = self._call.route
        if not route.streaming:
            # The caller waits until the deadline anyhow.
            return inf
        # Another engine must go on before the caller abandons the stream.
        return route.stall_timeout_s * (RESUMPTION_FRACTION if route.resumable else 1.0)
