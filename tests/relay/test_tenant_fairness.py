"""Shares of tenants under load, in virtual time, and their exchange between hosts."""

import os
from random import Random

import pytest

from berylquay.decisions.arrival_bounds import ArrivalBounds
from berylquay.decisions.engine_placement import Placement
from berylquay.decisions.relay_admission import Admission, AdmissionAction
from berylquay.decisions.relay_call import RelayCall
from berylquay.decisions.route_table import Pool
from berylquay.decisions.tenants.fairness import (
    CONTENTION_S,
    MAX_REPORTED_TENANTS,
    FairShares,
    TenantUse,
)
from berylquay.relay.report_fields import compress_fields
from berylquay.relay.tenant_use_exchange import (
    TENANT_USE_TAG,
    TenantUseExchange,
    decode_use,
    encode_use,
)
from tests.support.cases import CASES_VARIABLE
from tests.support.tenant_world import (
    ENGINE,
    LIMITS,
    ROUTE,
    TenantWorld,
    power_law_shares,
)

TENANTS = 82
# Hosts, and the tenant with the burst. The cases that take minutes run if they are asked for.
BURSTS = [(8, 4), (8, 0), (195, 4)] if CASES_VARIABLE in os.environ else [(8, 4)]
EXPONENT = 1.2
SEND = Admission(AdmissionAction.SEND)
REFUSE = Admission(AdmissionAction.REFUSE, 1.0)


def make_call(tenant: str) -> RelayCall:
    call = RelayCall("id", ROUTE, Pool("lm", 1), 0.0, 4.0, False, "content")
    call.tenant = tenant
    return call


def make_placement(wait_s: float) -> Placement:
    return Placement(None, ENGINE, wait_s + 0.1, wait_s, 1000)


def make_contended() -> FairShares:
    """Returns shares of a host that refuses calls: `large` has used all, `small` nothing."""
    shares = FairShares()
    shares.adjust(REFUSE, make_call("large"), make_placement(3.0), LIMITS, 0.0)
    for tenant in ("large", "small"):
        shares.on_asked(tenant, 1000.0, 0.0)
    shares.on_sent("large", 1000.0, 0.0)
    return shares


# Guards against a call that is refused or queued because of its tenant while engines are idle.
def test_shares_do_not_matter_while_there_is_capacity() -> None:
    shares = make_contended()
    assert shares.usage_ratio("large", 0.0) == pytest.approx(2.0)
    large = make_call("large")
    idle, busy = make_placement(0.0), make_placement(1.0)
    assert shares.adjust(SEND, large, idle, LIMITS, 0.1) == SEND
    assert shares.adjust(SEND, large, busy, LIMITS, 0.1).action is AdmissionAction.QUEUE
    # No call was queued or refused for a while.
    later_s = 2.0 * CONTENTION_S
    assert shares.adjust(SEND, large, busy, LIMITS, later_s) == SEND
    assert FairShares().adjust(SEND, large, busy, LIMITS, 0.0) == SEND


# Guards against calls of the only tenant that are refused, although there is none to yield to.
def test_a_tenant_alone_yields_to_nobody() -> None:
    shares = FairShares()
    shares.adjust(REFUSE, make_call("large"), make_placement(3.0), LIMITS, 0.0)
    shares.on_asked("large", 1000.0, 0.0)
    shares.on_sent("large", 1000.0, 0.0)
    assert shares.adjust(SEND, make_call("large"), make_placement(2.0), LIMITS, 0.1) == SEND


def test_a_tenant_above_its_share_yields_to_one_below() -> None:
    shares = make_contended()
    busy = make_placement(1.0)
    queue = Admission(AdmissionAction.QUEUE)
    assert shares.adjust(queue, make_call("small"), busy, LIMITS, 0.1).action is SEND.action
    assert shares.adjust(SEND, make_call("large"), busy, LIMITS, 0.1).action is queue.action
    # What would be too late for any tenant is refused for each.
    assert shares.adjust(REFUSE, make_call("small"), busy, LIMITS, 0.1) == REFUSE


# Guards against sums that count a host twice, or that lose what it had reported before.
def test_reports_of_another_host_replace_each_other() -> None:
    shares = make_contended()
    use = TenantUse({"small": 2000.0, " ": 2000.0}, {"small": 0.0, " ": 0.0}, {}, True)
    for _ in range(5):
        shares.on_peer_use("host-1", use, 0.0)
    assert shares.usage_ratio("small", 0.0) == pytest.approx(2000.0 / 1500.0)
    assert shares.usage_ratio("large", 0.0) == pytest.approx(1000.0 / 1500.0)


# Guards against datagrams that grow with the number of tenants.
def test_a_datagram_has_the_largest_tenants_only() -> None:
    shares = FairShares()
    for number in range(4900):
        shares.on_asked(f"tenant-{number:05d}", 1000.0 + number, 0.0)
    data = encode_use("host-0", shares.own_use(0.0))
    decoded = decode_use(data)
    assert decoded is not None
    assert len(decoded[1].usual) == MAX_REPORTED_TENANTS + 1
    assert "tenant-04899" in decoded[1].usual
    assert len(data) < 2500


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"x" * 100,
        compress_fields([]),
        compress_fields(["host-1", True, 5]),
        compress_fields(["host-1", True, [["a", 1]]]),
        compress_fields(["host-1", True, [["a", 1, 1, "x"]]]),
        compress_fields(["host-1", True, [["a", 1, -1, 1]]]),
        compress_fields(["host-1", True, [["a", float("nan"), 1, 1]]]),
        compress_fields(["host-1", True, [["a", 10**400, 1, 1]]]),
        compress_fields(["host-1", True, [["a", 1, 1, 1]] * 1001]),
    ],
)
def test_a_malformed_datagram_is_ignored(data: bytes) -> None:
    assert decode_use(TENANT_USE_TAG + data) is None


# Guards against datagrams of deployments without tenants.
def test_nothing_is_sent_without_tenants() -> None:
    sent: list[bytes] = []
    exchange = TenantUseExchange(host="host-0", get_group_size=lambda: 3, send_to_group=sent.append)
    exchange.shares.on_asked("a", 1000.0, 0.0)
    exchange.on_tick(0.0, has_tenants=False)
    assert sent == []
    exchange.on_tick(0.0, has_tenants=True)
    exchange.on_tick(0.1, has_tenants=True)
    assert len(sent) == 1
    other = TenantUseExchange(host="host-1", get_group_size=lambda: 3, send_to_group=sent.append)
    other.on_datagram(sent[0], ArrivalBounds(0.0, 0.0))
    assert other.shares._all.usual.value("a", 0.0) == 1000.0


def run_burst(
    hosts: int, load: float, burst_tenant: int, *, history_s: float, burst_s: float
) -> tuple[TenantWorld, list[float], float]:
    """Runs a burst of one tenant; returns the served share by tenant, ascending, and of all."""
    usual = [load * share for share in power_law_shares(TENANTS, EXPONENT)]
    burst = [
        10.0 * share if number == burst_tenant else share for number, share in enumerate(usual)
    ]
    world = TenantWorld(hosts, lambda now_s: burst if now_s >= history_s else usual, Random(1))
    world.counted_from_s = history_s
    world.run(history_s + burst_s)
    shares = sorted(world.served[each] / count for each, count in world.requests.items())
    return world, shares, world.served.total() / world.requests.total()


# Guards against a tenant that takes the capacity of the others with ten times its usual load, and
# against small tenants whose few calls are all refused.
@pytest.mark.parametrize(("hosts", "burst_tenant"), BURSTS)
def test_served_shares_of_tenants_under_a_burst(hosts: int, burst_tenant: int) -> None:
    world, shares, served = run_burst(hosts, 0.9, burst_tenant, history_s=20.0, burst_s=30.0)
    assert shares[0] >= served / 4.0
    worst = shares[: TENANTS // 10]
    assert sum(worst) / len(worst) >= served - 0.1
    assert world.refused_when_free == 0
