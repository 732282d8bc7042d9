"""Updates admission control with the configuration in force and the membership list."""

from circuits import BaseComponent, handler

from berylquay.component_messages import ConfigurationInForce, MembershipRead
from berylquay.decisions.per_deployment_admission import PerDeploymentAdmission
from berylquay.net.message_bus import BUS


class AdmissionUpdater(BaseComponent):
    """Forwards configuration and membership changes to admission control."""

    channel = BUS

    # Admission control of all deployments.
    _admission: PerDeploymentAdmission

    def __init__(self, admission: PerDeploymentAdmission) -> None:
        super().__init__()
        self._admission = admission

    @handler("ConfigurationInForce")
    def _on_configuration(self, message: ConfigurationInForce) -> None:
        self._admission.on_configuration(message.configuration)

    @handler("MembershipRead")
    def _on_membership(self, message: MembershipRead) -> None:
        self._admission.on_membership(message.view)
