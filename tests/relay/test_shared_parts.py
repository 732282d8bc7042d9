"""Shared parts of prompts: where they are read once, and when they are copied between engines."""

import pytest

from berylquay.decisions.backend_health import BackendHealth, HealthOptions
from berylquay.decisions.backend_registry import BackendEntry, EntryState
from berylquay.decisions.engine_backlog import EngineBacklog
from berylquay.decisions.engine_estimates import EngineEstimates
from berylquay.decisions.engine_placement import (
    Placement,
    PlacementOptions,
    PredictivePlacementPolicy,
)
from berylquay.decisions.fleet import Address, Role
from berylquay.decisions.prefix_cache_index import (
    COPY_SOURCE_MAX_IDLE_S,
    ENTRY_TTL_S,
    PrefixCacheIndex,
)
from berylquay.decisions.relay_call import GenerationRequest, PromptSegment
from berylquay.decisions.route_table import EngineProperties
from berylquay.decisions.topology import Location, Topology

REGIONS = {"a": "north", "b": "north", "c": "south"}
SHARED = PromptSegment("shared", 5000)
LONG = GenerationRequest("m", 11000, 30, (SHARED, PromptSegment("own", 6000)))
ENGINES = EngineProperties(64, 500_000, 163_840, 1_400_000.0, 5.0, 3.0)
OBJECTIVE_S = 0.8


def make_engine(name: str, data_centre: str = "a", role: Role = Role.PREFILL) -> BackendEntry:
    address = Address("10.0.0.1", 80)
    return BackendEntry(name, "lm", address, data_centre, 64, EntryState.READY, role=role)


MAKER = make_engine("maker", role=Role.DECODE)


class View:
    """What one host knows of the engines."""

    def __init__(self, readers: list[BackendEntry]) -> None:
        self.engines = [MAKER, *readers]
        self.backlog = EngineBacklog()
        self.locations = PrefixCacheIndex()
        distances = Topology(Location("a", REGIONS["a"]), REGIONS)
        health = BackendHealth(HealthOptions())
        self._placement = PredictivePlacementPolicy(
            PlacementOptions(), distances, self.backlog, self.locations, EngineEstimates(), health
        )
        self._placement.on_pool(ENGINES, OBJECTIVE_S)
        self._placement.on_prefill_engines(readers)

    def place(self, now_s: float = 0.0, generation: GenerationRequest = LONG) -> Placement:
        """Places a prompt whose objective is as long as any."""
        placed = self._placement.place(generation, self.engines, OBJECTIVE_S, OBJECTIVE_S, now_s)
        assert placed is not None
        return placed


def test_a_reader_copies_shared_parts_from_one_that_is_busy() -> None:
    keeper, other = make_engine("keeper"), make_engine("other")
    view = View([keeper, other])
    view.locations.on_segment_used("shared", "keeper", 0.0)
    view.backlog.add_prompt("keeper", "before", 20_000)
    placed = view.place()
    assert placed.prefill_engine is other
    assert placed.copy_from is keeper
    assert placed.prefill_cost_tokens < 7000


def test_nothing_is_copied_where_the_reader_keeps_the_parts_itself() -> None:
    view = View([make_engine("keeper"), make_engine("other")])
    view.locations.on_segment_used("shared", "keeper", 0.0)
    view.locations.on_segment_used("shared", "other", 0.0)
    assert view.place().copy_from is None


@pytest.mark.parametrize("now_s", [ENTRY_TTL_S + 0.1, 100.0])
def test_parts_that_may_be_evicted_are_not_copied(now_s: float) -> None:
    view = View([make_engine("keeper"), make_engine("other")])
    view.locations.on_segment_used("shared", "keeper", 0.0)
    view.backlog.add_prompt("keeper", "before", 20_000)
    assert view.place(now_s).copy_from is None


def test_the_nearest_keeper_is_asked() -> None:
    far, near, reader = make_engine("far", "c"), make_engine("near", "b"), make_engine("reader")
    view = View([far, near, reader])
    for engine in (far, near):
        view.locations.on_segment_used("shared", engine.name, 0.0)
        view.backlog.add_prompt(engine.name, "before", 50_000)
    placed = view.place()
    assert placed.prefill_engine is reader
    assert placed.copy_from is near


def test_a_part_that_is_read_sooner_than_copied_is_not_copied() -> None:
    tiny = GenerationRequest("m", 6050, 30, (PromptSegment("tiny", 50), PromptSegment("own", 6000)))
    keeper, other = make_engine("keeper", "c"), make_engine("other")
    view = View([keeper, other])
    view.locations.on_segment_used("tiny", "keeper", 0.0)
    placed = view.place(generation=tiny)
    assert placed.prefill_engine is other
    assert placed.copy_from is None


def test_a_part_that_waits_to_be_read_is_read_once_but_not_copied_yet() -> None:
    keeper, other = make_engine("keeper"), make_engine("other")
    view = View([keeper, other])
    view.locations.on_segment_used("shared", "keeper", 0.0, prefilled_s=0.3)
    placed = view.place()
    assert placed.prefill_engine is keeper
    assert placed.prefill_cost_tokens < 7000
    view.backlog.add_prompt("keeper", "before", 20_000)
    assert view.place(0.1).copy_from is None
    view.locations.on_segment_used("shared", "keeper", 0.3)
    assert view.place(0.31).copy_from is keeper


def test_a_later_announcement_does_not_make_a_kept_part_unread() -> None:
    locations = PrefixCacheIndex()
    locations.on_segment_used("shared", "keeper", 0.0)
    locations.on_segment_used("shared", "keeper", 1.0, prefilled_s=1.5)
    assert locations.cached_prefixes([SHARED], 1.1)["keeper"].tokens == SHARED.tokens
    locations.on_prefill_cancelled([SHARED], "keeper", 1.2)
    assert locations.cached_tokens("keeper", [SHARED], 1.2) == SHARED.tokens


def test_a_prompt_that_failed_leaves_its_parts_unread() -> None:
    locations = PrefixCacheIndex()
    locations.on_segment_used("shared", "keeper", 0.0, prefilled_s=0.4)
    locations.on_prefill_cancelled([SHARED], "keeper", 0.2)
    assert locations.cached_tokens("keeper", [SHARED], 0.2) == 0


def test_nothing_is_copied_from_an_engine_that_has_read_nothing_for_a_while() -> None:
    """The copying engine would stand still until its connection to the silent one is given up."""
    view = View([make_engine("keeper"), make_engine("other")])
    view.locations.on_segment_used("shared", "keeper", 0.0)
    view.backlog.add_prompt("keeper", "before", 20_000)
    view.locations.on_segment_used("shared", "keeper", 1.9, prefilled_s=2.5)
    assert view.place(COPY_SOURCE_MAX_IDLE_S).copy_from is not None
    assert view.place(2.0).copy_from is None
    assert view.place(2.6).copy_from is None
