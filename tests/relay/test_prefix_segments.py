"""Shared prefix segments: placement at engines that cache them, and copies between engines."""

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
LONG_PROMPT = GenerationRequest("m", 11000, 30, (SHARED, PromptSegment("own", 6000)))
ENGINES = EngineProperties(64, 500_000, 163_840, 1_400_000.0, 5.0, 3.0)
OBJECTIVE_S = 0.8


def make_engine(name: str, data_centre: str = "a", role: Role = Role.PREFILL) -> BackendEntry:
    address = Address("10.0.0.1", 80)
    return BackendEntry(name, "lm", address, data_centre, 64, EntryState.READY, role=role)


DECODE_ENGINE = make_engine("decode", role=Role.DECODE)


class HostView:
    """One host's cached view of the engines, and its placement policy."""

    def __init__(self, prefill_engines: list[BackendEntry]) -> None:
        self.engines = [DECODE_ENGINE, *prefill_engines]
        self.backlog = EngineBacklog()
        self.prefix_cache_index = PrefixCacheIndex()
        topology = Topology(Location("a", REGIONS["a"]), REGIONS)
        health = BackendHealth(HealthOptions())
        self._placement = PredictivePlacementPolicy(
            PlacementOptions(),
            topology,
            self.backlog,
            self.prefix_cache_index,
            EngineEstimates(),
            health,
        )
        self._placement.on_pool(ENGINES, OBJECTIVE_S)
        self._placement.on_prefill_engines(prefill_engines)

    def place(self, now_s: float = 0.0, generation: GenerationRequest = LONG_PROMPT) -> Placement:
        """Places a prompt that has the whole objective left."""
        placement = self._placement.place(generation, self.engines, OBJECTIVE_S, OBJECTIVE_S, now_s)
        assert placement is not None
        return placement


def test_shared_segments_are_copied_from_a_busy_engine() -> None:
    caching_engine, other = make_engine("cached"), make_engine("other")
    view = HostView([caching_engine, other])
    view.prefix_cache_index.on_segment_used("shared", "cached", 0.0)
    view.backlog.add_prompt("cached", "before", 20_000)
    placement = view.place()
    assert placement.prefill_engine is other
    assert placement.copy_from is caching_engine
    assert placement.prefill_cost_tokens < 7000


def test_segments_cached_by_the_prefill_engine_itself_are_not_copied() -> None:
    view = HostView([make_engine("cached"), make_engine("other")])
    view.prefix_cache_index.on_segment_used("shared", "cached", 0.0)
    view.prefix_cache_index.on_segment_used("shared", "other", 0.0)
    assert view.place().copy_from is None


@pytest.mark.parametrize("now_s", [ENTRY_TTL_S + 0.1, 100.0])
def test_segments_that_may_be_evicted_are_not_copied(now_s: float) -> None:
    view = HostView([make_engine("cached"), make_engine("other")])
    view.prefix_cache_index.on_segment_used("shared", "cached", 0.0)
    view.backlog.add_prompt("cached", "before", 20_000)
    assert view.place(now_s).copy_from is None


def test_segments_are_copied_from_the_nearest_engine_that_caches_them() -> None:
    remote, nearest, local = (
        make_engine("remote", "c"),
        make_engine("nearest", "b"),
        make_engine("local"),
    )
    view = HostView([remote, nearest, local])
    for engine in (remote, nearest):
        view.prefix_cache_index.on_segment_used("shared", engine.name, 0.0)
        view.backlog.add_prompt(engine.name, "before", 50_000)
    placement = view.place()
    assert placement.prefill_engine is local
    assert placement.copy_from is nearest


def test_a_segment_that_is_faster_to_prefill_than_to_copy_is_not_copied() -> None:
    tiny = GenerationRequest("m", 6050, 30, (PromptSegment("tiny", 50), PromptSegment("own", 6000)))
    caching_engine, other = make_engine("cached", "c"), make_engine("other")
    view = HostView([caching_engine, other])
    view.prefix_cache_index.on_segment_used("tiny", "cached", 0.0)
    placement = view.place(generation=tiny)
    assert placement.prefill_engine is other
    assert placement.copy_from is None


def test_a_segment_awaiting_prefill_attracts_prompts_but_is_not_copied_yet() -> None:
    caching_engine, other = make_engine("cached"), make_engine("other")
    view = HostView([caching_engine, other])
    view.prefix_cache_index.on_segment_used("shared", "cached", 0.0, prefilled_s=0.3)
    placement = view.place()
    assert placement.prefill_engine is caching_engine
    assert placement.prefill_cost_tokens < 7000
    view.backlog.add_prompt("cached", "before", 20_000)
    assert view.place(0.1).copy_from is None
    view.prefix_cache_index.on_segment_used("shared", "cached", 0.3)
    assert view.place(0.31).copy_from is caching_engine


def test_a_later_pending_prefill_does_not_invalidate_a_cached_segment() -> None:
    prefix_cache_index = PrefixCacheIndex()
    prefix_cache_index.on_segment_used("shared", "cached", 0.0)
    prefix_cache_index.on_segment_used("shared", "cached", 1.0, prefilled_s=1.5)
    assert prefix_cache_index.cached_prefixes([SHARED], 1.1)["cached"].tokens == SHARED.tokens
    prefix_cache_index.on_prefill_cancelled([SHARED], "cached", 1.2)
    assert prefix_cache_index.cached_tokens("cached", [SHARED], 1.2) == SHARED.tokens


def test_a_failed_prompt_leaves_its_segments_uncached() -> None:
    prefix_cache_index = PrefixCacheIndex()
    prefix_cache_index.on_segment_used("shared", "cached", 0.0, prefilled_s=0.4)
    prefix_cache_index.on_prefill_cancelled([SHARED], "cached", 0.2)
    assert prefix_cache_index.cached_tokens("cached", [SHARED], 0.2) == 0


def test_nothing_is_copied_from_an_engine_idle_for_too_long() -> None:
    """Guards against an engine that blocks on a copy from an unresponsive engine.

    It would make no progress until its connection to that engine timed out.
    """
    view = HostView([make_engine("cached"), make_engine("other")])
    view.prefix_cache_index.on_segment_used("shared", "cached", 0.0)
    view.backlog.add_prompt("cached", "before", 20_000)
    view.prefix_cache_index.on_segment_used("shared", "cached", 1.9, prefilled_s=2.5)
    assert view.place(COPY_SOURCE_MAX_IDLE_S).copy_from is not None
    assert view.place(2.0).copy_from is None
    assert view.place(2.6).copy_from is None
