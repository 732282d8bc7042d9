"""Exchange of tenants' use of the engines between hosts, as datagrams beside the load reports."""

from collections.abc import Callable, Mapping
from math import isfinite
from typing import Final

import logbook
from attrs import define, field

from berylquay.decisions.arrival_bounds import ArrivalBounds
from berylquay.decisions.tenants.fairness import FairShares, TenantUse
from berylquay.relay.report_fields import FIELD_ERRORS, compress_fields, decompress_fields

# First byte of a datagram with the use of one host.
TENANT_USE_TAG: Final = b"\x0a"
# Interval between datagrams, for each host that receives them and at least. Sums over tens of
# seconds need no more.
INTERVAL_PER_HOST_S: Final = 0.008
MIN_INTERVAL_S: Final = 0.5
# Tenants that a datagram may have, against data that makes a host count without end.
MAX_RECEIVED_TENANTS: Final = 1000
_log = logbook.Logger("tenant-use")


def encode_use(host: str, use: TenantUse) -> bytes:
    """Returns a datagram with what a host has sent and what its callers have asked for."""
    rows = [
        [tenant, round(use.sent[tenant]), round(asked), round(use.usual[tenant])]
        for tenant, asked in use.asked.items()
    ]
    return TENANT_USE_TAG + compress_fields([host, use.is_contended, rows])


def decode_use(data: bytes) -> tuple[str, TenantUse] | None:
    """Returns a host and its use, or None if the datagram does not contain them."""
    try:
        host, is_contended, rows = decompress_fields(data[len(TENANT_USE_TAG) :])
        if not isinstance(rows, list) or len(rows) > MAX_RECEIVED_TENANTS:
            return None
        sent, asked, usual = ({str(row[0]): float(row[n]) for row in rows} for n in (1, 2, 3))
    except (*FIELD_ERRORS, IndexError, OverflowError):
        return None
    if not all(_are_amounts(amounts) for amounts in (sent, asked, usual)):
        return None
    return str(host), TenantUse(sent, asked, usual, is_contended is True)


def _are_amounts(amounts: Mapping[str, float]) -> bool:
    return all(isfinite(tokens) and tokens >= 0.0 for tokens in amounts.values())


@define(kw_only=True)
class TenantUseExchange:
    """Sends this host's use to the others, and takes theirs."""

    shares: FairShares = field(factory=FairShares, init=False)
    _host: str
    # Returns the number of hosts that exchange load reports, this one included.
    _get_group_size: Callable[[], int]
    _send_to_group: Callable[[bytes], None]
    _last_sent_s: float = field(default=float("-inf"), init=False)

    def on_tick(self, now_s: float, *, has_tenants: bool) -> None:
        """Sends a datagram when it is due; none while the configuration has no tenants."""
        interval_s = max(MIN_INTERVAL_S, INTERVAL_PER_HOST_S * self._get_group_size())
        if not has_tenants or now_s - self._last_sent_s < interval_s:
            return
        self._last_sent_s = now_s
        use = self.shares.own_use(now_s)
        if use.asked or use.is_contended:
            self._send_to_group(encode_use(self._host, use))

    def on_datagram(self, data: bytes, arrival: ArrivalBounds) -> None:
        """Takes another host's use."""
        decoded = decode_use(data)
        if decoded is None:
            _log.warning("unreadable tenant use", size_bytes=len(data))
        elif decoded[0] != self._host:
            self.shares.on_peer_use(*decoded, arrival.earliest_s)
