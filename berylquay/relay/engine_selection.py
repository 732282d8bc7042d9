"""Selects the engines of one generation call: those that it may use, and the best placement."""

from attrs import frozen

from berylquay.decisions.backend_registry import BackendEntry
from berylquay.decisions.engine_placement import Placement
from berylquay.decisions.fleet import Role
from berylquay.decisions.relay_call import GenerationRequest, RelayCall
from berylquay.relay.services import RelayServices


@frozen
class EngineSelection:
    """Applies the shared policies to one call; keeps no state of its own."""

    _services: RelayServices
    _call: RelayCall

    def can_decode(self, now_s: float) -> bool:
        """Tells whether any engine that decodes is left for the call."""
        return bool(_decode_engines(self._usable_engines(self._healthy_engines(now_s))))

    def choose_placement(
        self, generation: GenerationRequest, *, may_disaggregate: bool, now_s: float
    ) -> Placement | None:
        """Returns the best placement; uses other regions if this one's engines are crowded.

        Args:
            generation: Request of the call.
            may_disaggregate: Whether a prefill engine may prefill the prompt.
            now_s: Present time.
        """
        self._services.receive_reports(now_s)
        route, policy = self._call.route, self._services.placement
        objective_left_s = self._call.received_s + route.objective_s - now_s
        healthy_engines = self._healthy_engines(now_s)

        def place(engines: list[BackendEntry]) -> Placement | None:
            if not may_disaggregate:
                engines = _decode_engines(engines)
            return policy.place(
                generation,
                engines,
                route.objective_s,
                objective_left_s,
                now_s,
                copy_sources=healthy_engines,
            )

        engines = self._usable_engines(healthy_engines)
        placement = place(engines)
        if placement is None or policy.is_crowded(placement, objective_left_s, now_s):
            candidates = self._remote_candidates(engines, healthy_engines, now_s)
            if candidates:
                return place(engines + candidates)
        return placement

    def choose_decode_engine(
        self,
        generation: GenerationRequest,
        prefill_engine: BackendEntry,
        planned: BackendEntry | None,
        now_s: float,
    ) -> BackendEntry | None:
        """Returns the engine to decode after a disaggregated prefill, or None if none is left.

        Args:
            generation: Request of the call.
            prefill_engine: Engine that retains the KV cache.
            planned: Decode engine of the placement; it may be in another region.
            now_s: Present time.
        """
        healthy_engines = self._healthy_engines(now_s)
        engines = _decode_engines(self._usable_engines(healthy_engines))
        if planned is not None and all(engine.name != planned.name for engine in engines):
            still_usable = _decode_engines(self._exclude_tried(healthy_engines))
            engines += [engine for engine in still_usable if engine.name == planned.name]
        return self._services.placement.decode_engine_for(
            prefill_engine, generation, engines, now_s
        )

    def _remote_candidates(
        self, engines: list[BackendEntry], healthy_engines: list[BackendEntry], now_s: float
    ) -> list[BackendEntry]:
        """Returns engines of other regions that the call may be sent to besides `engines`."""
        services = self._services
        used = {engine.name for engine in engines}
        others = [engine for engine in healthy_engines if engine.name not in used]
        return services.load_sharing_scope.remote_candidates(
            self._exclude_tried(others), services.backlog, services.rng, now_s
        )

    def _usable_engines(self, healthy_engines: list[BackendEntry]) -> list[BackendEntry]:
        """Returns the engines that the call may be sent to, nearby ones in a large fleet."""
        services = self._services
        return self._exclude_tried(
            services.load_sharing_scope.usable_engines(healthy_engines, services.live_host_count)
        )

    def _healthy_engines(self, now_s: float) -> list[BackendEntry]:
        """Returns the engines that respond, of them only decode engines that fit the stream."""
        services, call = self._services, self._call
        engines = [
            engine
            for engine in services.registry.without_leaving_before(
                services.registry.ready_in_pool(call.pool.name),
                now_s + services.demand.call_s(call.pool.name),
            )
            if not services.health.is_backing_off(engine.name, now_s)
            and (engine.role is Role.PREFILL or self._may_go_on_at(engine))
        ]
        recorded = [
            engine
            for engine in engines
            if engine.role is Role.PREFILL or services.may_begin_at(call, engine.software_version)
        ]
        return recorded if _decode_engines(recorded) else engines

    def _may_go_on_at(self, engine: BackendEntry) -> bool:
        """Tells whether an engine's events fit those that the caller has, if it has any."""
        call = self._call
        if call.stream_version is None:
            return True
        # The version of a start is known with its entry only.
        has_newer_start = self._services.server_starts.has_newer(
            engine.name, engine.started_unix_ms
        )
        return (
            call.may_use_version(engine.software_version)
            and engine.name not in call.unproven_engines
            and not has_newer_start
        )

    def _exclude_tried(self, engines: list[BackendEntry]) -> list[BackendEntry]:
        """Leaves out engines that have run the call, or all others if no attempt is left."""
        call = self._call
        attempts_left = call.route.max_attempts - len(set(call.sent_to))
        return [
            engine
            for engine in engines
            if engine.role is Role.PREFILL
            or (engine.name not in call.sent_to if attempts_left else engine.name in call.sent_to)
        ]


def _decode_engines(engines: list[BackendEntry]) -> list[BackendEntry]:
    return [engine for engine in engines if engine.role is not Role.PREFILL]
