"""HTTP endpoints for liveness, readiness and metrics."""

from typing import Final

from circuits import BaseComponent, Event, handler
from circuits.web.wrappers import Request, Response

from berylquay.component_messages import ConfigurationInForce, MembershipRead
from berylquay.host_metrics import HostMetrics
from berylquay.net.message_bus import BUS
from berylquay.net.process_messages import StopRequested

HEALTH_CHANNEL: Final = "health"
STATUS_OK: Final = 200
STATUS_UNAVAILABLE: Final = 503


class HealthPages(BaseComponent):
    """Serves /healthz, /readyz and /metrics."""

    channel = HEALTH_CHANNEL

    _metrics: HostMetrics
    # Whether the configuration in force has a deployment.
    _has_deployment: bool
    # Whether the last membership list that was read has a backend server.
    _has_membership: bool
    # Whether a graceful stop was requested.
    _stopping: bool

    def __init__(self, metrics: HostMetrics) -> None:
        super().__init__()
        self._metrics = metrics
        self._has_deployment = False
        self._has_membership = False
        self._stopping = False

    @handler("ConfigurationInForce", channel=BUS)
    def _on_configuration(self, message: ConfigurationInForce) -> None:
        self._has_deployment = bool(message.configuration.deployments)

    @handler("MembershipRead", channel=BUS)
    def _on_membership(self, message: MembershipRead) -> None:
        self._has_membership = bool(message.view.backends)

    @handler("StopRequested", channel=BUS)
    def _on_stop_requested(self, _message: StopRequested) -> None:
        self._stopping = True

    @handler("request", priority=1.0)
    def _on_request(self, event: Event, request: Request, response: Response) -> bytes | None:
        event.stop()
        response.headers["Content-Type"] = "text/plain; charset=utf-8"
        if request.path == "/healthz":
            return b"alive\n"
        if request.path == "/metrics":
            return self._metrics.render()
        if request.path == "/readyz":
            return self._readiness_page(response)
        return None

    def _readiness_page(self, response: Response) -> bytes:
        reason = self._not_ready_reason()
        response.status = STATUS_UNAVAILABLE if reason else STATUS_OK
        return f"{reason or 'ready'}\n".encode()

    def _not_ready_reason(self) -> str:
        if self._stopping:
            return "stopping"
        if not self._has_deployment:
            return "no deployment is in force"
        if not self._has_membership:
            return "no membership list was read"
        return ""
