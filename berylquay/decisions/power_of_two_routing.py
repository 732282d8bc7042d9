"""Power-of-two-choices routing with cache affinity: the routing policy in use.

It compares a few sampled servers, favours the one with cache affinity for the prompt's prefix, and
uses other data centres last. A choice examines no more than five servers, so that its cost does not
grow with the fleet.
"""

import random
from collections.abc import Sequence
from itertools import islice

from attrs import frozen

from berylquay.decisions.calls import Call
from berylquay.decisions.fleet import Role
from berylquay.decisions.latency_prediction import LatencyPredictor, reported_role
from berylquay.decisions.prefix_affinity import jump_consistent_hash, prefix_key
from berylquay.decisions.routing import Candidate, Candidates


@frozen
class RoutingOptions:
    """Thresholds of a routing choice."""

    # Excess cost up to which the server with cache affinity is still chosen, as a fraction of the
    # prompt's prefill time.
    affinity_tolerance: float = 0.5
    # Predicted wait in the host's own data centre from which other data centres are considered.
    remote_wait_threshold_s: float = 1.0
    # Wait that another data centre must save, after its round trip, to be worth the bytes sent.
    min_remote_gain_s: float = 0.5
    # Round-trip time to another region.
    remote_round_trip_s: float = 0.040


class PowerOfTwoRouting:
    """Chooses by predicted cost among two sampled servers and the one with cache affinity."""

    # Predicts waits and prefill times.
    _predictor: LatencyPredictor
    # Source of the samples.
    _rng: random.Random
    # Thresholds of a choice.
    _options: RoutingOptions

    def __init__(
        self, predictor: LatencyPredictor, rng: random.Random, options: RoutingOptions | None = None
    ) -> None:
        self._predictor = predictor
        self._rng = rng
        self._options = options or RoutingOptions()

    def choose(self, call: Call, candidates: Candidates, now_s: float) -> Candidate | None:
        """Returns the chosen server, or None if there is none that may be chosen."""
        decode_wait_s = self._decode_wait_s(call, candidates.decode_engines)
        local = self._choose_local(call, candidates, now_s)
        if local is None:
            return self._cheapest(self._sample(candidates.remote, candidates.excluded), call, now_s)
        local_wait_s = self._wait_s(local, call, now_s)
        if reported_role(local) is Role.PREFILL:
            local_wait_s += decode_wait_s
        if local_wait_s < self._options.remote_wait_threshold_s or not candidates.remote:
            return local
        remote = self._cheapest(self._sample(candidates.remote, candidates.excluded), call, now_s)
        if remote is None:
            return local
        remote_wait_s = self._wait_s(remote, call, now_s) + self._options.remote_round_trip_s
        return remote if remote_wait_s + self._options.min_remote_gain_s < local_wait_s else local

    def choose_decode_engine(
        self, call: Call, decode_engines: Sequence[Candidate], now_s: float
    ) -> Candidate | None:
        """Returns the one with the smaller batch of two sampled engines, or None without any."""
        sampled = self._sample(decode_engines, frozenset())
        return min(sampled, key=self._predictor.batch_size, default=None)

    def _choose_local(self, call: Call, candidates: Candidates, now_s: float) -> Candidate | None:
        best = self._cheapest(self._sample(candidates.local, candidates.excluded), call, now_s)
        if best is None or not call.is_generation:
            return best
        preferred = candidates.preferred or _preferred_by_hash(call, candidates.local)
        if preferred.server.name in candidates.excluded:
            return best
        tolerance_s = self._options.affinity_tolerance * self._predictor.prefill_s(
            preferred, call.prompt_tokens
        )
        extra_cost_s = self._cost_s(preferred, call, now_s) - self._cost_s(best, call, now_s)
        return preferred if extra_cost_s <= tolerance_s else best

    def _cheapest(self, servers: Sequence[Candidate], call: Call, now_s: float) -> Candidate | None:
        return min(servers, key=lambda each: self._cost_s(each, call, now_s), default=None)

    def _sample(
        self, servers: Sequence[Candidate], excluded: frozenset[str]
    ) -> Sequence[Candidate]:
        if not servers:
            return ()
        first = self._rng.randrange(len(servers))
        second = (first + 1 + self._rng.randrange(max(len(servers) - 1, 1))) % len(servers)
        sampled = [servers[index] for index in {first, second}]
        usable = [each for each in sampled if each.server.name not in excluded]
        if usable or not excluded:
            return usable
        allowed = (each for each in servers if each.server.name not in excluded)
        return list(islice(allowed, 1))

    def _wait_s(self, server: Candidate, call: Call, now_s: float) -> float:
        if not call.is_generation:
            return float(server.in_flight)
        wait_s = self._predictor.prefill_wait_s(server, now_s)
        if reported_role(server) is Role.PREFILL:
            return wait_s
        return wait_s + self._predictor.batch_wait_s(server, call.class_spec.expected_output_tokens)

    def _cost_s(self, server: Candidate, call: Call, now_s: float) -> float:
        """Returns the wait plus the delay by the batch, since a larger batch slows decoding."""
        wait_s = self._wait_s(server, call, now_s)
        if reported_role(server) is Role.PREFILL:
            return wait_s
        return wait_s + self._predictor.batch_delay_s(
            server, call.class_spec.expected_output_tokens
        )

    def _decode_wait_s(self, call: Call, decode_engines: Sequence[Candidate]) -> float:
        sampled = self._sample(decode_engines, frozenset())
        tokens = call.class_spec.expected_output_tokens
        waits = [self._predictor.batch_wait_s(each, tokens) for each in sampled]
        return min(waits, default=0.0)


def _preferred_by_hash(call: Call, servers: Sequence[Candidate]) -> Candidate:
    return servers[jump_consistent_hash(prefix_key(call), len(servers))]
