"""Admission by the configuration in force: one policy a deployment, renewed as it changes."""

from berylquay.decisions.calls import Call
from berylquay.decisions.deployment import Configuration, Deployment
from berylquay.decisions.fleet import BackendKind, Liveness, MembershipView
from berylquay.decisions.predicted_admission import PredictedAdmission
from berylquay.decisions.predictions import Predictor
from berylquay.decisions.routing import Candidate
from berylquay.decisions.serving import HostPlace
from berylquay.verdicts import Refusal

# Engines that a host may count on while it has read no membership list.
UNKNOWN_CAPACITY = 1.0


class ConfiguredAdmission:
    """Hands each call to the policy of the deployment that declares its class."""

    # Where this host stands.
    _place: HostPlace
    # Predicts waits.
    _predictor: Predictor
    # Engines of the data centre for each of its entry hosts.
    _capacity: float
    # Configuration in force.
    _configuration: Configuration
    # Policy by request class.
    _by_class: dict[str, PredictedAdmission]
    # Policy by deployment, with the deployment that it was made for.
    _by_deployment: dict[str, tuple[Deployment, PredictedAdmission]]

    def __init__(self, place: HostPlace, predictor: Predictor) -> None:
        self._place = place
        self._predictor = predictor
        self._capacity = UNKNOWN_CAPACITY
        self._configuration = Configuration()
        self._by_class = {}
        self._by_deployment = {}

    def on_configuration(self, configuration: Configuration) -> None:
        """Makes new policies for deployments that changed and keeps the others."""
        self._configuration = configuration
        self._renew()

    def on_membership(self, view: MembershipView) -> None:
        """Takes the host's part of the data centre's engines from the membership list."""
        capacity = _capacity_of(self._place, view)
        if capacity != self._capacity:
            self._capacity = capacity
            self._by_deployment = {}
            self._renew()

    def refusal_of(
        self,
        call: Call,
        chosen: Candidate,
        now_s: float,
        returning: bool = False,
        decoder: Candidate | None = None,
    ) -> Refusal | None:
        """Returns None to admit the call, or the refusal to give at once."""
        policy = self._by_class.get(call.spec.name)
        if policy is None:
            return None
        return policy.refusal_of(call, chosen, now_s, returning, decoder)

    def on_started(self, call: Call, now_s: float) -> None:
        """Tells the deployment's policy."""
        policy = self._by_class.get(call.spec.name)
        if policy is not None:
            policy.on_started(call, now_s)

    def on_first_token(self, call: Call, now_s: float) -> None:
        """Tells the deployment's policy."""
        policy = self._by_class.get(call.spec.name)
        if policy is not None:
            policy.on_first_token(call, now_s)

    def on_ended(self, call: Call, output_tokens: int, now_s: float) -> None:
        """Tells the deployment's policy."""
        policy = self._by_class.get(call.spec.name)
        if policy is not None:
            policy.on_ended(call, output_tokens, now_s)

    def _renew(self) -> None:
        known, self._by_deployment, self._by_class = self._by_deployment, {}, {}
        for deployment in self._configuration.deployments:
            entry = known.get(deployment.name)
            if entry is None or entry[0] != deployment:
                policy = PredictedAdmission(deployment, self._predictor, self._capacity)
                entry = (deployment, policy)
            self._by_deployment[deployment.name] = entry
            self._by_class.update({spec.name: entry[1] for spec in deployment.classes})


def _capacity_of(place: HostPlace, view: MembershipView) -> float:
    engines = sum(
        server.kind is BackendKind.ENGINE
        and server.data_centre == place.data_centre
        and server.liveness is Liveness.LIVE
        for server in view.backends
    )
    hosts = sum(
        host.data_centre == place.data_centre and host.liveness is Liveness.LIVE
        for host in view.hosts
    )
    return max(engines, 1) / max(hosts, 1)
