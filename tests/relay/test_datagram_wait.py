"""Datagrams that one host passes on to others: they state how long they have waited on the way."""

from random import Random

import pytest

from berylquay.decisions.arrival_bounds import ArrivalBounds
from berylquay.decisions.fleet import Address
from berylquay.decisions.shared_polling import TopicReport
from berylquay.decisions.topology import Location, Topology
from berylquay.relay.crash_reports import CRASH_REPORT_TAG, decode_crash_report
from berylquay.relay.datagram_wait import MIN_STATED_WAIT_MS, add_wait, split_wait
from berylquay.relay.region_exchange import (
    CONTACT_TTL_S,
    RELAY_AT_ONCE_TAG,
    RELAY_TAG,
    RegionExchange,
    RegionSummary,
    decode_summary,
    encode_summary,
)
from berylquay.relay.server_notice_handler import (
    LEAVING_TAG,
    LIMIT_TAG,
    decode_leaving_server,
    decode_server_limit,
)
from berylquay.relay.topic_deltas import DELTA_TAG, TopicDelta, decode_delta, encode_delta
from tests.relay.test_region_exchange import NOTICES, REGIONS, SUMMARY

DELTA = encode_delta(TopicDelta("t", "4", "6", 120, (b"one", b"two"))) or b""
FIRST = Address("10.0.0.1", 7380)
DECODERS = {
    LEAVING_TAG: decode_leaving_server,
    LIMIT_TAG: decode_server_limit,
    CRASH_REPORT_TAG: decode_crash_report,
    DELTA_TAG: decode_delta,
}
KINDS = [*NOTICES, DELTA, encode_summary(SUMMARY)]


class Host:
    """A host of a region, with what it has sent and when what it received had arrived."""

    def __init__(self) -> None:
        self.to_one: list[bytes] = []
        self.to_group: list[bytes] = []
        self.arrivals: list[ArrivalBounds] = []
        self.summaries: list[RegionSummary] = []
        self.exchange = RegionExchange(
            topology=Topology(Location("tanja-a", "tanja"), REGIONS),
            host="tanja-a-2",
            address=Address("10.1.0.2", 7380),
            get_loads=lambda _now_s: {},
            get_topic_reports=lambda: (TopicReport("t", "4", 0),),
            send=lambda data, _address: self.to_one.append(data),
            send_to_group=self.to_group.append,
            is_active=lambda: True,
            on_summary=lambda _summary, arrival: self.arrivals.append(arrival),
            on_delta=lambda _delta, arrival: self.arrivals.append(arrival),
            notice_handlers=dict.fromkeys(
                (data[:1] for data in NOTICES),
                lambda _data, arrival: self.arrivals.append(arrival),
            ),
            rng=Random(1),
        )


# Guards against hosts that take what lay in the queues of two others for what was just sent.
@pytest.mark.parametrize("data", KINDS)
def test_a_datagram_is_as_old_as_its_waits_at_all_hosts_on_the_way(data: bytes) -> None:
    contact, first, member = Host(), Host(), Host()
    contact.exchange.on_datagram(RELAY_TAG + data, FIRST, ArrivalBounds(1.0, 2.5))
    assert contact.to_one[0].startswith(RELAY_AT_ONCE_TAG)
    first.exchange.on_datagram(contact.to_one[0], None, ArrivalBounds(9.0, 9.7))
    member.exchange.on_datagram(first.to_group[0], FIRST, ArrivalBounds(20.0, 20.1))
    earliest_s = [host.arrivals[0].earliest_s for host in (contact, first, member)]
    assert earliest_s == pytest.approx([1.0, 7.5, 17.8])


# Guards against hosts of a former build that drop what a host of this one passes on.
@pytest.mark.parametrize("data", KINDS)
def test_a_build_that_knows_no_waits_reads_the_content(data: bytes) -> None:
    decode = DECODERS.get(data[:1], decode_summary)
    assert decode(add_wait(data, 3000)) == decode(data) is not None


def test_a_datagram_without_a_wait_stays_as_it_is() -> None:
    assert add_wait(DELTA, MIN_STATED_WAIT_MS - 1) == DELTA
    assert split_wait(DELTA) == (DELTA, 0)
    assert split_wait(add_wait(DELTA, MIN_STATED_WAIT_MS)) == (DELTA, MIN_STATED_WAIT_MS)
    assert split_wait(b"") == (b"", 0)


# Guards against a region that is found and lost again with each summary that has waited too long.
def test_a_summary_that_has_waited_too_long_shows_no_region() -> None:
    host = Host()
    summary = add_wait(encode_summary(SUMMARY), round(CONTACT_TTL_S * 1000) + 100)
    host.exchange.on_datagram(summary, FIRST, ArrivalBounds(9.0, 9.0))
    assert not host.exchange.contact_places()
    host.exchange.on_datagram(encode_summary(SUMMARY), FIRST, ArrivalBounds(9.0, 9.0))
    assert host.exchange.contact_places()
