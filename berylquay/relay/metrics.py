"""Counters and latency histograms of a relay host, for Prometheus."""

from typing import Final

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

from berylquay.relay.tenant_metrics import TenantMetrics

LATENCY_BUCKETS_S: Final = (0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2.0, 4.0, 8.0)


class RelayMetrics:
    """All metrics of one process."""

    _registry: Registry
    # Final responses to callers, by route and outcome.
    _calls: Counter
    # Attempts at backend servers, by pool and outcome.
    _attempts: Counter
    _first_byte_time: Histogram
    _call_time: Histogram
    # By how much the first token came later than predicted; 0 if it was in time.
    _prediction_excess: Histogram
    _open_calls: Gauge
    _configuration_version: Gauge
    _store_era: Gauge
    # Times at which the store came back from an older copy.
    _store_restores: Counter
    # What servers state in answers: changes by cause and source, and how many are affected now.
    _server_notices: Counter
    _paused_servers: Gauge
    _leaving_servers: Gauge
    # Prompt segments that were quarantined, by how this host learned it.
    _quarantined_segments: Counter
    # Streams that callers took up again, by how their version was found.
    _streams_taken_up: Counter
    # Calls that reported usage, by outcome.
    _usage_reports: Counter
    # 1 while no server is reachable by a connection of this host's own, else 0.
    _cut_off: Gauge
    # Unexpected errors, by the component in which they were raised.
    _unexpected_errors: Counter
    # Servers of scaled pools by data centre and kind: ordered, and registered as ready.
    _desired_servers: Gauge
    _present_servers: Gauge
    # Orders of servers, by outcome.
    _server_orders: Counter
    # Log lines dropped to limit their volume, or because standard output failed.
    _dropped_lines: Gauge
    # Metrics of tenants and their keys.
    tenants: TenantMetrics

    def __init__(self) -> None:
        self.tenants = TenantMetrics()
        self._registry = registry = Registry()
        self._calls = Counter("berylquay_relay_calls_total", "Final answers", registry=registry)
        self._attempts = Counter(
            "berylquay_relay_attempts_total", "Attempts at backend servers", registry=registry
        )
        self._first_byte_time = self._histogram("first_byte_seconds", "From receipt to first byte")
        self._call_time = self._histogram("call_seconds", "From receipt to the end of the answer")
        self._prediction_excess = self._histogram(
            "prediction_excess_seconds", "First token later than predicted"
        )
        self._open_calls = Gauge("berylquay_relay_open_calls", "Open calls", registry=registry)
        self._configuration_version = Gauge(
            "berylquay_relay_configuration_version", "Version in force", registry=registry
        )
        self._store_era = Gauge("berylquay_relay_store_era", "Era of the store", registry=registry)
        self._store_restores = Counter(
            "berylquay_relay_store_restores_total", "Rises of the store's era", registry=registry
        )
        self._server_notices = Counter(
            "berylquay_relay_server_notices_total",
            "Servers that were found to leave or to want no requests",
            registry=registry,
        )
        self._paused_servers = Gauge(
            "berylquay_relay_paused_servers", "Servers that want no requests", registry=registry
        )
        self._leaving_servers = Gauge(
            "berylquay_relay_leaving_servers",
            "Instances of servers that said that they leave",
            registry=registry,
        )
        self._quarantined_segments = Counter(
            "berylquay_relay_quarantined_segments_total",
            "Prompt segments that were found to crash engines",
            registry=registry,
        )
        self._streams_taken_up = Counter(
            "berylquay_relay_streams_taken_up_total",
            "Streams that callers took up again",
            registry=registry,
        )
        self._pool_versions_written = Counter(
            "berylquay_relay_pool_versions_written_total",
            "Records of a pool's software versions written to the store",
            registry=registry,
        )
        self._stream_versions_written = Counter(
            "berylquay_relay_stream_versions_written_total",
            "Streams whose software version was written to the store",
            registry=registry,
        )
        self._stream_versions_read = Counter(
            "berylquay_relay_stream_versions_read_total",
            "Streams whose software version was read in the store",
            registry=registry,
        )
        self._usage_reports = Counter(
            "berylquay_relay_usage_reports_total",
            "Calls that reported the usage of a window",
            registry=registry,
        )
        self._cut_off = Gauge(
            "berylquay_relay_cut_off",
            "Whether the paths to all servers of some pool are lost",
            registry=registry,
        )
        self._unexpected_errors = Counter(
            "berylquay_relay_unexpected_errors_total",
            "Errors that were not expected; each ended one connection, message or step",
            registry=registry,
        )
        self._desired_servers = Gauge(
            "berylquay_relay_servers_desired", "Servers that are ordered", registry=registry
        )
        self._present_servers = Gauge(
            "berylquay_relay_servers_present", "Servers that are ready", registry=registry
        )
        self._server_orders = Counter(
            "berylquay_relay_server_orders_total", "Orders of servers", registry=registry
        )
        self._dropped_lines = Gauge(
            "berylquay_relay_dropped_log_lines", "Log lines dropped", registry=registry
        )

    def on_call_ended(self, route: str, outcome: str, total_s: float) -> None:
        """Counts a final response, and records its total time."""
        self._calls.inc({"route": route, "outcome": outcome})
        self._call_time.add({"route": route}, total_s)

    def on_attempt_ended(self, pool: str, outcome: str) -> None:
        """Counts an ended attempt at a backend server."""
        self._attempts.inc({"pool": pool, "end": outcome})

    def on_store_era(self, era: int, *, has_risen: bool) -> None:
        """Records the era of the store, and whether an earlier one was known."""
        self._store_era.set({}, era)
        if has_risen:
            self._store_restores.inc({})

    def on_server_notice(self, cause: str, source: str) -> None:
        """Counts a server that was found to be leaving or paused."""
        self._server_notices.inc({"cause": cause, "source": source})

    def on_segment_quarantined(self, source: str) -> None:
        """Counts a prompt segment that was quarantined."""
        self._quarantined_segments.inc({"source": source})

    def on_stream_taken_up(self, source: str) -> None:
        """Counts a stream that a caller took up, by how its version was found."""
        self._streams_taken_up.inc({"source": source})

    def on_pool_versions_written(self, pool: str) -> None:
        """Counts a record of a pool's software versions that was written."""
        self._pool_versions_written.inc({"pool": pool})

    def on_stream_versions_written(self, streams: int) -> None:
        """Counts streams whose software version was written."""
        self._stream_versions_written.add({}, streams)

    def on_stream_versions_read(self, streams: int) -> None:
        """Counts streams whose software version was read."""
        self._stream_versions_read.add({}, streams)

    def on_usage_reported(self, outcome: str) -> None:
        """Counts a call that reported the usage of a window."""
        self._usage_reports.inc({"outcome": outcome})

    def on_cut_off(self, *, is_cut_off: bool) -> None:
        """Records whether the host has lost its paths to all servers of some pool."""
        self._cut_off.set({}, int(is_cut_off))

    def on_unexpected_error(self, component: str) -> None:
        """Counts an error that was not expected."""
        self._unexpected_errors.inc({"component": component})

    def on_server_notices(self, paused: int, leaving: int) -> None:
        """Records how many servers are paused and leaving."""
        self._paused_servers.set({}, paused)
        self._leaving_servers.set({}, leaving)

    def on_scaled_servers(
        self, pool: str, data_centre: str, kind: str, *, desired: int, present: int
    ) -> None:
        """Records how many servers of a kind are ordered and ready in a data centre."""
        labels = {"pool": pool, "data_centre": data_centre, "kind": kind}
        self._desired_servers.set(labels, desired)
        self._present_servers.set(labels, present)

    def on_server_order(self, outcome: str) -> None:
        """Counts an order of servers."""
        self._server_orders.inc({"outcome": outcome})

    def on_first_byte(self, route: str, elapsed_s: float, predicted_s: float | None) -> None:
        """Records the time to the first byte of a response's body.

        Args:
            route: Route of the call.
            elapsed_s: Time from the receipt of the call.
            predicted_s: Predicted time to the first token, or None if there was no prediction.
        """
        self._first_byte_time.add({"route": route}, elapsed_s)
        if predicted_s is not None:
            self._prediction_excess.add({"route": route}, max(0.0, elapsed_s - predicted_s))

    def render(self, open_calls: int, configuration_version: int, dropped_lines: int) -> bytes:
        """Returns all metrics in Prometheus' text format."""
        self._open_calls.set({}, open_calls)
        self._configuration_version.set({}, configuration_version)
        self._dropped_lines.set({}, dropped_lines)
        content, _headers = render(self._registry, ["text/plain"])
        return content + self.tenants.render()

    def _histogram(self, name: str, description: str) -> Histogram:
        return Histogram(
            f"berylquay_relay_{name}",
            description,
            registry=self._registry,
            buckets=list(LATENCY_BUCKETS_S),
        )
