"""Backlog of engines over all hosts: prompt tokens that wait for prefill, and running streams.

Each host counts its own requests and adds the latest reports from the others. A report that is not
renewed expires: its host is gone or cut off, and its requests end with it.
"""

from collections.abc import Mapping
from typing import Final

from attrs import define, field, frozen

# Age at which another host's report expires; several times the interval between reports.
REPORT_TTL_S: Final = 1.5


@frozen
class EngineLoad:
    """Work that one host has in flight at one engine."""

    # Streams that run or are about to start.
    streams: int = 0
    # Prompt tokens that wait for prefill.
    prefill_tokens: int = 0


@frozen
class _PeerReport:
    """The latest report from another host."""

    received_s: float
    loads: Mapping[str, EngineLoad]


@define
class EngineBacklog:
    """Work in flight at each engine."""

    # Tokens of this host's prompts by engine and call id.
    _prompts: dict[str, dict[str, int]] = field(factory=dict, init=False)
    # Call ids of this host's streams by engine.
    _streams: dict[str, set[str]] = field(factory=dict, init=False)
    _peer_reports: dict[str, _PeerReport] = field(factory=dict, init=False)

    def add_prompt(self, engine: str, call_id: str, tokens: int) -> None:
        """Adds a prompt that was sent to an engine."""
        self._prompts.setdefault(engine, {})[call_id] = tokens

    def remove_prompt(self, engine: str, call_id: str) -> None:
        """Removes a prompt that was prefilled or abandoned."""
        self._prompts.get(engine, {}).pop(call_id, None)

    def add_stream(self, engine: str, call_id: str) -> None:
        """Adds a stream that was requested."""
        self._streams.setdefault(engine, set()).add(call_id)

    def remove_stream(self, engine: str, call_id: str) -> None:
        """Removes a stream that has ended."""
        self._streams.get(engine, set()).discard(call_id)

    def on_peer_report(self, host: str, loads: Mapping[str, EngineLoad], now_s: float) -> None:
        """Replaces the previous report from another host."""
        self._peer_reports[host] = _PeerReport(now_s, loads)

    def waiting_prefill_tokens(self, engine: str, now_s: float) -> int:
        """Returns the prompt tokens that are prefilled before those of a new request.

        They count whatever their ranks: an engine admits as many requests as it has slots and
        prefills their prompts in order of arrival.
        """
        own = sum(self._prompts.get(engine, {}).values())
        return own + sum(load.prefill_tokens for load in self._peer_loads(engine, now_s))

    def streams(self, engine: str, now_s: float) -> int:
        """Returns the number of streams in flight at an engine."""
        own = len(self._streams.get(engine, ()))
        return own + sum(load.streams for load in self._peer_loads(engine, now_s))

    def own_loads(self) -> dict[str, EngineLoad]:
        """Returns this host's work in flight by engine, as reported to the other hosts."""
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
