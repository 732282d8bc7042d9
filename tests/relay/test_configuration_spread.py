"""How soon a change of the configuration is in force at hosts that were not disturbed themselves.

A host relies on the ages that others state: what it takes for confirmed must be true.
"""

import pytest

from tests.support.configuration_spread import APPLY_S, TICK_S, SpreadHost, SpreadModel

# The network and a tick at each of the hosts on the way, which no age includes.
MAX_TRANSIT_S = 0.2


@pytest.fixture
def model(request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch) -> SpreadModel:
    """Returns a fleet in which all hosts know the configuration."""
    model = SpreadModel(request.param, monkeypatch)
    model.run(4.0)
    assert {host.version for host in model.hosts.values()} == {1}
    return model


with_seeds = pytest.mark.parametrize("model", [1, 2, 3], indirect=True)


def stop_again_and_again(model: SpreadModel, host: SpreadHost, until_s: float) -> None:
    """Lets a host stand still for 1.4 s again and again, with one tick in between."""
    while model.now_s < until_s:
        host.stop(1.4)
        model.run(min(until_s, host.resumes_s + 2 * TICK_S))


@with_seeds
def test_a_change_is_in_force_everywhere_at_once(model: SpreadModel) -> None:
    model.change()
    model.run(5.0)
    assert {host.version for host in model.hosts.values()} == {2}
    assert max(model.lags_s.values()) < 0.3


# Guards against a region that takes an old state for the present one, because the datagrams that
# its first host passes on do not state how long they have waited in that host's queue.
@with_seeds
def test_a_first_host_that_stood_still_passes_no_old_state_on_as_new(model: SpreadModel) -> None:
    first = model.first_of("gwent-a")
    first.stop(1.4)
    model.run(4.6)
    # From now on nobody reads, so that nothing newer is known.
    model.turn_all_away()
    model.run(5.5)
    assert not first.stands_still
    read_s = model.first_of("dyfed-a").confirmed_at_s
    latest_s = max(host.confirmed_at_s for host in model.hosts.values())
    assert latest_s <= read_s + MAX_TRANSIT_S


# Guards against a fleet that takes an old read for a new one, because the host that has read states
# the age by a clock that stood still while its machine was suspended.
@with_seeds
def test_a_suspended_poller_does_not_report_an_old_read_as_new(model: SpreadModel) -> None:
    poller = model.first_of("dyfed-a")
    # The answer to its read comes while it stands still, and waits in the socket.
    poller.stop(0.5)
    model.run(4.45)
    assert poller.client.has_answer
    read_s = poller.client.sent_at_s
    poller.stop(0.8, suspended=True)
    model.turn_all_away()
    model.run(5.45)
    assert not poller.stands_still
    latest_s = max(host.confirmed_at_s for host in model.hosts.values())
    assert latest_s <= read_s + MAX_TRANSIT_S


# Guards against changes that come too late where the poller is lost and connections to the store
# have gone silent: each host finds that out by a call that is never answered.
@with_seeds
@pytest.mark.parametrize("after_s", [1.4, 2.2])
def test_a_lost_call_does_not_delay_a_change_beyond_its_bound(
    model: SpreadModel, after_s: float
) -> None:
    first = model.first_of("gwent-a")
    stop_again_and_again(model, first, 4.0 + after_s)
    model.first_of("dyfed-a").is_gone = True
    for host in model.hosts.values():
        host.calls_to_lose = 1
    model.change()
    stop_again_and_again(model, first, 9.0)
    model.run(13.0)
    assert max(model.lags_s.values()) <= APPLY_S, model.lags_s
