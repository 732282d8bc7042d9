"""Which changes the configuration asks for, and whether an engine may be taken away for one."""

from collections import Counter
from collections.abc import Collection, Mapping
from typing import Final

from attrs import frozen

from berylquay.decisions.deployment import Configuration, Deployment, PoolSpec
from berylquay.decisions.engine_orders import AdapterChange, EngineChange, EngineState, ModelChange
from berylquay.decisions.fleet import BackendServer, Role

# One engine in so many of a pool may be away for a change, and at least one.
POOL_ENGINES_PER_CHANGE: Final = 10


@frozen
class PoolEngines:
    """The engines of one pool in one data centre, as the controller knows them."""

    # Number of engines in the membership list.
    total: int
    # Role of each engine that serves now.
    serving: Mapping[str, Role]
    # Engines that are drained or changed now.
    changing: Collection[str]


def find_pool(configuration: Configuration, name: str) -> tuple[Deployment, PoolSpec] | None:
    """Returns the deployment and the pool of that name, or None."""
    for deployment in configuration.deployments:
        for pool in deployment.pools:
            if pool.name == name:
                return deployment, pool
    return None


def derive_change(
    server: BackendServer,
    state: EngineState,
    configuration: Configuration,
    engines_by_model: Counter[str],
) -> EngineChange | None:
    """Returns the model, version or adapter change that the configuration asks for, or None.

    Args:
        server: the engine.
        state: what the engine says of itself.
        configuration: what operators have declared.
        engines_by_model: number of the pool's engines by model.
    """
    found = find_pool(configuration, server.pool)
    if found is None or not found[1].models:
        return None
    deployment, pool = found
    name = state.model.partition("@")[0]
    if name not in pool.models:
        name = min(pool.models, key=lambda model: engines_by_model[model])
    spec = deployment.model_named(name)
    if spec is None:
        return None
    if state.model != f"{spec.name}@{spec.version}":
        return ModelChange(server.name, spec.name, spec.version, spec.adapters)
    if not state.adapters.issuperset(spec.adapters):
        return AdapterChange(server.name, spec.adapters)
    return None


def can_take_out_of_service(backend: str, engines: PoolEngines, min_per_role: int) -> bool:
    """Tells whether the pool can do without the engine for the time of a change."""
    if len(engines.changing) >= max(1, engines.total // POOL_ENGINES_PER_CHANGE):
        return False
    role = engines.serving.get(backend)
    if role is None:
        return False
    remaining_roles = [other for name, other in engines.serving.items() if name != backend]
    return _count_serving(remaining_roles, role) >= min(min_per_role, max(engines.total - 1, 0))


def _count_serving(roles: list[Role], role: Role) -> int:
    if role is Role.MIXED:
        return len(roles)
    return sum(1 for other in roles if other in (role, Role.MIXED))
