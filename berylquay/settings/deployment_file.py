"""Deployment files: parses INI text, kept in operators' version control, into a `Deployment`."""

from configparser import ConfigParser, Error

from returns.result import Failure, Result, Success

from berylquay.decisions.deployment import (
    ClassSpec,
    Deployment,
    ModelSpec,
    PoolSpec,
    TenantSpec,
    WorkKind,
)
from berylquay.decisions.fleet import Role
from berylquay.errors import SettingsError
from berylquay.settings.ini_reader import IniReader


def read_deployment_file(path: str) -> Result[Deployment, tuple[SettingsError, ...]]:
    """Returns the deployment in the file, or all errors in it."""
    try:
        with open(path, encoding="utf-8") as file:  # noqa: PTH123
            return parse_deployment(file.read(), path)
    except (OSError, UnicodeDecodeError) as error:
        return Failure((SettingsError(path, "", "", str(error), "a readable INI file"),))


def parse_deployment(text: str, path: str) -> Result[Deployment, tuple[SettingsError, ...]]:
    """Returns the deployment in the text, or all errors in it; `path` is named in the errors."""
    parser = ConfigParser(interpolation=None)
    try:
        parser.read_string(text)
    except Error as error:
        return Failure((SettingsError(path, "", "", str(error), "an INI file"),))
    reader = IniReader(path, parser)
    deployment = _read_deployment(reader)
    reader.check_for_unknown_keys()
    _check_references(reader, deployment)
    if reader.errors:
        return Failure(tuple(reader.errors))
    return Success(deployment)


def _read_deployment(reader: IniReader) -> Deployment:
    section = "deployment"
    return Deployment(
        name=reader.text(section, "name"),
        models=tuple(_read_model(reader, name) for name in reader.sections("model")),
        pools=tuple(_read_pool(reader, name) for name in reader.sections("pool")),
        classes=tuple(_read_class(reader, name) for name in reader.sections("class")),
        tenants=tuple(_read_tenant(reader, name) for name in reader.sections("tenant")),
        role_change_weight=reader.number(section, "role_change_weight", 0.5),
        role_changes_per_hour=reader.count(section, "role_changes_per_hour", 12),
    )


def _name_from_section(section: str) -> str:
    return section.split(" ", 1)[1].strip()


def _read_model(reader: IniReader, section: str) -> ModelSpec:
    return ModelSpec(
        name=_name_from_section(section),
        version=reader.text(section, "version"),
        adapters=reader.text_list(section, "adapters", ()),
    )


def _read_pool(reader: IniReader, section: str) -> PoolSpec:
    allowed = tuple(role.value for role in Role)
    roles = reader.text_list(section, "roles", (Role.MIXED.value,))
    for role in roles:
        if role not in allowed:
            error = SettingsError(reader.file, section, "roles", role, ", ".join(allowed))
            reader.errors.append(error)
    return PoolSpec(
        name=_name_from_section(section),
        models=reader.text_list(section, "models", ()),
        min_per_role=reader.count(section, "min_per_role", 0),
        roles=tuple(Role(role) for role in roles if role in allowed),
    )


def _read_class(reader: IniReader, section: str) -> ClassSpec:
    defaults = ClassSpec("", WorkKind.GENERATION, "")
    kinds = tuple(kind.value for kind in WorkKind)
    return ClassSpec(
        name=_name_from_section(section),
        kind=WorkKind(reader.choice(section, "kind", kinds, WorkKind.GENERATION.value)),
        pool=reader.text(section, "pool"),
        priority=reader.count(section, "priority", defaults.priority),
        deadline_s=reader.number(section, "deadline_s", defaults.deadline_s),
        repeatable=reader.flag(section, "repeatable", defaults.repeatable),
        max_output_tokens=reader.count(section, "max_output_tokens", defaults.max_output_tokens),
        expected_output_tokens=reader.count(
            section, "expected_output_tokens", defaults.expected_output_tokens
        ),
    )


def _read_tenant(reader: IniReader, section: str) -> TenantSpec:
    return TenantSpec(name=_name_from_section(section), share=reader.number(section, "share", 1.0))


def _check_references(reader: IniReader, deployment: Deployment) -> None:
    pools = tuple(pool.name for pool in deployment.pools)
    models = tuple(model.name for model in deployment.models)
    for spec in deployment.classes:
        if spec.pool and spec.pool not in pools:
            _add_reference_error(reader, f"class {spec.name}", "pool", spec.pool, pools)
    for pool in deployment.pools:
        for model in pool.models:
            if model not in models:
                _add_reference_error(reader, f"pool {pool.name}", "models", model, models)


def _add_reference_error(
    reader: IniReader, section: str, key: str, found: str, allowed: tuple[str, ...]
) -> None:
    allowed_values = "one of " + ", ".join(allowed)
    reader.errors.append(SettingsError(reader.file, section, key, found, allowed_values))
