"""Streams in a release while the store comes back older, or datagrams between hosts are late."""

import asyncio
import json
import time
from pathlib import Path
from random import Random
from typing import Final

import pytest
from attrs import frozen

from soak.engine_pool import EnginePool
from soak.release_callers import ReleaseCallers
from soak.stream_callers import Stream
from soak.stream_sites import RESUMABLE, Site
from tests.support.relay_fleet import RelayFleet, make_configuration

HOSTS: Final = 3
# Engines that are replaced.
REPLACED: Final = 3
# Time until the release begins, and until no more requests are sent.
RELEASE_AFTER_S: Final = 2.0
SEND_FOR_S: Final = 7.0


@frozen
class Release:
    """How engines are replaced, and what happens besides."""

    # Engines at the beginning.
    engines: int = 5
    # Time between two replacements.
    gap_s: float = 0.8
    # What becomes of datagrams between hosts from 0.3 s before the release on.
    datagrams: tuple[tuple[str, float], ...] = ()
    # Times after the beginning of the release at which the store comes back from a copy, and the
    # age of the copy.
    restores_s: tuple[float, ...] = ()
    copy_age_s: float = 4.0
    # Time after its beginning at which the first host is killed, or None.
    kill_after_s: float | None = None


RELEASES: Final = {
    "late": Release(datagrams=(("delay_s", 0.5),), kill_after_s=1.0),
    "later": Release(datagrams=(("delay_s", 2.0),), kill_after_s=1.0),
    "lossy": Release(datagrams=(("loss", 0.7),), kill_after_s=1.0),
    "older-store": Release(restores_s=(0.3, 1.9), kill_after_s=0.6),
    "older-store-and-late": Release(
        datagrams=(("delay_s", 1.0),), restores_s=(0.3, 1.9), kill_after_s=1.0
    ),
}


async def _wait_until(at_s: float) -> None:
    await asyncio.sleep(max(0.0, at_s - time.monotonic()))


async def _replace_engines(pool: EnginePool, release: Release, begins_s: float) -> None:
    """Ends the engines one after the other; engines of the next version take their places."""
    for number, engine in enumerate(list(pool.engines.values())[:REPLACED]):
        await _wait_until(begins_s + number * release.gap_s)
        await asyncio.to_thread(pool.start, 2)
        await asyncio.sleep(release.gap_s / 2.0)
        await asyncio.to_thread(pool.end, engine.name)
        await asyncio.to_thread(pool.remove_entry, engine.name)


async def _disturb(
    fleet: RelayFleet, callers: ReleaseCallers, release: Release, state_file: Path, begins_s: float
) -> None:
    await _wait_until(begins_s - 0.3)
    state_file.write_text(json.dumps(dict(release.datagrams)), encoding="utf-8")
    steps = [(at_s, "restore") for at_s in release.restores_s]
    if release.kill_after_s is not None:
        steps.append((release.kill_after_s, "kill"))
    for at_s, step in sorted(steps):
        await _wait_until(begins_s + at_s)
        if step == "kill":
            callers.live_hosts.discard(0)
            fleet.kill_hosts(0)
        else:
            fields = {"copy_age_s": release.copy_age_s, "rewrite_delay_s": 0.5}
            await asyncio.to_thread(fleet.store.post, "/restore", fields)


async def _play(
    fleet: RelayFleet, pool: EnginePool, callers: ReleaseCallers, release: Release, file: Path
) -> None:
    begins_s = time.monotonic() + RELEASE_AFTER_S
    await asyncio.gather(
        callers.run(asyncio.get_running_loop().time() + SEND_FOR_S),
        _replace_engines(pool, release, begins_s),
        _disturb(fleet, callers, release, file, begins_s),
    )


def play_release(fleet: RelayFleet, release: Release, directory: Path) -> list[Stream]:
    """Returns the streams of callers, who take up at any host what breaks off."""
    state_file = directory / "datagrams.json"
    state_file.write_text("{}", encoding="utf-8")
    fleet.put_configuration(make_configuration())
    pool = EnginePool(fleet, Random(1))
    for _ in range(release.engines):
        pool.start(1)
    for number in range(HOSTS):
        fleet.add_host(f"host-{number}", datagram_file=state_file)
    callers = ReleaseCallers(
        fleet, Random(1), Site((RESUMABLE,), make_configuration()), set(range(HOSTS))
    )
    asyncio.run(_play(fleet, pool, callers, release, state_file))
    return callers.streams


# Guards against streams of two versions where hosts know of a version late, or the store has
# forgotten it.
@pytest.mark.parametrize("name", RELEASES)
def test_no_stream_joins_two_versions_in_a_release_beside_faults(
    fleet: RelayFleet, tmp_path: Path, name: str
) -> None:
    streams = play_release(fleet, RELEASES[name], tmp_path)
    faults = [f"{stream.fault()}: {stream.tries}" for stream in streams if stream.fault()]
    taken_up = [stream for stream in streams if stream.tries[1:]]
    print(
        f"{name}: {len(faults)} faults, {len(streams)} streams, {len(taken_up)} taken up, "
        f"{sum(stream.is_complete for stream in taken_up)} of these complete"
    )
    assert not faults, "\n".join(faults)
    assert any(stream.is_complete for stream in streams)
    assert taken_up
