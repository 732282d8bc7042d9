"""Admission control with a separate policy for each configured deployment.

The capacity of this host is its share of the live engines in its own data centre.
"""

from typing import Final

from berylquay.call_verdicts import Refusal
from berylquay.decisions.admission import AdmissionPolicy, AdmitAll
from berylquay.decisions.calls import Call
from berylquay.decisions.deployment import Configuration, Deployment
from berylquay.decisions.engine_speed import EngineSpeed
from berylquay.decisions.fleet import BackendKind, Liveness, MembershipView
from berylquay.decisions.latency_prediction import LatencyPredictor
from berylquay.decisions.predicted_admission import AdmissionLimits, PredictedAdmission
from berylquay.decisions.routing import Candidate

# The engines' rates are unknown at first; assuming fast engines avoids wrong refusals.
INITIAL_CORRECTION_FACTOR: Final = 0.2


class PerDeploymentAdmission:
    """Applies to each call the admission policy of its deployment."""

    # Data centre of this host.
    _data_centre: str
    # Predicts waiting and execution times; the policies correct them by observed times.
    _predictor: LatencyPredictor
    # Work that this host may send to the engines, in engine seconds per second.
    _capacity: float
    # Deployments in force and their policies, by deployment name.
    _deployments: dict[str, Deployment]
    _policies: dict[str, PredictedAdmission]
    # Policy by the name of the request class.
    _policy_by_class: dict[str, AdmissionPolicy]
    # Policy for calls of a class that is no longer configured.
    _fallback: AdmissionPolicy

    def __init__(self, data_centre: str, speed: EngineSpeed) -> None:
        self._data_centre = data_centre
        self._predictor = LatencyPredictor(speed)
        self._capacity = 1.0
        self._deployments = {}
        self._policies = {}
        self._policy_by_class = {}
        self._fallback = AdmitAll()

    def on_configuration(self, configuration: Configuration) -> None:
        """Applies a newer configuration; policies of unchanged deployments keep their state."""
        previous_deployments, previous_policies = self._deployments, self._policies
        self._deployments = {each.name: each for each in configuration.deployments}
        self._policies = {
            name: (
                previous_policies[name]
                if previous_deployments.get(name) == deployment
                else self._make_policy(deployment)
            )
            for name, deployment in self._deployments.items()
        }
        self._policy_by_class = {
            spec.name: self._policies[deployment.name]
            for deployment in reversed(configuration.deployments)
            for spec in deployment.classes
        }

    def on_membership(self, view: MembershipView) -> None:
        """Updates the capacity for a newer membership list."""
        engines = sum(
            server.kind is BackendKind.ENGINE
            and server.liveness is Liveness.LIVE
            and server.data_centre == self._data_centre
            for server in view.backends
        )
        hosts = sum(host.data_centre == self._data_centre for host in view.hosts)
        self._capacity = max(engines, 1) / max(hosts, 1)
        for policy in self._policies.values():
            policy.set_capacity(self._capacity)

    def check_admission(
        self,
        call: Call,
        chosen: Candidate,
        now_s: float,
        honoured_retry_after: bool = False,
        decode_engine: Candidate | None = None,
    ) -> Refusal | None:
        """Returns None to admit the call, or the refusal to answer with."""
        return self._policy_for(call).check_admission(
            call, chosen, now_s, honoured_retry_after, decode_engine
        )

    def on_started(self, call: Call, now_s: float) -> None:
        """Called when an admitted call's first attempt was sent."""
        self._policy_for(call).on_started(call, now_s)

    def on_first_token(self, call: Call, now_s: float) -> None:
        """Called when the first token of the answer arrived."""
        self._policy_for(call).on_first_token(call, now_s)

    def on_ended(self, call: Call, output_tokens: int, now_s: float) -> None:
        """Called when an admitted call got its final answer."""
        self._policy_for(call).on_ended(call, output_tokens, now_s)

    def _policy_for(self, call: Call) -> AdmissionPolicy:
        return self._policy_by_class.get(call.class_spec.name, self._fallback)

    def _make_policy(self, deployment: Deployment) -> PredictedAdmission:
        limits = AdmissionLimits(initial_correction_factor=INITIAL_CORRECTION_FACTOR)
        return PredictedAdmission(deployment, self._predictor, self._capacity, limits)
