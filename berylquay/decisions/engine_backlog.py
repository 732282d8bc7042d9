"""Backlog of engines: prompt tokens that wait to be read and streams that run, over all hosts.

Each host counts what it has sent itself and adds what the others last told. A report that was not
renewed is void: its host is gone or cut off, and its requests end with it.
"""

from collections.abc import Mapping
from typing import Final

from attrs import define, field, frozen

# Age at which another host's report is void; several times the interval between reports.
REPORT_TTL_S: Final = 1.5


@frozen
class EngineLoad:
    """What one host has under way at one engine."""

    # Streams that run or are about to.
    streams: int = 0
    # Prompt tokens that are to be read.
    prefill_tokens: int = 0


@frozen
class _PeerReport:
    """What another host last told."""

    received_s: float
    loads: Mapping[str, EngineLoad]


@define
class EngineBacklog:
    """Work under way at each engine."""

    # Tokens of own prompts by engine and call id.
    _prompts: dict[str, dict[str, int]] = field(factory=dict, init=False)
    # Own streams by engine: ids of their calls.
    _streams: dict[str, set[str]] = field(factory=dict, init=False)
    _peer_reports: dict[str, _PeerReport] = field(factory=dict, init=False)

    def add_prompt(self, engine: str, call_id: str, tokens: int) -> None:
        """Takes note of a prompt that was sent to an engine."""
        self._prompts.setdefault(engine, {})[call_id] = tokens

    def remove_prompt(self, engine: str, call_id: str) -> None:
        """Takes note that a prompt was read or given up."""
        self._prompts.get(engine, {}).pop(call_id, None)

    def add_stream(self, engine: str, call_id: str) -> None:
        """Takes note of a stream that was asked for."""
        self._streams.setdefault(engine, set()).add(call_id)

    def remove_stream(self, engine: str, call_id: str) -> None:
        """Takes note that a stream has ended."""
        self._streams.get(engine, set()).discard(call_id)

    def on_peer_report(self, host: str, loads: Mapping[str, EngineLoad], now_s: float) -> None:
        """Takes another host's report, which replaces its last one."""
        self._peer_reports[host] = _PeerReport(now_s, loads)

    def waiting_prefill_tokens(self, engine: str, now_s: float) -> int:
        """Returns the prompt tokens that are read before those of a new request.

        Whatever their ranks: an engine admits as many requests as it has slots and reads their
        prompts in turn.
        """
        own = sum(self._prompts.get(engine, {}).values())
        return own + sum(load.prefill_tokens for load in self._peer_loads(engine, now_s))

    def streams(self, engine: str, now_s: float) -> int:
        """Returns the streams under way at an engine."""
        own = len(self._streams.get(engine, ()))
        return own + sum(load.streams for load in self._peer_loads(engine, now_s))

    def own_loads(self) -> dict[str, EngineLoad]:
        """Returns what this host has under way, for the other hosts."""
        loads: dict[str, EngineLoad] = {}
        for engine in {*self._prompts, *self._streams}:
            tokens = sum(self._prompts.get(engine, {}).values())
            streams = len(self._streams.get(engine, ()))
            if tokens or streams:
                loads[engine] = EngineLoad(streams, tokens)
        return loads

    def _peer_loads(self, engine: str, now_s: float) -> list[EngineLoad]:
        oldest_s = now_s - REPORT_TTL_S
        return [
            report.loads[engine]
            for report in self._peer_reports.values()
            if report.received_s >= oldest_s and engine in report.loads
        ]
