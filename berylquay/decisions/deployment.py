"""A deployment: what operators declare, as plain data that every decision reads."""

from enum import Enum

from attrs import field, frozen

from berylquay.decisions.fleet import Role


class WorkKind(Enum):
    """What a request class asks for."""

    GENERATION = "generation"
    SERVICE_CALL = "service-call"


@frozen
class ModelSpec:
    """A model to serve."""

    # Name that callers use.
    name: str
    # Version that should run.
    version: str
    # Adapters that should be loaded.
    adapters: tuple[str, ...] = ()


@frozen
class PoolSpec:
    """A pool of backend servers that run the same models or the same service."""

    # Name under which the membership list has the servers.
    name: str
    # Models that the pool's engines run; empty for a service.
    models: tuple[str, ...] = ()
    # Fewest engines to keep in each role per data centre.
    min_per_role: int = 0
    # Roles that engines may take.
    roles: tuple[Role, ...] = (Role.MIXED,)


@frozen
class ClassSpec:
    """A class of requests with common limits."""

    # Name that callers put into the class header.
    name: str
    # Generation by a model or a call to a plain service.
    kind: WorkKind
    # Pool that runs the class.
    pool: str
    # Priority; a lower number goes first.
    priority: int = 10
    # Time within which the whole answer is worth something.
    deadline_s: float = 60.0
    # Whether a request of the class may run more than once.
    repeatable: bool = True
    # Most tokens that one answer may have.
    max_output_tokens: int = 1024
    # Output length that the predictions start from.
    expected_output_tokens: int = 128


@frozen
class TenantSpec:
    """A customer of the deployment and its share."""

    # Name that callers put into the tenant header.
    name: str
    # Share of the deployment's capacity that is the tenant's when all ask; shares are relative.
    share: float = 1.0


@frozen
class Deployment:
    """A serving deployment as operators declare it."""

    # Unique name.
    name: str
    # Models by declaration order.
    models: tuple[ModelSpec, ...] = field(default=())
    # Pools by declaration order.
    pools: tuple[PoolSpec, ...] = field(default=())
    # Request classes by declaration order.
    classes: tuple[ClassSpec, ...] = field(default=())
    # Tenants by declaration order.
    tenants: tuple[TenantSpec, ...] = field(default=())
    # Weight of role changes against goodput: 0 looks at goodput only, 1 avoids every change.
    role_change_weight: float = 0.5
    # Most role changes in an hour in one data centre.
    role_changes_per_hour: int = 12

    def class_named(self, name: str) -> ClassSpec | None:
        """Returns the request class of that name, or None."""
        return next((spec for spec in self.classes if spec.name == name), None)

    def tenant_named(self, name: str) -> TenantSpec | None:
        """Returns the tenant of that name, or None."""
        return next((spec for spec in self.tenants if spec.name == name), None)

    def model_named(self, name: str) -> ModelSpec | None:
        """Returns the model of that name, or None."""
        return next((spec for spec in self.models if spec.name == name), None)


@frozen
class Configuration:
    """Everything that operators have declared, at one revision."""

    # Log offset of the newest accepted change; only rises.
    revision: int = 0
    # Deployments by name.
    deployments: tuple[Deployment, ...] = ()
    # Names of backend servers and hosts that operators are draining.
    draining: frozenset[str] = frozenset()

    def find_class(self, name: str) -> tuple[Deployment, ClassSpec] | None:
        """Returns the deployment and the request class of that name, or None."""
        for deployment in self.deployments:
            spec = deployment.class_named(name)
            if spec is not None:
                return deployment, spec
        return None
