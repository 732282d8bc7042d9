"""Validation of deployments from operators, beyond the types of their fields."""

from collections.abc import Iterable

from berylquay.decisions.deployment import Deployment, ModelSpec, WorkKind
from berylquay.decisions.weight_lookups import WeightsInfo


def deployment_errors(deployment: Deployment) -> list[str]:
    """Returns a message to the operator for each error in the deployment."""
    errors = [] if deployment.name else ["the deployment has no name"]
    for kind, names in _names_by_kind(deployment):
        errors += _name_errors(kind, list(names))
    if not 0.0 <= deployment.role_change_weight <= 1.0:
        errors.append(f"role_change_weight is {deployment.role_change_weight}, allowed 0 to 1")
    return errors + _pool_errors(deployment) + _class_errors(deployment)


def weights_errors(model: ModelSpec, info: WeightsInfo) -> list[str]:
    """Returns an error for each part of a model that is missing from the weight store.

    Returns no errors if the store could not be queried.
    """
    if info.exists is None:
        return []
    if not info.exists:
        return [f"the weight store has no version {model.version} of model {model.name}"]
    missing = [name for name in model.adapters if name not in info.adapters]
    version = f"{model.name}@{model.version}"
    return [f"the weight store has no adapter {name} of {version}" for name in missing]


def _names_by_kind(deployment: Deployment) -> list[tuple[str, Iterable[str]]]:
    return [
        ("model", (item.name for item in deployment.models)),
        ("pool", (item.name for item in deployment.pools)),
        ("class", (item.name for item in deployment.classes)),
        ("tenant", (item.name for item in deployment.tenants)),
    ]


def _name_errors(kind: str, names: list[str]) -> list[str]:
    errors = [f"a {kind} has no name"] if "" in names else []
    duplicates = sorted({name for name in names if names.count(name) > 1})
    return errors + [f"{kind} {name} is declared twice" for name in duplicates]


def _pool_errors(deployment: Deployment) -> list[str]:
    return [
        f"pool {pool.name} names the model {model}, which is not declared"
        for pool in deployment.pools
        for model in pool.models
        if deployment.find_model(model) is None
    ]


def _class_errors(deployment: Deployment) -> list[str]:
    pools = {pool.name: pool for pool in deployment.pools}
    errors: list[str] = []
    for spec in deployment.classes:
        pool = pools.get(spec.pool)
        if pool is None:
            errors.append(f"class {spec.name} names the pool {spec.pool}, which is not declared")
        elif spec.kind is WorkKind.GENERATION and not pool.models:
            errors.append(f"class {spec.name} generates, but pool {pool.name} has no models")
        if spec.deadline_s <= 0:
            errors.append(f"class {spec.name} has the deadline {spec.deadline_s} s")
    return errors
