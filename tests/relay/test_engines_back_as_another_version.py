"""Streams of engines that start again under their name and at their address as another version."""

import asyncio
import time
from pathlib import Path
from random import Random
from typing import Final

import pytest
from attrs import frozen

from soak.engine_pool import Engine, EnginePool
from soak.release_callers import ReleaseCallers
from soak.stream_callers import Stream
from soak.stream_sites import RESUMABLE, Site
from tests.support.relay_fleet import RelayFleet, make_configuration

HOSTS: Final = 2
# Time from the first request until the engines end, and until no more requests are sent.
END_AFTER_S: Final = 2.0
SEND_FOR_S: Final = 7.0


@frozen
class Restart:
    """How engines end and start again."""

    # Time until each is back, and from then until its entry follows.
    away_s: float
    entry_after_s: float = 0.0
    count: int = 4
    engines: int = 4
    # Time between the ends of two engines.
    gap_s: float = 0.3
    # Time from the first request until the first engine ends; it may be negative.
    after_s: float = END_AFTER_S
    # Times before the engines end at which a host, or the store, stands still, and for how long.
    host_stops_before_s: float | None = None
    store_stops_before_s: float | None = None
    stands_still_s: float = 0.0
    # Time from the return of the engines until they end for good, or None.
    ends_again_after_s: float | None = None
    # Whether hosts reach the engines through a proxy, where an engine can be back at once.
    has_proxy: bool = True


RESTARTS: Final = {
    "entry-at-once": Restart(0.02, gap_s=0.02),
    "entry-soon": Restart(0.02, 0.8, gap_s=0.6),
    "entry-late": Restart(0.05, 3.0, gap_s=0.6),
    "direct": Restart(0.0, 2.0, gap_s=0.5, has_proxy=False),
    "host-stood-still": Restart(0.3, gap_s=0.8, host_stops_before_s=0.5, stands_still_s=3.0),
    "store-stood-still": Restart(0.1, gap_s=0.6, store_stops_before_s=0.5, stands_still_s=4.0),
    "ends-before-its-entry": Restart(
        0.05, count=2, gap_s=0.0, after_s=-0.5, ends_again_after_s=2.5
    ),
}


async def _wait_until(at_s: float) -> None:
    await asyncio.sleep(max(0.0, at_s - time.monotonic()))


async def _restart_engine(
    pool: EnginePool, engine: Engine, restart: Restart, ends_s: float, returned: list[Engine]
) -> None:
    """Ends an engine; a start of the next version takes over its address, and its entry follows."""
    successor = None
    if restart.has_proxy:
        successor = await asyncio.to_thread(pool.launch_next_version, engine)
    await _wait_until(ends_s)
    await asyncio.to_thread(pool.end, engine.name)
    back_s = time.monotonic() + restart.away_s
    await _wait_until(back_s)
    if successor is None:
        successor = await asyncio.to_thread(pool.launch_next_version, engine)
    await asyncio.to_thread(pool.take_over, successor)
    returned.append(successor)
    if restart.ends_again_after_s is not None:
        await _wait_until(time.monotonic() + restart.ends_again_after_s)
        await asyncio.to_thread(pool.end, engine.name)
        return
    await _wait_until(time.monotonic() + restart.entry_after_s)
    await asyncio.to_thread(pool.register, engine.name, "ready")


async def _stand_still(
    fleet: RelayFleet, callers: ReleaseCallers, restart: Restart, ends_s: float
) -> None:
    """Stops a host, or the store, for a while."""
    if restart.host_stops_before_s is not None:
        process, host = fleet.hosts[0], 0
        await _wait_until(ends_s - restart.host_stops_before_s)
        callers.live_hosts.discard(host)
        process.pause()
        await asyncio.sleep(restart.stands_still_s)
        process.resume()
        callers.live_hosts.add(host)
    elif restart.store_stops_before_s is not None:
        await _wait_until(ends_s - restart.store_stops_before_s)
        fleet.store.pause()
        await asyncio.sleep(restart.stands_still_s)
        fleet.store.resume()


async def _send(
    callers: ReleaseCallers, restart: Restart, begins_s: float, returned: list[Engine]
) -> None:
    await _wait_until(begins_s)
    while restart.after_s < 0.0 and len(returned) < restart.count:
        # Starting the processes may take longer than the time that was planned for it.
        await asyncio.sleep(0.02)
    await callers.run(asyncio.get_running_loop().time() + SEND_FOR_S)


async def _play(
    fleet: RelayFleet, pool: EnginePool, callers: ReleaseCallers, restart: Restart
) -> None:
    begins_s = time.monotonic() + max(0.0, -restart.after_s)
    ends_s = begins_s + restart.after_s
    engines = list(pool.engines.values())[: restart.count]
    returned: list[Engine] = []
    await asyncio.gather(
        _send(callers, restart, begins_s, returned),
        _stand_still(fleet, callers, restart, ends_s),
        *(
            _restart_engine(pool, engine, restart, ends_s + number * restart.gap_s, returned)
            for number, engine in enumerate(engines)
        ),
    )


def play_restart(fleet: RelayFleet, restart: Restart) -> list[Stream]:
    """Returns the streams of callers, who take up at any host what breaks off."""
    fleet.put_configuration(make_configuration())
    pool = EnginePool(fleet, Random(1))
    if restart.has_proxy:
        pool.start_proxy()
    for _ in range(restart.engines):
        pool.start(1)
    for number in range(HOSTS):
        fleet.add_host(f"host-{number}")
    site = Site((RESUMABLE,), make_configuration())
    callers = ReleaseCallers(fleet, Random(1), site, set(range(HOSTS)))
    asyncio.run(_play(fleet, pool, callers, restart))
    return callers.streams


# Guards against a stream that goes on at a new start of an engine, whose software is of another
# version, because the host knows the start before it by the same name.
@pytest.mark.parametrize("name", RESTARTS)
def test_no_stream_joins_the_versions_of_two_starts_of_an_engine(
    fleet: RelayFleet, tmp_path: Path, name: str
) -> None:
    streams = play_restart(fleet, RESTARTS[name])
    faults = [f"{stream.fault()}: {stream.tries}" for stream in streams if stream.fault()]
    assert not faults, "\n".join(faults)
    assert any(stream.versions == ["v2"] for stream in streams)


# Guards against streams that are broken off, or refused when they are taken up, although engines of
# their version are left.
def test_streams_go_on_at_the_engines_that_are_left_of_their_version(fleet: RelayFleet) -> None:
    streams = play_restart(fleet, Restart(0.05, 3.0, count=2, gap_s=0.5))
    assert not [stream.tries for stream in streams if not stream.is_complete]
    assert not [stream.fault() for stream in streams if stream.fault()]
