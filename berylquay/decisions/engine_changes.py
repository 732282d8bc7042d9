"""Changes that the configuration requires, and whether an engine may leave service for one."""

from collections import Counter
from collections.abc import Collection, Mapping
from typing import Final

from attrs import frozen

from berylquay.decisions.deployment import Configuration, Deployment, PoolSpec
from berylquay.decisions.engine_orders import AdapterChange, EngineChange, EngineState, ModelChange
from berylquay.decisions.fleet import BackendServer, Role

# A pool may have one engine out of service for a change per this many engines, and at least one.
POOL_ENGINES_PER_CHANGE: Final = 10


@frozen
class PoolEngines:
    """The engines of one pool in one data centre, as the controller knows them."""

    # Number of engines in the membership list.
    total: int
    # Role of each engine that serves requests, by name.
    serving: Mapping[str, Role]
    # Names of the engines that are being drained or changed.
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
    """Returns the model, version or adapter change that the configuration requires, or None.

    An engine whose model is not among the pool's models gets the one that fewest engines run.

    Args:
        server: the engine.
        state: the state that the engine reports.
        configuration: the configuration that operators have declared.
        engines_by_model: number of the pool's engines by model.
    """
    deployment_and_pool = find_pool(configuration, server.pool)
    if deployment_and_pool is None or not deployment_and_pool[1].models:
        return None
    deployment, pool = deployment_and_pool
    name = state.model.partition("@")[0]
    if name not in pool.models:
        name = min(pool.models, key=lambda model: engines_by_model[model])
    spec = deployment.find_model(name)
    if spec is None:
        return None
    if state.model != f"{spec.name}@{spec.version}":
        return ModelChange(server.name, spec.name, spec.version, spec.adapters)
    if not state.adapters.issuperset(spec.adapters):
        return AdapterChange(server.name, spec.adapters)
    return None


def can_take_out_of_service(backend: str, engines: PoolEngines, min_per_role: int) -> bool:
    """Returns whether the pool has enough other engines while this one is changed.

    The engine must serve, and the pool must not have its maximum number of changes in progress. At
    least `min_per_role` other engines must serve its role, or all others in a smaller pool.
    """
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
