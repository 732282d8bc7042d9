"""Comparison of two deployments, value by value."""

from collections.abc import Mapping
from typing import Any

from attrs import frozen

from berylquay.decisions.deployment import Deployment
from berylquay.decisions.deployment_json import deployment_to_json


@frozen
class Difference:
    """One value that differs."""

    # Path of the value in the deployment, such as classes/quick-question/priority.
    path: str
    # Value in the deployment that is in force, or empty if there is none.
    in_force: str
    # Value in the deployment to compare with it, or empty if there is none.
    given: str


def diff_deployments(in_force: Deployment | None, given: Deployment | None) -> list[Difference]:
    """Returns the differences, sorted by path; None means that there is no such deployment."""
    old = _flatten(in_force)
    new = _flatten(given)
    return [
        Difference(path, old.get(path, ""), new.get(path, ""))
        for path in sorted({*old, *new})
        if old.get(path) != new.get(path)
    ]


def _flatten(deployment: Deployment | None) -> dict[str, str]:
    values: dict[str, str] = {}
    if deployment is not None:
        _add_values(values, "", deployment_to_json(deployment))
    return values


def _add_values(values: dict[str, str], prefix: str, items: Mapping[str, Any]) -> None:
    for name, value in items.items():
        path = f"{prefix}{name}"
        if not isinstance(value, list | tuple):
            values[path] = str(value)
        elif value and isinstance(value[0], dict):
            for item in value:
                _add_values(values, f"{path}/{item['name']}/", item)
        else:
            values[path] = ", ".join(str(item) for item in value)
