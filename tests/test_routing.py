"""Routing: constant cost at any fleet size, prefix affinity, other regions only if faster."""

import random
from collections.abc import Sequence
from typing import overload

import pytest

from berylquay.decisions.calls import Call
from berylquay.decisions.deployment import ClassSpec, WorkKind
from berylquay.decisions.engine_speed import EngineSpeed
from berylquay.decisions.fleet import Address, BackendKind, BackendServer, LoadReport, Role
from berylquay.decisions.latency_prediction import LatencyPredictor
from berylquay.decisions.power_of_two_routing import PowerOfTwoRouting
from berylquay.decisions.prefix_affinity import jump_consistent_hash
from berylquay.decisions.routing import Candidate, Candidates

MAX_SERVERS_EXAMINED = 8


class CountingSequence(Sequence[Candidate]):
    """A sequence of servers that counts accesses to its elements."""

    def __init__(self, servers: list[Candidate]) -> None:
        self.servers = servers
        self.access_count = 0

    @overload
    def __getitem__(self, index: int) -> Candidate: ...

    @overload
    def __getitem__(self, index: slice) -> Sequence[Candidate]: ...

    def __getitem__(self, index: int | slice) -> Candidate | Sequence[Candidate]:
        """Returns a server, or a slice of them, and counts the accesses."""
        self.access_count += 1 if isinstance(index, int) else len(self.servers)
        return self.servers[index]

    def __len__(self) -> int:
        """Returns the number of servers."""
        return len(self.servers)


def make_call(prompt: str = "prefix") -> Call:
    spec = ClassSpec("quick-question", WorkKind.GENERATION, "pool")
    return Call(
        "1", "1", "fes", spec, 0.0, 60.0, True, "", "1", True, "", "", prompt, 800, 128
    )  # fmt: skip


def make_server(name: str, backlog_tokens: int = 0, region: str = "fes") -> Candidate:
    server = BackendServer(
        name, BackendKind.ENGINE, Address("127.0.0.1", 1), region, region, "pool"
    )
    report = LoadReport(name, 0.0, Role.MIXED, "", prefill_backlog_tokens=backlog_tokens)
    return Candidate(server, 0, report)


def make_policy() -> PowerOfTwoRouting:
    return PowerOfTwoRouting(LatencyPredictor(EngineSpeed()), random.Random(1))


@pytest.mark.parametrize("engines", [5, 50, 500, 5000])
def test_servers_examined_per_choice_do_not_grow_with_the_fleet(engines: int) -> None:
    policy = make_policy()
    local = CountingSequence([make_server(f"e{n}", 100000) for n in range(engines)])
    remote = CountingSequence([make_server(f"r{n}", 0, "tangier") for n in range(engines)])
    for number in range(100):
        local.access_count = remote.access_count = 0
        policy.choose(make_call(f"prefix-{number}"), Candidates(local, remote), 0.0)
        assert local.access_count + remote.access_count <= MAX_SERVERS_EXAMINED


def test_calls_with_the_same_prefix_go_to_one_idle_engine_from_every_host() -> None:
    servers = [make_server(f"e{n}") for n in range(50)]
    names = set()
    for host in range(9):
        policy = PowerOfTwoRouting(LatencyPredictor(EngineSpeed()), random.Random(host))
        chosen = policy.choose(make_call("the same"), Candidates(servers), 0.0)
        assert chosen is not None
        names.add(chosen.server.name)
    assert len(names) == 1


def test_a_loaded_preferred_engine_is_avoided() -> None:
    servers = [make_server(f"e{n}") for n in range(3)]
    policy = make_policy()
    preferred = policy.choose(make_call(), Candidates(servers), 0.0)
    assert preferred is not None
    preferred.pending_prompt_tokens = 50000
    assert policy.choose(make_call(), Candidates(servers), 0.0) is not preferred


def test_another_region_is_chosen_only_when_the_local_backlog_is_long() -> None:
    policy = make_policy()
    remote = [make_server("r", 0, "tangier")]
    light, heavy = make_server("light", 1000), make_server("heavy", 60000)
    assert policy.choose(make_call(), Candidates([light], remote), 0.0) is light
    assert policy.choose(make_call(), Candidates([heavy], remote), 0.0) is remote[0]


def test_an_avoided_server_is_never_chosen() -> None:
    servers = [make_server(f"e{n}") for n in range(9)]
    policy = make_policy()
    avoided = frozenset(f"e{n}" for n in range(8))
    for number in range(50):
        chosen = policy.choose(make_call(str(number)), Candidates(servers, (), avoided), 0.0)
        assert chosen is servers[8]


def test_one_more_engine_moves_few_prefixes() -> None:
    moved = sum(
        jump_consistent_hash(key, 50) != jump_consistent_hash(key, 51) for key in range(10000)
    )
    assert moved < 10000 / 51 * 1.5
