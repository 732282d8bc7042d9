"""Counters of tenants and their keys, rendered once the configuration has had tenants."""

from aioprometheus.collectors import Counter, Gauge, Registry
from aioprometheus.renderer import render

from berylquay.decisions.tenants.call_counts import TenantCallCounts
from berylquay.decisions.tenants.keys import TenantKeys


class TenantMetrics:
    """Metrics of one process by tenant; a scrape has few of them, whatever the number of tenants.

    Calls by tenant are gauges, as a tenant moves between the largest ones and the others.
    """

    _registry: Registry
    _tenants: Gauge
    _keys: Gauge
    # Requests whose key was refused, by cause.
    _key_refusals: Counter
    _calls: Gauge
    _answered_calls: Gauge
    _counts: TenantCallCounts
    # Whether the configuration has had tenants.
    _has_tenants: bool

    def __init__(self) -> None:
        self._registry = registry = Registry()
        self._tenants = Gauge(
            "berylquay_relay_tenants", "Tenants of the version in force", registry=registry
        )
        self._keys = Gauge(
            "berylquay_relay_tenant_keys", "Keys of the version in force", registry=registry
        )
        self._key_refusals = Counter(
            "berylquay_relay_key_refusals_total", "Keys that were refused", registry=registry
        )
        self._calls = Gauge(
            "berylquay_relay_tenant_calls",
            "Final answers to the largest tenants, and to all others together",
            registry=registry,
        )
        self._answered_calls = Gauge(
            "berylquay_relay_tenant_calls_answered",
            "Those of them that a backend server has given",
            registry=registry,
        )
        self._counts = TenantCallCounts()
        self._has_tenants = False

    def on_configuration(self, keys: TenantKeys | None) -> None:
        """Records the tenants and keys of the version that has come into force."""
        self._has_tenants = self._has_tenants or keys is not None
        self._tenants.set({}, 0 if keys is None else keys.tenant_count)
        self._keys.set({}, 0 if keys is None else keys.key_count)

    def on_key_refused(self, cause: str) -> None:
        """Counts a request whose key was refused, or could not be decided on."""
        self._key_refusals.inc({"cause": cause})

    def on_call_ended(self, tenant: str, *, was_answered: bool) -> None:
        """Counts the final answer to a call of a tenant."""
        self._counts.on_call_ended(tenant, was_answered=was_answered)

    def render(self) -> bytes:
        """Returns the metrics in Prometheus' text format; nothing without tenants."""
        if not self._has_tenants:
            return b""
        self._calls.values.clear()
        self._answered_calls.values.clear()
        for count in self._counts.largest():
            self._calls.set({"tenant": count.tenant}, count.calls)
            self._answered_calls.set({"tenant": count.tenant}, count.answered)
        content, _headers = render(self._registry, ["text/plain"])
        return content
