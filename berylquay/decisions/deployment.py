"""Data classes of a deployment as operators declare it."""

from enum import Enum

from attrs import field, frozen

from berylquay.decisions.fleet import Role


class WorkKind(Enum):
    """Kind of work that a request class runs."""

    GENERATION = "generation"
    SERVICE_CALL = "service-call"


@frozen
class ModelSpec:
    """A model to serve."""

    # Name that callers send in requests.
    name: str
    # Version that should run.
    version: str
    # Adapters that should be loaded.
    adapters: tuple[str, ...] = ()


@frozen
class PoolSpec:
    """A pool of backend servers that run the same models or the same service."""

    # Name of the pool in the membership list.
    name: str
    # Models that the pool's engines serve; empty for a service.
    models: tuple[str, ...] = ()
    # Minimum number of engines to keep in each role per data centre.
    min_per_role: int = 0
    # Roles that the pool's engines may have.
    roles: tuple[Role, ...] = (Role.MIXED,)


@frozen
class ClassSpec:
    """A class of requests with common limits."""

    # Name that callers send in the class header.
    name: str
    # Generation by a model or a call to a service without a model.
    kind: WorkKind
    # Pool that serves the class.
    pool: str
    # Priority; lower numbers are served first.
    priority: int = 10
    # Time within which the complete answer must arrive to be useful to the caller.
    deadline_s: float = 60.0
    # Whether a request of the class may be executed more than once.
    repeatable: bool = True
    # Maximum number of tokens in one answer.
    max_output_tokens: int = 1024
    # Output length that latency predictions assume.
    expected_output_tokens: int = 128


@frozen
class TenantSpec:
    """A customer of the deployment and its share."""

    # Name that callers send in the tenant header.
    name: str
    # Share of the deployment's capacity under contention, relative to the other tenants' shares.
    share: float = 1.0


@frozen
class Deployment:
    """A serving deployment."""

    # Unique name.
    name: str
    # Models in declaration order.
    models: tuple[ModelSpec, ...] = field(default=())
    # Pools in declaration order.
    pools: tuple[PoolSpec, ...] = field(default=())
    # Request classes in declaration order.
    classes: tuple[ClassSpec, ...] = field(default=())
    # Tenants in declaration order.
    tenants: tuple[TenantSpec, ...] = field(default=())
    # Cost of role changes relative to goodput: 0 considers goodput only, 1 avoids every change.
    role_change_weight: float = 0.5
    # Maximum number of role changes per hour in one data centre.
    role_changes_per_hour: int = 12

    def find_class(self, name: str) -> ClassSpec | None:
        """Returns the request class of that name, or None."""
        return next((spec for spec in self.classes if spec.name == name), None)

    def find_tenant(self, name: str) -> TenantSpec | None:
        """Returns the tenant of that name, or None."""
        return next((spec for spec in self.tenants if spec.name == name), None)

    def find_model(self, name: str) -> ModelSpec | None:
        """Returns the model of that name, or None."""
        return next((spec for spec in self.models if spec.name == name), None)


@frozen
class Configuration:
    """Everything that operators have declared, at one revision."""

    # Log offset of the newest accepted change; never decreases.
    revision: int = 0
    # Deployments, sorted by name.
    deployments: tuple[Deployment, ...] = ()
    # Names of backend servers and hosts that operators are draining.
    draining: frozenset[str] = frozenset()

    def find_class(self, name: str) -> tuple[Deployment, ClassSpec] | None:
        """Returns the deployment and the request class of that name, or None."""
        for deployment in self.deployments:
            spec = deployment.find_class(name)
            if spec is not None:
                return deployment, spec
        return None
