"""A model of how a change of the configuration spreads over the hosts of three regions.

Virtual time, the hosts' real exchange, followers and views; the network, the store and the sockets'
queues are modelled. Hosts can stand still, be suspended, or lose calls to the store.
"""

import heapq
import json
from collections import deque
from collections.abc import Callable
from itertools import count
from math import inf
from random import Random
from types import SimpleNamespace
from typing import Any, Final
from unittest.mock import Mock

import pytest
from attrs import define, field

from berylquay.decisions.backend_registry import BackendRegistry
from berylquay.decisions.engine_backlog import EngineBacklog
from berylquay.decisions.fleet import Address
from berylquay.decisions.load_sharing_scope import LoadSharingScope
from berylquay.decisions.store_era import StoreEra
from berylquay.decisions.topology import Location, Topology
from berylquay.net.unexpected_errors import UnexpectedErrors
from berylquay.platform.store_client import (
    NewestRecordsPage,
    RecordPage,
    StoreFailure,
    encode_keyed_record,
)
from berylquay.platform.wire_names import KEY_CONFIGURATION, TOPIC_CONFIGURATION
from berylquay.relay.follower import FollowTimings, TopicFollower
from berylquay.relay.peer_exchange import PeerExchange
from berylquay.relay.pending_updates import PendingUpdates
from berylquay.relay.store_views import ConfigurationView
from tests.support.relay_fleet import make_configuration

TICK_S: Final = 0.025
# Time within which a change must be in force, as in the large deployments.
APPLY_S: Final = 4.0
REGIONS: Final = {"dyfed-a": "dyfed", "gwent-a": "gwent", "gwynedd-a": "gwynedd"}
HOSTS_PER_REGION: Final = 12
# Datagrams that wait at a host that stands still; the queue keeps the oldest.
QUEUE_DATAGRAMS: Final = 120
STORE_ANSWER_S: Final = 0.005
CALL_TIMEOUT_S: Final = 1.0
# Time for which a host counts as disturbed after it was.
CONTACT_S: Final = 5.0


@define(eq=False)
class ModelSocket:
    """The socket of one host: what arrives waits in a queue of limited length."""

    network: "Callable[[bytes, Address], None]"
    queue: "deque[bytes]" = field(factory=deque)
    # Datagrams that may be taken until the host's next tick.
    may_take: float = inf

    def setblocking(self, _blocking: bool) -> None:
        """Does nothing."""

    def bind(self, _address: tuple[str, int]) -> None:
        """Does nothing."""

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self.network(data, Address(*address))

    def recvfrom(self, _size_bytes: int) -> tuple[bytes, None]:
        if not self.queue:
            raise BlockingIOError
        if self.may_take < 1:
            raise OSError("the host is busy")
        self.may_take -= 1
        return self.queue.popleft(), None


@define(eq=False)
class ModelClient:
    """A host's client of the store: long polls, answers that wait in the socket, lost calls."""

    model: "SpreadModel"
    host: "SpreadHost"
    # True time at which the last call was sent.
    sent_at_s: float = 0.0
    _call: int = 0
    _on_result: Callable[..., None] | None = None
    # An answer that has arrived and was not read yet, and the call's deadline.
    _answer: object = None
    _deadline_s: float = 0.0

    @property
    def busy(self) -> bool:
        return self._on_result is not None

    @property
    def has_answer(self) -> bool:
        """Returns whether an answer has arrived that the host has not read yet."""
        return self._answer is not None

    def on_tick(self, now_s: float) -> None:
        """Delivers an answer that has arrived, or fails a call that has exceeded its time."""
        on_result, answer = self._on_result, self._answer
        if on_result is None:
            return
        if answer is None and now_s >= self._deadline_s:
            answer = StoreFailure("no answer in time", 0, may_have_happened=True)
        if answer is not None:
            self._on_result = self._answer = None
            on_result(answer)

    def read_newest(self, _topic: str, _after: str, on_result: Callable[..., None]) -> None:
        self._begin(on_result, 0.0, CALL_TIMEOUT_S, self.model.newest_page)

    def read(
        self,
        _topic: str,
        offset: int,
        wait_s: float,
        on_result: Callable[..., None],
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> None:
        self._begin(on_result, wait_s, timeout_s, lambda: self.model.page(offset))

    def abandon_call(self) -> None:
        self._on_result = None

    def _begin(
        self,
        on_result: Callable[..., None],
        wait_s: float,
        timeout_s: float,
        make_answer: Callable[[], object],
    ) -> None:
        model = self.model
        self._call += 1
        self.sent_at_s = model.now_s
        self._on_result, self._answer = on_result, None
        self._deadline_s = self.host.monotonic_s() + wait_s + timeout_s
        if self.host.calls_to_lose > 0:
            self.host.calls_to_lose -= 1
            return
        call, ends_s = self._call, model.now_s + wait_s

        def answer() -> None:
            if call != self._call or self.host.is_turned_away:
                return
            result = make_answer()
            is_empty = isinstance(result, RecordPage) and not result.contents
            if is_empty and model.now_s < ends_s:
                model.later(STORE_ANSWER_S, answer)
            else:
                self._answer = result

        model.later(STORE_ANSWER_S, answer)


@define(eq=False)
class SpreadHost:
    """One host: its exchange with the others, and its view of the configuration."""

    model: "SpreadModel"
    name: str
    data_centre: str
    address: Address
    # Until then the host handles nothing, and whether its monotonic clock stands still as well.
    resumes_s: float = 0.0
    is_suspended: bool = False
    suspended_s: float = 0.0
    is_gone: bool = False
    # Whether the store answers this host nothing, and how many of its next calls are lost.
    is_turned_away: bool = False
    calls_to_lose: int = 0
    # Datagrams that the host can handle at each tick.
    datagrams_per_tick: float = inf
    # Time until which the host counts as disturbed.
    disturbed_until_s: float = -inf
    socket: ModelSocket = field(init=False)
    client: ModelClient = field(init=False)
    view: ConfigurationView = field(init=False)
    follower: TopicFollower = field(init=False)
    backlog: EngineBacklog = field(factory=EngineBacklog, init=False)
    exchange: PeerExchange = field(init=False)

    def start(self) -> None:
        """Creates the host's components."""
        topology = Topology(Location(self.data_centre, REGIONS[self.data_centre]), REGIONS)
        self.socket = ModelSocket(self.model.deliver)
        era = StoreEra()
        self.client = ModelClient(self.model, self)
        self.view = ConfigurationView(lambda _table: None, era)
        self.follower = self.model.make_follower(self, era)
        services: Any = SimpleNamespace(
            backlog=self.backlog,
            registry=BackendRegistry(),
            pending_updates=PendingUpdates(),
            errors=UnexpectedErrors(),
            topology=topology,
            load_sharing_scope=LoadSharingScope(topology),
            rng=self.model.rng,
            health=SimpleNamespace(misdirected_servers=lambda _now_s: ()),
            path_monitor=SimpleNamespace(lost_pools=()),
            live_host_count=len(REGIONS) * HOSTS_PER_REGION,
        )
        options: Any = SimpleNamespace(
            host=self.name, data_centre=self.data_centre, peers_address=self.address
        )
        self.exchange = PeerExchange(
            services, options, (self.follower,), self.view, notice_handlers={}
        )

    def monotonic_s(self) -> float:
        """Returns the host's monotonic time."""
        standing_s = 0.0
        if self.is_suspended and self.model.now_s < self.resumes_s:
            standing_s = self.suspended_s
        return self.model.now_s - self.suspended_s + standing_s

    @property
    def stands_still(self) -> bool:
        return self.is_gone or self.model.now_s < self.resumes_s

    def stop(self, duration_s: float, *, suspended: bool = False) -> None:
        """Makes the host stand still; a suspension stops its monotonic clock as well."""
        self.resumes_s = self.model.now_s + duration_s
        self.is_suspended = suspended
        if suspended:
            self.suspended_s += duration_s
        self.disturbed_until_s = self.resumes_s + CONTACT_S

    def slow_down(self, datagrams_per_tick: int) -> None:
        """Makes the host handle fewer datagrams than arrive, from now on."""
        self.datagrams_per_tick, self.disturbed_until_s = datagrams_per_tick, inf

    def turn_away(self) -> None:
        """Makes the store answer this host nothing any more."""
        self.is_turned_away, self.disturbed_until_s = True, inf

    def tick(self) -> None:
        """Runs one tick."""
        now_s = self.monotonic_s()
        self.socket.may_take = self.datagrams_per_tick
        # Each tick, the work in flight is another one, so that the hosts report as under traffic.
        self.backlog.add_stream("e", str(self.model.now_s))
        self.exchange.receive(now_s)
        self.exchange.follow_topics(now_s)
        self.exchange.on_tick(now_s)

    @property
    def confirmed_at_s(self) -> float:
        """Returns the true time up to which the host takes its knowledge for complete."""
        return self.model.now_s - (self.monotonic_s() - self.follower.confirmed_s)

    @property
    def version(self) -> int:
        """Returns the version in force; 0 for none."""
        return 0 if self.view.table is None else self.view.table.version


class SpreadModel:
    """One seeded run."""

    def __init__(self, seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
        self.rng = Random(seed)
        self.now_s = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()
        self._running: SpreadHost | None = None
        self._contents: list[bytes] = []
        # Time of each change by version.
        self.changes: dict[int, float] = {}
        # Longest time until a change was in force at a host that was not disturbed, by host.
        self.lags_s: dict[str, float] = {}
        self.hosts = {
            f"{data_centre}-{number:02}": SpreadHost(
                self,
                f"{data_centre}-{number:02}",
                data_centre,
                Address(f"10.{region}.0.{number + 1}", 7380),
            )
            for region, data_centre in enumerate(REGIONS)
            for number in range(HOSTS_PER_REGION)
        }
        self._by_address = {host.address: host for host in self.hosts.values()}
        clock = SimpleNamespace(monotonic=self._monotonic_s)
        monkeypatch.setattr("berylquay.relay.peer_exchange.time", clock)
        monkeypatch.setattr("berylquay.relay.peer_exchange.boot_clock_s", lambda: self.now_s)
        self.change()
        for host in self.hosts.values():
            self._running = host
            sock = Mock()
            monkeypatch.setattr("berylquay.relay.load_reports.socket.socket", sock)
            sock.side_effect = lambda *_arguments, host=host: host.socket
            host.start()
            for other in self.hosts.values():
                host.exchange.add_host(other.name, other.address, other.data_centre, 0.0)
            host.exchange.update_host_count(len(self.hosts))

    def make_follower(self, host: SpreadHost, era: StoreEra) -> TopicFollower:
        """Returns a host's follower of the configuration."""
        return TopicFollower(
            TOPIC_CONFIGURATION,
            FollowTimings(0.2 * APPLY_S, 0.05, APPLY_S),
            host.client,  # type: ignore[arg-type]
            host.view,
            self.rng,
            host.monotonic_s,
            lambda: self.now_s,
            era,
        )

    def first_of(self, data_centre: str) -> SpreadHost:
        """Returns the first host of a region."""
        return self.hosts[f"{data_centre}-00"]

    def turn_all_away(self) -> None:
        """Makes the store answer nobody any more."""
        for host in self.hosts.values():
            host.turn_away()

    def change(self) -> None:
        """Writes the next version of the configuration."""
        version = len(self._contents) + 1
        data = json.dumps(make_configuration(version)).encode()
        self._contents.append(encode_keyed_record(KEY_CONFIGURATION, data))
        self.changes[version] = self.now_s

    def newest_page(self) -> NewestRecordsPage:
        """Returns the answer to a read of the newest records."""
        record = self.page(len(self._contents) - 1).contents[0]
        key = bytes([len(KEY_CONFIGURATION)]) + KEY_CONFIGURATION.encode()
        return NewestRecordsPage(
            (SimpleNamespace(key=KEY_CONFIGURATION, value=record[len(key) :]),),  # type: ignore[arg-type]
            False,
            len(self._contents),
        )

    def page(self, offset: int) -> RecordPage:
        """Returns the answer to a read from an offset."""
        return RecordPage(tuple(self._contents[offset:]), offset, len(self._contents))

    def later(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedules an action."""
        heapq.heappush(self._events, (self.now_s + delay_s, next(self._numbers), action))

    def deliver(self, data: bytes, address: Address) -> None:
        """Passes a datagram through the network; a full queue loses it."""
        receiver = self._by_address[address]

        def arrive() -> None:
            if not receiver.is_gone and len(receiver.socket.queue) < QUEUE_DATAGRAMS:
                receiver.socket.queue.append(data)

        self.later(self.rng.uniform(0.001, 0.025), arrive)

    def run(self, until_s: float) -> None:
        """Runs until a time, and notes for how long hosts have lacked a version."""
        while self.now_s < until_s:
            next_s = self.now_s + TICK_S
            while self._events and self._events[0][0] <= next_s:
                self.now_s, _number, action = heapq.heappop(self._events)
                action()
            self.now_s = next_s
            for host in self.hosts.values():
                if not host.stands_still:
                    self._running = host
                    host.tick()
                self._note_lag(host)

    def _note_lag(self, host: SpreadHost) -> None:
        missing = [self.changes[version] for version in self.changes if version > host.version]
        if missing and not host.is_gone and self.now_s >= host.disturbed_until_s:
            lag_s = self.now_s - min(missing)
            self.lags_s[host.name] = max(lag_s, self.lags_s.get(host.name, 0.0))

    def _monotonic_s(self) -> float:
        return 0.0 if self._running is None else self._running.monotonic_s()
