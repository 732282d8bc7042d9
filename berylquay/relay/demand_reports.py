"""Reports of each host's demand to the hosts that may order servers, as datagrams.

The recipients are the first three live hosts of the fleet by name. Each of them answers, so that a
host that is gone is passed over also in a large fleet, in which its load reports go elsewhere.
"""

from collections.abc import Callable, Collection
from ipaddress import IPv4Address
from typing import Final

import logbook

from berylquay.decisions.arrival_bounds import ArrivalBounds
from berylquay.decisions.duties.collectors import choose_collectors
from berylquay.decisions.fleet import Address
from berylquay.decisions.scaling.demand import DemandMeter, FleetDemand, HostDemand, PoolLoad
from berylquay.relay.report_fields import FIELD_ERRORS, compress_fields, decompress_fields

# First byte of a report's datagram, and of the answer to one.
DEMAND_TAG: Final = b"\x0c"
MAX_PORT: Final = 65535
REPORT_INTERVAL_S: Final = 1.0
# Interval between checks of this host's place among the recipients.
RANK_INTERVAL_S: Final = 0.25
# Time without an answer after which a recipient is passed over, and for how long; a few intervals.
ANSWER_TIMEOUT_S: Final = 3.5
SKIP_S: Final = 10.0
_log = logbook.Logger("demand")


def encode_demand(demand: HostDemand, reply_to: Address) -> bytes:
    """Returns the report as a datagram."""
    loads = {
        pool: [
            load.requests_per_s,
            load.prefill_tokens_per_s,
            load.output_tokens_per_s,
            load.open_calls,
            load.call_s,
            load.refused_per_s,
        ]
        for pool, load in demand.loads.items()
    }
    return DEMAND_TAG + compress_fields(
        [demand.host, demand.data_centre, reply_to.ip, reply_to.port, loads]
    )


def encode_answer(host: str) -> bytes:
    """Returns the answer of a recipient."""
    return DEMAND_TAG + compress_fields([host])


def decode_demand(data: bytes) -> tuple[HostDemand, Address] | str | None:
    """Returns the report and where to answer, or the host that answers, or None."""
    try:
        fields = decompress_fields(data[len(DEMAND_TAG) :])
        if len(fields) == 1:
            return str(fields[0])
        host, data_centre, ip, port, loads = fields
        if not isinstance(loads, dict):
            return None
        demand = HostDemand(
            str(host),
            str(data_centre),
            {str(pool): PoolLoad(*map(_number, values)) for pool, values in loads.items()},
        )
        return demand, Address(str(IPv4Address(str(ip))), _port(port))
    except FIELD_ERRORS:
        return None


def _port(value: object) -> int:
    if not isinstance(value, int) or not 0 < value <= MAX_PORT:
        raise ValueError("not a port")
    return value


def _number(value: object) -> float:
    # Also rejects infinite values and NaN.
    if not isinstance(value, int | float) or not 0.0 <= value < float("inf"):
        raise ValueError("not a finite number of at least 0")
    return float(value)


class DemandReports:
    """Sends this host's demand, and sums up that of all hosts if this one is a recipient."""

    fleet: FleetDemand
    _host: str
    _data_centre: str
    _address: Address
    _meter: DemandMeter
    # Returns the addresses of the other hosts of the fleet by name.
    _get_hosts: Callable[[], dict[str, Address]]
    _send: Callable[[bytes, Address], None]
    # By recipient: since when it owes an answer, and until when silent ones are passed over.
    _unanswered_since_s: dict[str, float]
    _skipped_until_s: dict[str, float]
    _next_report_s: float
    # Place among the recipients, and when it is determined again.
    _rank: int | None
    _next_rank_s: float

    def __init__(
        self,
        host: str,
        data_centre: str,
        address: Address,
        meter: DemandMeter,
        *,
        get_hosts: Callable[[], dict[str, Address]],
        send: Callable[[bytes, Address], None],
    ) -> None:
        self.fleet = FleetDemand()
        self._host = host
        self._data_centre = data_centre
        self._address = address
        self._meter = meter
        self._get_hosts = get_hosts
        self._send = send
        self._unanswered_since_s = {}
        self._skipped_until_s = {}
        self._next_report_s = float("-inf")
        self._rank = None
        self._next_rank_s = float("-inf")

    def rank(self, now_s: float) -> int | None:
        """Returns this host's place among the recipients, or None if it is not one of them."""
        if now_s >= self._next_rank_s:
            self._next_rank_s = now_s + RANK_INTERVAL_S
            self._rank = self._find_rank(now_s)
        return self._rank

    def _find_rank(self, now_s: float) -> int | None:
        recipients = self._recipients(self._get_hosts(), now_s)
        return recipients.index(self._host) if self._host in recipients else None

    def on_tick(self, pools: Collection[str], now_s: float) -> None:
        """Sends a report if one is due."""
        if now_s < self._next_report_s:
            return
        self._next_report_s = now_s + REPORT_INTERVAL_S
        hosts = self._get_hosts()
        demand = HostDemand(self._host, self._data_centre, self._meter.loads(pools, now_s))
        data = encode_demand(demand, self._address)
        for recipient in self._recipients(hosts, now_s):
            if recipient == self._host:
                self.fleet.on_report(demand, now_s)
                continue
            since_s = self._unanswered_since_s.setdefault(recipient, now_s)
            if now_s - since_s > ANSWER_TIMEOUT_S:
                _log.info("recipient does not answer", host=recipient)
                self._skipped_until_s[recipient] = now_s + SKIP_S
                del self._unanswered_since_s[recipient]
            self._send(data, hosts[recipient])

    def on_datagram(self, data: bytes, arrival: ArrivalBounds) -> None:
        """Records another host's report, or its answer."""
        decoded = decode_demand(data)
        if decoded is None:
            _log.warning("unreadable demand", size_bytes=len(data))
        elif isinstance(decoded, str):
            self._unanswered_since_s.pop(decoded, None)
            self._skipped_until_s.pop(decoded, None)
        else:
            demand, reply_to = decoded
            self.fleet.on_report(demand, arrival.earliest_s)
            self._send(encode_answer(self._host), reply_to)

    def _recipients(self, hosts: Collection[str], now_s: float) -> list[str]:
        live = [host for host in hosts if now_s >= self._skipped_until_s.get(host, now_s)]
        return choose_collectors([self._host, *live])
