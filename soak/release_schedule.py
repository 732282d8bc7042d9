"""The schedule of a soak over releases: what happens to engines, hosts, links and the store."""

import asyncio
import contextlib
import json
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Final

from attrs import define, field, frozen

from soak.engine_pool import LAPSE_S, MAX_ENGINES, Engine, EnginePool
from tests.support.relay_fleet import RelayFleet

WARM_UP_S: Final = 2.0
LENGTH_S: Final = 14.0
LEAVE_S: Final = 2.0
# Probabilities: that the store stands still, that servers that break off end like complete ones,
# and that a version joins, or other hosts are killed, while a host stands still.
STORE_PAUSE_PROBABILITY: Final = 0.3
UNFRAMED_PROBABILITY: Final = 0.5
JOIN_IN_FREEZE_PROBABILITY: Final = 0.6
KILL_AT_WAKE_PROBABILITY: Final = 0.6
# That the hosts of a site are stopped.
STOP_PROBABILITY: Final = 0.5
# That all engines of a site start again one after the other, and longest time until their entries
# follow.
SERIES_PROBABILITY: Final = 0.5
MAX_SERIES_ENTRY_DELAY_S: Final = 3.0
# Longest time from SIGTERM until a host starts again; it is killed if it has not ended by then.
MAX_STOP_S: Final = 9.0
ENGINE_POLL_INTERVAL_S: Final = 0.02
ROLE_POLL_INTERVAL_S: Final = 1.2


@frozen
class Action:
    """One step of a seed's schedule."""

    at_s: float
    run: Callable[[], None]


@define
class ReleaseSchedule:
    """The schedule of one seed."""

    fleet: RelayFleet
    rng: Random
    pool: EnginePool
    # Whether a site is played.
    is_site: bool
    # Hosts that run and do not stand still, and those that were told to stop.
    live_hosts: set[int]
    stopping_hosts: set[int] = field(factory=set)
    actions: list[Action] = field(factory=list)
    # Steps that others do not wait for, which may wait for the store.
    store_actions: list[Action] = field(factory=list)
    # Steps that others do not wait for, as each lasts for seconds.
    series_actions: list[Action] = field(factory=list)

    async def run(self, start_s: float) -> None:
        """Takes all steps."""
        series = (self.actions, self.store_actions, self.series_actions)
        plays = [self._play(actions, start_s) for actions in series]
        if self.is_site:
            plays.append(self._watch_engines(start_s + LENGTH_S))
        await asyncio.gather(*plays)

    def draw(self, host_count: int) -> None:
        """Draws the schedule."""
        rng = self.rng
        kinds = [self._release, self._leave, self._crash, self._replace, self._break_off]
        for _ in range(rng.randint(3, 7)):
            rng.choice(kinds)(rng.uniform(WARM_UP_S, LENGTH_S - 2.0))
        for _ in range(rng.randint(1, 4)):
            self._freeze_host(rng.uniform(WARM_UP_S, LENGTH_S - 3.0), host_count)
        for _ in range(rng.randint(0, 2)):
            self._kill_hosts(rng.uniform(WARM_UP_S, LENGTH_S - 2.0), host_count)
        if rng.random() < STORE_PAUSE_PROBABILITY:
            at_s = rng.uniform(WARM_UP_S, LENGTH_S - 4.0)
            resumes_s = at_s + rng.uniform(0.3, 3.0)
            self.store_actions.append(Action(at_s, self.fleet.store.pause))
            self.store_actions.append(Action(resumes_s, self.fleet.store.resume))

    def draw_site(self, host_count: int) -> None:
        """Draws what happens on a site besides."""
        rng = self.rng
        for _ in range(rng.randint(3, 6)):
            rng.choice((self._return, self._return, self._exit))(
                rng.uniform(WARM_UP_S, LENGTH_S - 2.0)
            )
        if rng.random() < STOP_PROBABILITY:
            self._stop_hosts(rng.uniform(WARM_UP_S, LENGTH_S / 2.0), host_count)
        for _ in range(rng.randint(2, 6) if self.pool.has_proxy else 0):
            self._harm_link(rng.uniform(WARM_UP_S, LENGTH_S - 2.0))
        for _ in range(rng.randint(0, 2) if self.pool.has_proxy else 0):
            self._partition_host(rng.uniform(WARM_UP_S, LENGTH_S - 2.0), host_count)
        for _ in range(rng.randint(0, 3)):
            self._freeze_engine(rng.uniform(WARM_UP_S, LENGTH_S - 2.0))
        if rng.random() < SERIES_PROBABILITY:
            self._release_in_place(rng.uniform(WARM_UP_S, LENGTH_S / 2.0))

    def _add(self, at_s: float, run: Callable[[], None]) -> None:
        self.actions.append(Action(at_s, run))

    # Servers.

    def _release(self, at_s: float) -> None:
        count = self.rng.randint(1, 2)

        def join() -> None:
            self.pool.newest_version += 1
            for _ in range(count):
                if len(self.pool.engines) < MAX_ENGINES:
                    self.pool.start(self.pool.newest_version)

        self._add(at_s, join)

    def _leave(self, at_s: float) -> None:
        leaving: list[str] = []

        def drain() -> None:
            versions = self.pool.versions
            oldest = min(versions.values(), default="")
            names = [name for name, version in versions.items() if version == oldest]
            leaving.extend(names if len(names) < len(versions) else [])
            for name in leaving:
                self.pool.register(name, "draining")

        def end() -> None:
            for name in leaving:
                self.pool.end(name)
                self.pool.remove_entry(name)

        self._add(at_s, drain)
        self._add(at_s + LEAVE_S, end)

    def _crash(self, at_s: float) -> None:
        self._end_and_replace(at_s, self.rng.random(), is_replaced=False)

    def _replace(self, at_s: float) -> None:
        """A server crashes, and another one, of the newest version, starts at its address."""
        self._end_and_replace(at_s, self.rng.random(), is_replaced=True)

    def _end_and_replace(self, at_s: float, chosen: float, *, is_replaced: bool) -> None:
        ended: list[Engine] = []

        def crash() -> None:
            name = self._choose_engine(chosen)
            engine = self.pool.end(name)
            if engine is not None:
                ended.append(engine)

        def lapse() -> None:
            if ended:
                self.pool.remove_entry(ended[0].name)

        def replace() -> None:
            if ended:
                self.pool.start(self.pool.newest_version, ended[0].role, ended[0].address)

        self._add(at_s, crash)
        self._add(at_s + LAPSE_S, lapse)
        if is_replaced:
            self._add(at_s + self.rng.uniform(0.3, 2.0), replace)

    def _choose_engine(self, chosen: float) -> str:
        """Returns the name of an engine that is not the last one, or an empty string."""
        running = sorted(self.pool.versions)
        return running[int(chosen * len(running))] if len(running) > 1 else ""

    def _break_off(self, at_s: float) -> None:
        faults: dict[str, object] = {"break_after": self.rng.randint(1, 30)}
        if self.rng.random() < UNFRAMED_PROBABILITY:
            faults["unframed"] = 1

        def set_faults(value: dict[str, object]) -> None:
            self.pool.set_faults(list(self.pool.engines.values()), value)

        self._add(at_s, lambda: set_faults(faults))
        self._add(at_s + 0.8, lambda: set_faults({}))

    def _return(self, at_s: float) -> None:
        """A server crashes and is back at its address at once or some seconds later."""
        chosen = self.rng.random()
        self._add(at_s, lambda: self.pool.end_and_replace(self._choose_engine(chosen)))

    def _exit(self, at_s: float) -> None:
        """A server leaves, and ends right after the last of its streams."""
        chosen, delay_s = self.rng.random(), self.rng.choice((0.0, 0.01, 0.05))

        def leave() -> None:
            name = self._choose_engine(chosen)
            engine = self.pool.engines.get(name)
            if engine is not None:
                self.pool.register(name, "draining")
                self.pool.set_faults([engine], {"idle_exit_delay_s": delay_s})

        self._add(at_s, leave)

    def _freeze_engine(self, at_s: float) -> None:
        """A server stands still, and goes on with what it had begun."""
        chosen = self.rng.random()
        frozen_engines: list[Engine] = []

        def freeze() -> None:
            engine = self.pool.engines.get(self._choose_engine(chosen))
            if engine is not None:
                frozen_engines.append(engine)
                self.pool.pause(engine)

        def wake() -> None:
            for engine in frozen_engines:
                self.pool.resume(engine)

        self._add(at_s, freeze)
        self._add(at_s + self.rng.uniform(0.3, 6.0), wake)

    def _release_in_place(self, at_s: float) -> None:
        """All servers start again as a new version, under their names and at their addresses."""
        gap_s = self.rng.uniform(0.05, 1.0)
        entry_delay_s = self.rng.choice((0.0, self.rng.uniform(0.0, MAX_SERIES_ENTRY_DELAY_S)))
        self.series_actions.append(
            Action(at_s, lambda: self.pool.restart_in_series(gap_s, entry_delay_s))
        )

    def _harm_link(self, at_s: float) -> None:
        """The link to a server is slow, cut or reset."""
        chosen = self.rng.random()
        states: list[dict[str, object]] = [
            {"delay_s": self.rng.uniform(0.02, 0.4)},
            {"cut": self.rng.choice(("towards", "back", "both"))},
            {"reset": 1},
        ]
        state = self.rng.choice(states)
        harmed: list[Engine] = []

        def harm() -> None:
            engine = self.pool.engines.get(self._choose_engine(chosen))
            if engine is not None:
                harmed.append(engine)
                self.pool.set_link(engine, state)

        def heal() -> None:
            for engine in harmed:
                self.pool.set_link(engine, {})

        self._add(at_s, harm)
        self._add(at_s + self.rng.uniform(0.3, 3.0), heal)

    async def _watch_engines(self, end_s: float) -> None:
        """Lets engines return that have ended, and their entries follow their roles."""
        loop = asyncio.get_running_loop()
        roles_s = loop.time()
        while loop.time() < end_s:
            await asyncio.to_thread(self.pool.return_ended)
            if loop.time() - roles_s >= ROLE_POLL_INTERVAL_S:
                roles_s = loop.time()
                await asyncio.to_thread(self.pool.follow_roles)
            await asyncio.sleep(ENGINE_POLL_INTERVAL_S)

    # Hosts.

    def _freeze_host(self, at_s: float, host_count: int) -> None:
        """A host stands still; a version may join meanwhile, and others be killed as it wakes."""
        host, lasts_s = self.rng.randrange(host_count), self.rng.uniform(0.5, 7.0)
        wakes_s = at_s + lasts_s

        def freeze() -> None:
            if host in self.live_hosts:
                self.live_hosts.discard(host)
                self.fleet.hosts[host].pause()

        def wake() -> None:
            if self.fleet.hosts[host].popen.poll() is None:
                self.fleet.hosts[host].resume()
                if host not in self.stopping_hosts:
                    self.live_hosts.add(host)

        self._add(at_s, freeze)
        if self.rng.random() < JOIN_IN_FREEZE_PROBABILITY:
            self._release(at_s + self.rng.uniform(0.3, 0.8) * lasts_s)
        if self.rng.random() < KILL_AT_WAKE_PROBABILITY:
            others = [other for other in range(host_count) if other != host]
            self._kill(wakes_s, others, self.rng.uniform(0.3, 2.0))
        self._add(wakes_s, wake)

    def _kill_hosts(self, at_s: float, host_count: int) -> None:
        hosts = self.rng.sample(range(host_count), self.rng.randint(1, host_count))
        self._kill(at_s, hosts, self.rng.uniform(0.1, 1.5))

    def _kill(self, at_s: float, hosts: list[int], down_s: float) -> None:
        killed: list[int] = []

        def kill() -> None:
            killed.extend(host for host in hosts if host in self.live_hosts)
            self.live_hosts.difference_update(killed)
            self.fleet.kill_hosts(*killed)

        self._add(at_s, kill)
        self._add(at_s + down_s, lambda: self._restart(killed))

    def _stop_hosts(self, at_s: float, host_count: int) -> None:
        """Hosts are stopped with SIGTERM, one after the other, and start again."""
        for number, host in enumerate(self.rng.sample(range(host_count), host_count)):
            self._stop(at_s + number * self.rng.uniform(0.5, 2.0), host)

    def _stop(self, at_s: float, host: int) -> None:
        def stop() -> None:
            if host in self.live_hosts:
                self.live_hosts.discard(host)
                self.stopping_hosts.add(host)
                self.fleet.hosts[host].terminate()

        def restart() -> None:
            if host in self.stopping_hosts:
                self.fleet.kill_hosts(host)
                self._restart([host])
                self.stopping_hosts.discard(host)

        self._add(at_s, stop)
        self._add(at_s + self.rng.uniform(1.0, MAX_STOP_S), restart)

    def _partition_host(self, at_s: float, host_count: int) -> None:
        """A host that has not been started again does not reach the engines itself."""
        host, mode = self.rng.randrange(host_count), self.rng.choice(("refuse", "reset"))
        self._add(at_s, lambda: self._write_partition(host, mode))
        self._add(at_s + self.rng.uniform(0.5, 4.0), lambda: self._write_partition(host, ""))

    def partition_file(self, host: int) -> Path | None:
        """Returns the file with the state of a host's connections; None if they stay sound."""
        if not self.pool.has_proxy:
            return None
        file = self.fleet.processes.directory / f"partition-{host}.json"
        if not file.exists():
            self._write_partition(host, "")
        return file

    def _write_partition(self, host: int, mode: str) -> None:
        state = {"ports": self.pool.link_ports, "mode": mode, "full_mesh_hosts": None}
        file = self.fleet.processes.directory / f"partition-{host}.json"
        new_file = file.with_suffix(".new")
        new_file.write_text(json.dumps(state), encoding="utf-8")
        new_file.replace(file)

    def _restart(self, hosts: list[int]) -> None:
        # A host is not ready while the store stands still.
        with contextlib.suppress(*((TimeoutError,) if self.is_site else ())):
            self.fleet.restart_hosts(*hosts)
        self.live_hosts.update(hosts)

    async def _play(self, actions: list[Action], start_s: float) -> None:
        loop = asyncio.get_running_loop()
        for action in sorted(actions, key=lambda action: action.at_s):
            await asyncio.sleep(max(0.0, start_s + action.at_s - loop.time()))
            await asyncio.to_thread(action.run)
