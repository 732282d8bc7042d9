"""Authentication of callers: which tenant's key a request carries, by the newest configuration."""

from collections.abc import Callable
from typing import Final

from attrs import define, field, frozen

from berylquay.decisions.freeze_guard import FreezeGuard
from berylquay.decisions.route_table import Route
from berylquay.decisions.tenants.keys import KeyFault
from berylquay.net.clocks import boot_clock_s
from berylquay.net.persistent_http import Headers
from berylquay.platform.request_codec import decode_caller_key
from berylquay.relay.store_views import ConfigurationView

# Time for which a newer version may be in force at other hosts, and the longest gap between ticks
# that is not a freeze, as fractions of the time within which a version must be in force.
MAX_LAG_FRACTION: Final = 0.4
MAX_TICK_GAP_FRACTION: Final = 0.4
DETAILS: Final = {
    KeyFault.MISSING: "the request has no key",
    KeyFault.SCHEME: "the request has no key of the scheme Bearer",
    KeyFault.EMPTY: "the request has an empty key",
    KeyFault.SEVERAL: "the request has several keys",
    KeyFault.UNKNOWN: "the key is not known",
}


@frozen
class CallerIdentity:
    """Whom a request is from."""

    # Name of the tenant, or None if the request needs no key.
    tenant: str | None
    # Priority rank of the tenant, or None if the route's applies.
    rank: int | None
    # Whether the configuration has tenants, so that servers get no key of the caller.
    hides_key: bool


@frozen
class KeyRefusal:
    """Why a request is not served."""

    # What is wrong with the key, or None if this host may not decide about it now: a newer
    # configuration may have added or removed it, so that the caller should retry.
    fault: KeyFault | None

    @property
    def detail(self) -> str:
        """Returns an explanation for the caller."""
        return "the configuration may be outdated" if self.fault is None else DETAILS[self.fault]


# The identity of callers where the configuration has no tenants.
ANONYMOUS: Final = CallerIdentity(None, None, hides_key=False)
# The identity of callers of a keyless route where the configuration has tenants.
_KEYLESS: Final = CallerIdentity(None, None, hides_key=True)


@define
class CallerAuthenticator:
    """Checks keys against the configuration in force."""

    _configuration: ConfigurationView
    # Returns the monotonic time at which the newest configuration was last confirmed.
    _configuration_confirmed_s: Callable[[], float]
    # Time since then after which a key that is not known may be a new one.
    _max_configuration_age_s: float
    _freeze_guard: FreezeGuard = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Starts to watch for freezes."""
        self._freeze_guard = FreezeGuard(self._max_configuration_age_s * MAX_TICK_GAP_FRACTION)

    def on_tick(self, now_s: float) -> None:
        """Notices a freeze of the host, during which keys may have been removed."""
        self._freeze_guard.observe(boot_clock_s(), now_s)

    def identify(self, route: Route, headers: Headers, now_s: float) -> CallerIdentity | KeyRefusal:
        """Returns whom a request is from, or why it is not served."""
        table = self._configuration.table
        keys = None if table is None else table.tenant_keys
        if keys is None:
            return ANONYMOUS
        if route.keyless:
            return _KEYLESS
        key = decode_caller_key(headers)
        if isinstance(key, KeyFault):
            return KeyRefusal(key)
        tenant = keys.find(key)
        if tenant is None:
            age_s = now_s - self._configuration_confirmed_s()
            is_outdated = age_s > self._max_configuration_age_s or self._has_missed_version(now_s)
            return KeyRefusal(None if is_outdated else KeyFault.UNKNOWN)
        if self._has_missed_version(now_s):
            return KeyRefusal(None)
        return CallerIdentity(tenant.name, tenant.rank, hides_key=True)

    def _has_missed_version(self, now_s: float) -> bool:
        """Tells whether there may be a newer version, which may have added or removed a key.

        An outage of the store alone is no reason: the configuration in force then remains.
        """
        # A request may be read before the first tick after a freeze.
        self.on_tick(now_s)
        if self._freeze_guard.must_confirm(self._configuration_confirmed_s(), now_s):
            return True
        max_lag_s = self._max_configuration_age_s * MAX_LAG_FRACTION
        return self._configuration.lacks_newer_version(max_lag_s, now_s)
