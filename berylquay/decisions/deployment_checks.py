"""Checks of a deployment that came from an operator, beyond the types of its fields."""

from collections.abc import Iterable

from berylquay.decisions.deployment import Deployment, ModelSpec, WorkKind
from berylquay.decisions.weight_lookups import WeightsFacts


def deployment_faults(deployment: Deployment) -> list[str]:
    """Returns everything that is wrong with the deployment, for a person."""
    faults = [] if deployment.name else ["the deployment has no name"]
    for family, names in _named(deployment):
        faults += _name_faults(family, list(names))
    if not 0.0 <= deployment.role_change_weight <= 1.0:
        faults.append(f"role_change_weight is {deployment.role_change_weight}, allowed 0 to 1")
    return faults + _pool_faults(deployment) + _class_faults(deployment)


def weights_faults(model: ModelSpec, facts: WeightsFacts) -> list[str]:
    """Returns what the weight store lacks of a model; nothing if it could not be asked."""
    if facts.exists is None:
        return []
    if not facts.exists:
        return [f"the weight store has no version {model.version} of model {model.name}"]
    missing = [name for name in model.adapters if name not in facts.adapters]
    version = f"{model.name}@{model.version}"
    return [f"the weight store has no adapter {name} of {version}" for name in missing]


def _named(deployment: Deployment) -> list[tuple[str, Iterable[str]]]:
    return [
        ("model", (item.name for item in deployment.models)),
        ("pool", (item.name for item in deployment.pools)),
        ("class", (item.name for item in deployment.classes)),
        ("tenant", (item.name for item in deployment.tenants)),
    ]


def _name_faults(family: str, names: list[str]) -> list[str]:
    faults = [f"a {family} has no name"] if "" in names else []
    twice = sorted({name for name in names if names.count(name) > 1})
    return faults + [f"{family} {name} is declared twice" for name in twice]


def _pool_faults(deployment: Deployment) -> list[str]:
    return [
        f"pool {pool.name} names the model {model}, which is not declared"
        for pool in deployment.pools
        for model in pool.models
        if deployment.model_named(model) is None
    ]


def _class_faults(deployment: Deployment) -> list[str]:
    pools = {pool.name: pool for pool in deployment.pools}
    faults: list[str] = []
    for spec in deployment.classes:
        pool = pools.get(spec.pool)
        if pool is None:
            faults.append(f"class {spec.name} names the pool {spec.pool}, which is not declared")
        elif spec.kind is WorkKind.GENERATION and not pool.models:
            faults.append(f"class {spec.name} generates, but pool {pool.name} has no models")
        if spec.deadline_s <= 0:
            faults.append(f"class {spec.name} has the deadline {spec.deadline_s} s")
    return faults
