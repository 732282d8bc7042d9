"""Authentication of callers: which tenant's key a request carries, by the newest configuration."""

from collections.abc import Callable
from typing import Final

from attrs import frozen

from berylquay.decisions.route_table import Route
from berylquay.decisions.tenants.keys import KeyFault
from berylquay.net.persistent_http import Headers
from berylquay.platform.request_codec import decode_caller_key
from berylquay.relay.store_views import ConfigurationView

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

    fault: KeyFault
    # Whether a newer configuration may have the key, so that the caller should retry.
    may_be_outdated: bool = False

    @property
    def detail(self) -> str:
        """Returns an explanation for the caller."""
        return DETAILS[self.fault]


# The identity of callers where the configuration has no tenants.
ANONYMOUS: Final = CallerIdentity(None, None, hides_key=False)
# The identity of callers of a keyless route where the configuration has tenants.
_KEYLESS: Final = CallerIdentity(None, None, hides_key=True)


@frozen
class CallerAuthenticator:
    """Checks keys against the configuration in force."""

    _configuration: ConfigurationView
    # Returns the monotonic time at which the newest configuration was last confirmed.
    _configuration_confirmed_s: Callable[[], float]
    # Time since then after which a key that is not known may be a new one.
    _max_configuration_age_s: float

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
            return KeyRefusal(KeyFault.UNKNOWN, age_s > self._max_configuration_age_s)
        return CallerIdentity(tenant.name, tenant.rank, hides_key=True)
