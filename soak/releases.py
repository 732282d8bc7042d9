"""`python -m soak.releases`: streams of several software versions on real processes, by seed.

Servers of new versions join, old ones leave, crash, break off or are replaced at their address,
while hosts and the store stand still and hosts are killed, in series that overlap. Callers take
their streams up at any host. No stream may hold events of two versions, lack one, hold one twice,
or end as complete before its last one. The exit status is 1 if a seed broke this.

With `--site` the kinds of stream, engines and bounds are those of a site file. Engines then answer
in chunks or without framing, are back at their address at once or later, under another name or as a
newer start, which may be of a newer version, and end right after their last stream. Single ones
stand still, and on half of the seeds all start again as a new version, one after the other. On some
seeds hosts reach them through a proxy that delays, cuts and resets links and accepts connections
for engines that have ended, and single hosts are partitioned from all engines. Hosts are stopped
too, and callers keep connections or speak HTTP/1.0.
"""

import argparse
import asyncio
import shutil
import sys
import tempfile
from collections import Counter
from pathlib import Path
from random import Random
from typing import Final

from attrs import frozen

from examples.processes import FIRST_PORT, limit_port_range
from soak.__main__ import PORTS_PER_JOB, parse_seeds, run_all
from soak.engine_pool import EnginePool
from soak.release_callers import ReleaseCallers
from soak.release_schedule import LENGTH_S, ReleaseSchedule
from soak.stream_sites import DEFAULT_SITE, Site, read_site
from tests.support.relay_fleet import start_relay_fleet

# Shares of the engines of a site whose streams have neither length nor chunks, one a seed, and the
# probability that hosts reach engines through a proxy.
UNFRAMED_SHARES: Final = (0.0, 0.5, 1.0, 1.0)
PROXY_PROBABILITY: Final = 0.5


@frozen
class RunOptions:
    """What the command line says of the runs."""

    site: Site = DEFAULT_SITE
    # Checkout whose hosts run; None for this one.
    host_source: Path | None = None


def run_seed(seed: int, directory: Path, options: RunOptions | None = None) -> list[str]:
    """Runs one seed; returns a line for each stream that is wrong."""
    options = options or RunOptions()
    site = options.site
    is_site = site is not DEFAULT_SITE
    rng = Random(seed)
    host_count = rng.randint(2, 3)
    described = ""
    with start_relay_fleet(directory) as fleet:
        fleet.host_source = options.host_source
        fleet.data_centres = site.data_centres
        fleet.put_configuration(dict(site.configuration))
        pool = EnginePool(fleet, Random(seed))
        schedule = ReleaseSchedule(fleet, rng, pool, is_site, set(range(host_count)))
        callers = ReleaseCallers(fleet, rng, site, schedule.live_hosts)
        if is_site:
            pool.zones = site.data_centres
            pool.unframed_share = pool.rng.choice(UNFRAMED_SHARES)
            if pool.rng.random() < PROXY_PROBABILITY:
                pool.start_proxy()
            described = f", unframed {pool.unframed_share}, proxy {pool.has_proxy}"
        for role, count in (("decode", site.decode_engines), ("prefill", site.prefill_engines)):
            for _ in range(count):
                pool.start(1, role)
        for number in range(host_count):
            zones = site.data_centres or ("fes-a",)
            fleet.add_host(
                f"host-{number}",
                retry_extra=site.retry_extra,
                data_centre=zones[number % len(zones)],
                partition_file=schedule.partition_file(number),
            )
        schedule.draw(host_count)
        if is_site:
            schedule.draw_site(host_count)
        asyncio.run(_play(schedule, callers))
    faults = [f"{stream.fault()}: {stream.tries}" for stream in callers.streams if stream.fault()]
    ends = Counter(
        ("whole" if stream.is_complete else "broken" if stream.events else "refused")
        + (", taken up" if stream.tries[1:] else "")
        for stream in callers.streams
    )
    broken_whole = Counter(
        stream.kind for stream in callers.streams if stream.was_broken_after_last
    )
    kinds = Counter(
        f"{stream.kind}: {' '.join(stream.fault().split()[:3])}"
        for stream in callers.streams
        if stream.fault()
    )
    print(f"seed {seed}: {host_count} hosts{described}, streams {dict(sorted(ends.items()))}")
    print(f"  tries to take up {dict(sorted(callers.take_ups.items()))}")
    print(f"  broken off after the last event {dict(broken_whole)}, wrong {dict(kinds)}")
    return faults


async def _play(schedule: ReleaseSchedule, callers: ReleaseCallers) -> None:
    """Plays the schedule while callers send."""
    start_s = asyncio.get_running_loop().time()
    await asyncio.gather(callers.run(start_s + LENGTH_S), schedule.run(start_s))


def main() -> None:
    """Runs the seeds that the command line names."""
    parser = argparse.ArgumentParser(prog="python -m soak.releases", description=__doc__)
    parser.add_argument("--seeds", default="1-5", help="for example 1-50 or 3,7")
    parser.add_argument("--jobs", type=int, default=2, help="seeds at a time")
    parser.add_argument("--keep", type=Path, help="directory for the logs of broken seeds")
    parser.add_argument("--site", type=Path, help="site file whose streams and engines to play")
    parser.add_argument("--hosts-from", type=Path, help="checkout whose hosts to run")
    parser.add_argument("--first-port", type=int, default=FIRST_PORT)
    parser.add_argument("--one", type=int, help=argparse.SUPPRESS)
    parser.add_argument("--job", type=int, default=0, help=argparse.SUPPRESS)
    arguments = parser.parse_args()
    keep = (arguments.keep or Path(tempfile.mkdtemp(prefix="soak-releases-"))).resolve()
    if arguments.one is None:
        seeds = parse_seeds(arguments.seeds)
        options = ["--keep", str(keep), "--first-port", str(arguments.first_port)]
        options += ["--site", str(arguments.site)] if arguments.site else []
        options += ["--hosts-from", str(arguments.hosts_from)] if arguments.hosts_from else []
        broken = asyncio.run(run_all(seeds, arguments.jobs, options, "soak.releases"))
        print(f"{len(seeds)} seeds, {len(broken)} broken: {broken}, logs in {keep}")
        sys.exit(1 if broken else 0)
    first_port = arguments.first_port + arguments.job * PORTS_PER_JOB
    limit_port_range(first_port, first_port + PORTS_PER_JOB)
    directory = keep / str(arguments.one)
    directory.mkdir(parents=True)
    site = read_site(arguments.site) if arguments.site else DEFAULT_SITE
    faults = run_seed(arguments.one, directory, RunOptions(site, arguments.hosts_from))
    for fault in faults:
        print(f"  {fault}")
    if faults:
        sys.exit(1)
    shutil.rmtree(directory)


if __name__ == "__main__":
    main()
