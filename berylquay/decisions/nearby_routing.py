"""The routing policy in use: a few sampled servers, the prefix's home first, other regions last.

A choice looks at no more than five servers, so that its cost does not grow with the fleet.
"""

import random
from collections.abc import Sequence
from itertools import islice

from attrs import frozen

from berylquay.decisions.calls import Call
from berylquay.decisions.fleet import Role
from berylquay.decisions.predictions import Predictor, role_of
from berylquay.decisions.prefixes import home_of, prefix_key
from berylquay.decisions.routing import Candidate, Candidates


@frozen
class RoutingLimits:
    """What a choice may cost."""

    # Part of the prompt's prefill time that the prefix's home may be behind and still be chosen.
    affinity: float = 0.5
    # Wait in the own data centre from which on other data centres are looked at.
    far_wait_s: float = 1.0
    # Wait that another data centre must save, its round trip counted, to be worth the bytes.
    far_gain_s: float = 0.5
    # Round trip to another region.
    far_round_trip_s: float = 0.040


class NearbyChoice:
    """Chooses among the prefix's home and two sampled servers by the predicted first token."""

    # Predicts waits.
    _predictor: Predictor
    # Draws the samples.
    _rng: random.Random
    # What a choice may cost.
    _limits: RoutingLimits

    def __init__(
        self, predictor: Predictor, rng: random.Random, limits: RoutingLimits | None = None
    ) -> None:
        self._predictor = predictor
        self._rng = rng
        self._limits = limits or RoutingLimits()

    def choose(self, call: Call, candidates: Candidates, now_s: float) -> Candidate | None:
        """Returns the chosen server, or None without any that may be chosen."""
        decode_wait_s = self._decode_wait_s(call, candidates.decoders)
        near = self._near(call, candidates, now_s)
        if near is None:
            return self._best(self._sample(candidates.remote, candidates.avoided), call, now_s)
        near_wait_s = self._wait_s(near, call, now_s)
        if role_of(near) is Role.PREFILL:
            near_wait_s += decode_wait_s
        if near_wait_s < self._limits.far_wait_s or not candidates.remote:
            return near
        far = self._best(self._sample(candidates.remote, candidates.avoided), call, now_s)
        if far is None:
            return near
        far_wait_s = self._wait_s(far, call, now_s) + self._limits.far_round_trip_s
        return far if far_wait_s + self._limits.far_gain_s < near_wait_s else near

    def choose_decoder(
        self, call: Call, decoders: Sequence[Candidate], now_s: float
    ) -> Candidate | None:
        """Returns the engine with the smaller batch of two sampled ones, or None without any."""
        sampled = self._sample(decoders, frozenset())
        return min(sampled, key=self._predictor.batch_size, default=None)

    def _near(self, call: Call, candidates: Candidates, now_s: float) -> Candidate | None:
        best = self._best(self._sample(candidates.local, candidates.avoided), call, now_s)
        if best is None or not call.is_generation:
            return best
        home = candidates.home or _home_by_order(call, candidates.local)
        if home.server.name in candidates.avoided:
            return best
        allowance_s = self._limits.affinity * self._predictor.prefill_s(home, call.prompt_tokens)
        behind_s = self._cost_s(home, call, now_s) - self._cost_s(best, call, now_s)
        return home if behind_s <= allowance_s else best

    def _best(self, servers: Sequence[Candidate], call: Call, now_s: float) -> Candidate | None:
        return min(servers, key=lambda each: self._cost_s(each, call, now_s), default=None)

    def _sample(self, servers: Sequence[Candidate], avoided: frozenset[str]) -> Sequence[Candidate]:
        if not servers:
            return ()
        first = self._rng.randrange(len(servers))
        second = (first + 1 + self._rng.randrange(max(len(servers) - 1, 1))) % len(servers)
        sampled = [servers[index] for index in {first, second}]
        usable = [each for each in sampled if each.server.name not in avoided]
        if usable or not avoided:
            return usable
        allowed = (each for each in servers if each.server.name not in avoided)
        return list(islice(allowed, 1))

    def _wait_s(self, server: Candidate, call: Call, now_s: float) -> float:
        if not call.is_generation:
            return float(server.in_flight)
        wait_s = self._predictor.prefill_wait_s(server, now_s)
        if role_of(server) is Role.PREFILL:
            return wait_s
        return wait_s + self._predictor.batch_wait_s(server, call.spec.expected_output_tokens)

    def _cost_s(self, server: Candidate, call: Call, now_s: float) -> float:
        """Returns the wait and, as a larger batch slows its tokens down, the delay by the batch."""
        wait_s = self._wait_s(server, call, now_s)
        if role_of(server) is Role.PREFILL:
            return wait_s
        return wait_s + self._predictor.slowdown_s(server, call.spec.expected_output_tokens)

    def _decode_wait_s(self, call: Call, decoders: Sequence[Candidate]) -> float:
        sampled = self._sample(decoders, frozenset())
        tokens = call.spec.expected_output_tokens
        waits = [self._predictor.batch_wait_s(each, tokens) for each in sampled]
        return min(waits, default=0.0)


def _home_by_order(call: Call, servers: Sequence[Candidate]) -> Candidate:
    return servers[home_of(prefix_key(call), len(servers))]
