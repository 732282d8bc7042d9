"""Seeded runs of releases, lost hosts and continued streams. BERYLQUAY_CASES sets their number."""

import os
from typing import Final

import pytest

from tests.support.stream_model import StreamModel

RUNS: Final = int(os.environ.get("BERYLQUAY_CASES", "40"))
# Seeds of the shares.
SHARE_RUNS: Final = 12
# Longest time until a continuation is refused, one tick included.
LONGEST_WAIT_S: Final = 1.2


def make_model(seed: int) -> StreamModel:
    """Returns a run; a few last longer than versions are remembered."""
    return StreamModel(
        seed,
        length_s=130.0 if seed % 20 == 0 else 40.0,
        group_size=40 if seed % 4 == 0 else 4,
        regions=2 if seed % 3 == 0 else 1,
    )


# Guards against a stream that is continued at another version than it began with.
@pytest.mark.parametrize("seed", range(RUNS))
def test_no_stream_is_joined_from_two_versions(seed: int) -> None:
    model = make_model(seed)
    model.run()
    assert model.longest_wait_s <= LONGEST_WAIT_S


# Guards against trusting the first record of a pool, which a host has written after the loss of all
# those that had begun streams before there was a record. Each of the seeds was joined from two
# versions.
@pytest.mark.parametrize("seed", [78, 90, 110])
def test_no_stream_is_joined_after_a_loss_before_the_first_record(seed: int) -> None:
    model = StreamModel(
        seed,
        length_s=130.0 if seed % 5 == 0 else 40.0,
        group_size=40 if seed % 4 == 0 else 4,
        calm_s=0.0,
    )
    model.run()


# Guards against continuations that are refused although their version is recorded and has servers,
# also in a region other than that of the keepers, all of which are lost.
@pytest.mark.parametrize(
    ("releases", "group_size", "regions", "least"),
    [(False, 4, 1, 0.9), (True, 4, 1, 0.8), (True, 40, 1, 0.8), (True, 4, 2, 0.8)],
)
def test_most_streams_go_on(releases: bool, group_size: int, regions: int, least: float) -> None:
    served = continuable = 0
    for seed in range(SHARE_RUNS):
        model = StreamModel(
            seed,
            has_store_faults=False,
            releases=releases,
            group_size=group_size,
            regions=regions,
        )
        model.run()
        served += model.served
        continuable += model.continuable
    print(f"{served} of {continuable} continuations served")
    assert served >= least * continuable


# Guards against calls to the store while each pool has one version.
def test_a_pool_with_one_version_costs_one_record() -> None:
    model = StreamModel(3, has_store_faults=False, releases=False)
    model.run()
    assert len(model.streams) > 100
    topics = model.store.state.topics
    assert topics["keyed.pool-versions"].end_offset == 1
    assert "stream-versions" not in topics
