"""Backlog of engines over all hosts: prompt tokens that wait for prefill, and running streams.

Each host counts its own requests and adds the latest reports from the others. In a large fleet only
the hosts of its region report to it; those of each other region are covered by one summary. A
report that is not renewed expires: its host is gone or cut off, and its requests end with it. The
reports are summed when they arrive, so a placement costs the same however many hosts there are.
"""

from collections import OrderedDict
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
class _ReportedTotal:
    """Sum of the valid reports on one engine."""

    streams: int = 0
    prefill_tokens: int = 0


@define
class _ReportSums:
    """The newest report of each sender, and the sums of the valid ones by engine."""

    # Valid reports by sender, the oldest first.
    _reports: "OrderedDict[str, _PeerReport]" = field(factory=OrderedDict, init=False)
    # Engines without reported work are left out.
    totals: dict[str, _ReportedTotal] = field(factory=dict, init=False)

    def replace(self, sender: str, loads: Mapping[str, EngineLoad], now_s: float) -> None:
        """Replaces the previous report of a sender."""
        previous = self._reports.pop(sender, None)
        if previous is not None:
            self._add(previous.loads, -1)
        self._reports[sender] = _PeerReport(now_s, loads)
        self._add(loads, 1)

    def drop_expired(self, now_s: float) -> None:
        """Drops reports that were not renewed in time."""
        oldest_s = now_s - REPORT_TTL_S
        while self._reports:
            sender, report = next(iter(self._reports.items()))
            if report.received_s >= oldest_s:
                return
            del self._reports[sender]
            self._add(report.loads, -1)

    def has_valid(self, sender: str, now_s: float) -> bool:
        """Tells whether a sender's report has not expired."""
        report = self._reports.get(sender)
        return report is not None and report.received_s >= now_s - REPORT_TTL_S

    def _add(self, loads: Mapping[str, EngineLoad], sign: int) -> None:
        for engine, load in loads.items():
            total = self.totals.setdefault(engine, _ReportedTotal())
            total.streams += sign * load.streams
            total.prefill_tokens += sign * load.prefill_tokens
            if not total.streams and not total.prefill_tokens:
                del self.totals[engine]


@define
class EngineBacklog:
    """Work in flight at each engine."""

    # Tokens of this host's prompts by engine and call id.
    _prompts: dict[str, dict[str, int]] = field(factory=dict, init=False)
    # Call ids of this host's streams by engine.
    _streams: dict[str, set[str]] = field(factory=dict, init=False)
    # Reports of the hosts that share their load with this one.
    _peers: _ReportSums = field(factory=_ReportSums, init=False)
    # Summaries of the hosts of other regions, by region.
    _regions: _ReportSums = field(factory=_ReportSums, init=False)
    # Time as of which expired reports were dropped last.
    _expired_at_s: float = field(default=float("-inf"), init=False)

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
        self._peers.replace(host, loads, now_s)

    def on_region_summary(self, region: str, loads: Mapping[str, EngineLoad], now_s: float) -> None:
        """Replaces the previous summary of the hosts of another region."""
        self._regions.replace(region, loads, now_s)

    def knows_region(self, region: str, now_s: float) -> bool:
        """Tells whether the load that the hosts of another region cause is known."""
        return self._regions.has_valid(region, now_s)

    def waiting_prefill_tokens(self, engine: str, now_s: float) -> int:
        """Returns the prompt tokens that are prefilled before those of a new request.

        They count whatever their ranks: an engine admits as many requests as it has slots and
        prefills their prompts in order of arrival.
        """
        prompts = self._prompts.get(engine)
        tokens = sum(prompts.values()) if prompts else 0
        for totals in self._reported_totals(now_s):
            total = totals.get(engine)
            if total is not None:
                tokens += total.prefill_tokens
        return tokens

    def streams(self, engine: str, now_s: float) -> int:
        """Returns the number of streams in flight at an engine."""
        streams = len(self._streams.get(engine, ()))
        for totals in self._reported_totals(now_s):
            total = totals.get(engine)
            if total is not None:
                streams += total.streams
        return streams

    def own_loads(self) -> dict[str, EngineLoad]:
        """Returns this host's work in flight by engine, as reported to the other hosts."""
        loads: dict[str, EngineLoad] = {}
        for engine in {*self._prompts, *self._streams}:
            tokens = sum(self._prompts.get(engine, {}).values())
            streams = len(self._streams.get(engine, ()))
            if tokens or streams:
                loads[engine] = EngineLoad(streams, tokens)
        return loads

    def group_loads(self, now_s: float) -> dict[str, EngineLoad]:
        """Returns the work of this host and of those that share their load with it, by engine."""
        self._peers.drop_expired(now_s)
        loads = self.own_loads()
        for engine, total in self._peers.totals.items():
            own = loads.get(engine, EngineLoad())
            loads[engine] = EngineLoad(
                own.streams + total.streams, own.prefill_tokens + total.prefill_tokens
            )
        return loads

    def _reported_totals(self, now_s: float) -> tuple[dict[str, _ReportedTotal], ...]:
        if now_s != self._expired_at_s:
            self._expired_at_s = now_s
            self._peers.drop_expired(now_s)
            self._regions.drop_expired(now_s)
        return self._peers.totals, self._regions.totals
