"""`python -m soak.releases`: streams of several software versions on real processes, by seed.

Servers of new versions join, old ones leave, crash, break off or are replaced at their address,
while hosts and the store stand still and hosts are killed, in series that overlap. Callers take
their streams up at any host. No stream may hold events of two versions, lack one, hold one twice,
or end as complete before its last one. The exit status is 1 if a seed broke this.
"""

import argparse
import asyncio
import shutil
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Final

import h11
from attrs import define, field, frozen

from berylquay.net.http_client import STATUS_OK
from examples.processes import FIRST_PORT, Process, limit_port_range
from soak.__main__ import PORTS_PER_JOB, parse_seeds, run_all
from tests.support.relay_fleet import (
    HOST_NAME,
    PATHS,
    RelayFleet,
    make_configuration,
    start_relay_fleet,
)

POOL: Final = "lm"
EVENTS: Final = 40
EVENT_INTERVAL_MS: Final = 50
# Callers that read streams to the end, and those that leave after the first event, whose streams
# fill the hosts' queues with reports.
LONG_CALLERS: Final = 24
SHORT_CALLERS: Final = 24
SHORT_PAUSE_S: Final = 0.2
TAKE_UP_TRIES: Final = 8
RETRY_PAUSE_S: Final = 0.3
ANSWER_TIMEOUT_S: Final = 6.0
WARM_UP_S: Final = 2.0
LENGTH_S: Final = 14.0
OLD_ENGINES: Final = 4
MAX_ENGINES: Final = 10
# Time after which the entry of a server that has ended is removed.
LAPSE_S: Final = 1.0
LEAVE_S: Final = 2.0
# Probabilities: that the store stands still, that servers that break off end like complete ones,
# and that a version joins, or other hosts are killed, while a host stands still.
STORE_PAUSE_PROBABILITY: Final = 0.3
UNFRAMED_PROBABILITY: Final = 0.5
JOIN_IN_FREEZE_PROBABILITY: Final = 0.6
KILL_AT_WAKE_PROBABILITY: Final = 0.6


@define
class Stream:
    """What a caller has of one stream, over all its tries."""

    call_id: str
    kind: str
    # Numbers and versions of the events, in the order in which they arrived.
    events: list[tuple[int, str]] = field(factory=list)
    # Whether the last answer ended as complete.
    is_complete: bool = False
    # Hosts and statuses of the tries.
    tries: list[str] = field(factory=list)

    def fault(self) -> str:
        """Returns what is wrong with the events, or an empty string."""
        numbers = [number for number, _version in self.events]
        versions = list(dict.fromkeys(version for _number, version in self.events))
        if len(versions) > 1:
            return f"versions {versions}"
        if numbers != list(range(1, len(numbers) + 1)):
            return f"events {numbers}"
        if self.is_complete and len(numbers) < EVENTS:
            return f"ends as complete after {len(numbers)} events"
        return ""


@frozen
class Action:
    """One step of a seed's schedule."""

    at_s: float
    run: Callable[[], None]


@define
class ReleaseRun:
    """The processes and callers of one seed."""

    fleet: RelayFleet
    rng: Random
    actions: list[Action] = field(factory=list)
    # Steps that others do not wait for, which may wait for the store.
    store_actions: list[Action] = field(factory=list)
    streams: list[Stream] = field(factory=list)
    # Versions of the servers that run, by name.
    versions: dict[str, str] = field(factory=dict)
    # Hosts that run and do not stand still.
    live_hosts: set[int] = field(factory=set)
    _count: int = 0
    _newest_version: int = 1

    async def run(self) -> None:
        """Plays the schedule while callers send."""
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        end_s = start_s + LENGTH_S
        callers = [self._read_long(number, end_s) for number in range(LONG_CALLERS)]
        callers += [self._leave_early(number, end_s) for number in range(SHORT_CALLERS)]
        plays = [self._play(actions, start_s) for actions in (self.actions, self.store_actions)]
        await asyncio.gather(*callers, *plays)

    def draw(self, host_count: int) -> None:
        """Draws the schedule."""
        rng = self.rng
        kinds = (self._release, self._leave, self._crash, self._replace, self._break_off)
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

    def start_engine(self, version: int, port: int | None = None) -> None:
        """Starts a server of a version, at a port that was in use or at a free one."""
        self._count += 1
        name = f"e{self._count}"
        arguments = ["--role", "decode", "--events", str(EVENTS), "--version", f"v{version}"]
        arguments += ["--interval-ms", str(EVENT_INTERVAL_MS), "--name", name]
        if port is None:
            process = self.fleet.processes.start_standin(name, "platform_backend", *arguments)
        else:
            process = self.fleet.processes.start(
                name, "standins.platform_backend", port, "--port", str(port), *arguments
            )
        self.fleet.backends[name] = process
        self.versions[name] = f"v{version}"
        self._register(name, "ready")

    def _register(self, name: str, state: str) -> None:
        self.fleet.register(
            name,
            POOL,
            "decode",
            version=self.versions[name],
            state=state,
            born=1000 + int(name[1:]),
            seq=int(time.monotonic() * 1000.0),
        )

    def _add(self, at_s: float, run: Callable[[], None]) -> None:
        self.actions.append(Action(at_s, run))

    # Servers.

    def _release(self, at_s: float) -> None:
        count = self.rng.randint(1, 2)

        def join() -> None:
            self._newest_version += 1
            for _ in range(count):
                if len(self.versions) < MAX_ENGINES:
                    self.start_engine(self._newest_version)

        self._add(at_s, join)

    def _leave(self, at_s: float) -> None:
        leaving: list[str] = []

        def drain() -> None:
            oldest = min(self.versions.values(), default="")
            names = [name for name, version in self.versions.items() if version == oldest]
            leaving.extend(names if len(names) < len(self.versions) else [])
            for name in leaving:
                self._register(name, "draining")

        def end() -> None:
            for name in leaving:
                self._end(name)
                self.fleet.put("keyed.servers", name, None)

        self._add(at_s, drain)
        self._add(at_s + LEAVE_S, end)

    def _crash(self, at_s: float) -> None:
        self._end_and_replace(at_s, self.rng.random(), is_replaced=False)

    def _replace(self, at_s: float) -> None:
        """A server crashes, and another one, of the newest version, starts at its address."""
        self._end_and_replace(at_s, self.rng.random(), is_replaced=True)

    def _end_and_replace(self, at_s: float, chosen: float, *, is_replaced: bool) -> None:
        ended: list[Process] = []
        names: list[str] = []

        def crash() -> None:
            running = sorted(self.versions)
            if len(running) > 1:
                names.append(running[int(chosen * len(running))])
                ended.append(self.fleet.backends[names[0]])
                self._end(names[0])

        def lapse() -> None:
            if names:
                self.fleet.put("keyed.servers", names[0], None)

        def replace() -> None:
            if ended:
                self.start_engine(self._newest_version, ended[0].port)

        self._add(at_s, crash)
        self._add(at_s + LAPSE_S, lapse)
        if is_replaced:
            self._add(at_s + self.rng.uniform(0.3, 2.0), replace)

    def _end(self, name: str) -> None:
        if self.versions.pop(name, None) is not None:
            self.fleet.backends[name].kill()

    def _break_off(self, at_s: float) -> None:
        faults = {"break_after": self.rng.randint(1, 30)}
        if self.rng.random() < UNFRAMED_PROBABILITY:
            faults["unframed"] = 1

        def set_faults(value: dict[str, int]) -> None:
            for name in self.versions:
                self.fleet.backends[name].post("/faults", value)

        self._add(at_s, lambda: set_faults(faults))
        self._add(at_s + 0.8, lambda: set_faults({}))

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

        def restart() -> None:
            self.fleet.restart_hosts(*killed)
            self.live_hosts.update(killed)

        self._add(at_s, kill)
        self._add(at_s + down_s, restart)

    async def _play(self, actions: list[Action], start_s: float) -> None:
        loop = asyncio.get_running_loop()
        for action in sorted(actions, key=lambda action: action.at_s):
            await asyncio.sleep(max(0.0, start_s + action.at_s - loop.time()))
            await asyncio.to_thread(action.run)

    # Callers.

    async def _read_long(self, number: int, end_s: float) -> None:
        loop, rng = asyncio.get_running_loop(), Random(self.rng.random())
        count = 0
        while loop.time() < end_s:
            count += 1
            kind = "resumable" if number % 4 else "stream"
            stream = Stream(f"long-{number}-{count}", kind)
            self.streams.append(stream)
            await self._read(stream, stream.call_id, self._choose_host(rng))
            if kind == "resumable":
                await self._take_up(stream, rng)
            await asyncio.sleep(rng.uniform(0.02, 0.3))

    async def _take_up(self, stream: Stream, rng: Random) -> None:
        for attempt in range(TAKE_UP_TRIES):
            if stream.is_complete or not stream.events:
                return
            before = len(stream.events)
            await self._read(stream, f"{stream.call_id}-again-{attempt}", self._choose_host(rng))
            if len(stream.events) == before:
                await asyncio.sleep(RETRY_PAUSE_S)

    async def _leave_early(self, number: int, end_s: float) -> None:
        loop, rng = asyncio.get_running_loop(), Random(self.rng.random())
        count = 0
        while loop.time() < end_s:
            count += 1
            call_id = f"short-{number}-{count}"
            await self._read(Stream(call_id, "resumable"), call_id, self._choose_host(rng), 1)
            await asyncio.sleep(SHORT_PAUSE_S)

    def _choose_host(self, rng: Random) -> int:
        return rng.choice(sorted(self.live_hosts) or [0])

    async def _read(
        self, stream: Stream, call_id: str, host: int, most_events: int = EVENTS + 1
    ) -> None:
        """Sends one request, which goes on after the stream's newest event."""
        tried = f"{call_id} at host-{host} after {len(stream.events)}:"
        status, rest = 0, b""
        protocol = h11.Connection(our_role=h11.CLIENT)
        stream.is_complete = False
        writer = None
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                port = self.fleet.hosts[host].port
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(_encode_request(protocol, stream, call_id))
                while len(stream.events) < most_events:
                    event = protocol.next_event()
                    if event is h11.NEED_DATA:
                        protocol.receive_data(await reader.read(65536))
                    elif isinstance(event, h11.Response):
                        status = event.status_code
                    elif isinstance(event, h11.Data) and status == STATUS_OK:
                        *parts, rest = (rest + bytes(event.data)).split(b"\n\n")
                        stream.events += map(_decode_event, parts)
                    elif isinstance(event, h11.EndOfMessage):
                        stream.is_complete = status == STATUS_OK
                        break
                    elif isinstance(event, h11.ConnectionClosed):
                        break
        except (OSError, TimeoutError, h11.RemoteProtocolError) as error:
            tried += f" {type(error).__name__}"
        finally:
            if writer is not None:
                writer.transport.abort()
        stream.tries.append(f"{tried} {status}, then {len(stream.events)}")


def _encode_request(protocol: h11.Connection, stream: Stream, call_id: str) -> bytes:
    body = call_id.encode()
    headers = [
        ("Host", HOST_NAME),
        ("Attempt-Id", call_id),
        ("Deadline-Ms", "4000"),
        ("Token-Counts", "20,40"),
        ("Content-Length", str(len(body))),
    ]
    if stream.events:
        headers += [("Last-Event-Id", str(stream.events[-1][0])), ("Resumes", stream.call_id)]
    target = f"{PATHS[stream.kind]}{call_id}"
    data = protocol.send(h11.Request(method="POST", target=target, headers=headers)) or b""
    data += protocol.send(h11.Data(data=body)) or b""
    return data + (protocol.send(h11.EndOfMessage()) or b"")


def _decode_event(text: bytes) -> tuple[int, str]:
    first, _, second = text.decode().partition("\n")
    return int(first.removeprefix("id: ")), second.rpartition(" ")[2]


def run_seed(seed: int, directory: Path) -> list[str]:
    """Runs one seed; returns a line for each stream that is wrong."""
    rng = Random(seed)
    host_count = rng.randint(2, 3)
    with start_relay_fleet(directory) as fleet:
        fleet.put_configuration(make_configuration())
        run = ReleaseRun(fleet, rng, live_hosts=set(range(host_count)))
        for _ in range(OLD_ENGINES):
            run.start_engine(1)
        for number in range(host_count):
            fleet.add_host(f"host-{number}")
        run.draw(host_count)
        asyncio.run(run.run())
    faults = [f"{stream.fault()}: {stream.tries}" for stream in run.streams if stream.fault()]
    ends = Counter(
        ("whole" if stream.is_complete else "broken" if stream.events else "refused")
        + (", taken up" if stream.tries[1:] else "")
        for stream in run.streams
    )
    print(f"seed {seed}: {host_count} hosts, streams {dict(sorted(ends.items()))}")
    return faults


def main() -> None:
    """Runs the seeds that the command line names."""
    parser = argparse.ArgumentParser(prog="python -m soak.releases", description=__doc__)
    parser.add_argument("--seeds", default="1-5", help="for example 1-50 or 3,7")
    parser.add_argument("--jobs", type=int, default=2, help="seeds at a time")
    parser.add_argument("--keep", type=Path, help="directory for the logs of broken seeds")
    parser.add_argument("--one", type=int, help=argparse.SUPPRESS)
    parser.add_argument("--job", type=int, default=0, help=argparse.SUPPRESS)
    arguments = parser.parse_args()
    keep = arguments.keep or Path(tempfile.mkdtemp(prefix="soak-releases-"))
    if arguments.one is None:
        seeds = parse_seeds(arguments.seeds)
        broken = asyncio.run(run_all(seeds, arguments.jobs, ["--keep", str(keep)], "soak.releases"))
        print(f"{len(seeds)} seeds, {len(broken)} broken: {broken}, logs in {keep}")
        sys.exit(1 if broken else 0)
    first_port = FIRST_PORT + arguments.job * PORTS_PER_JOB
    limit_port_range(first_port, first_port + PORTS_PER_JOB)
    directory = keep / str(arguments.one)
    directory.mkdir(parents=True)
    faults = run_seed(arguments.one, directory)
    for fault in faults:
        print(f"  {fault}")
    if faults:
        sys.exit(1)
    shutil.rmtree(directory)


if __name__ == "__main__":
    main()
