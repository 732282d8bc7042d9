"""Health: the HTTP pages by which a balancer and a metrics collector watch the process."""

from typing import Final

from circuits import BaseComponent, Event, handler
from circuits.web.wrappers import Request, Response

from berylquay.messages import ConfigurationInForce, MembershipRead, StopRequested
from berylquay.metrics import Metrics
from berylquay.net.bus import BUS

HEALTH_CHANNEL: Final = "health"
STATUS_OK: Final = 200
STATUS_UNAVAILABLE: Final = 503


class HealthPages(BaseComponent):
    """Serves /healthz, /readyz and /metrics."""

    channel = HEALTH_CHANNEL

    # Where the metrics are kept.
    _metrics: Metrics
    # Whether a configuration with a deployment is in force.
    _configured: bool
    # Whether a membership list was read.
    _fleet_known: bool
    # Whether a stop was asked for.
    _stopping: bool

    def __init__(self, metrics: Metrics) -> None:
        super().__init__()
        self._metrics = metrics
        self._configured = False
        self._fleet_known = False
        self._stopping = False

    @handler("ConfigurationInForce", channel=BUS)
    def _on_configuration(self, message: ConfigurationInForce) -> None:
        self._configured = bool(message.configuration.deployments)

    @handler("MembershipRead", channel=BUS)
    def _on_membership(self, message: MembershipRead) -> None:
        self._fleet_known = bool(message.view.backends)

    @handler("StopRequested", channel=BUS)
    def _on_stop_requested(self, _message: StopRequested) -> None:
        self._stopping = True

    @handler("request", priority=1.0)
    def _on_request(self, event: Event, request: Request, answer: Response) -> bytes | None:
        event.stop()
        answer.headers["Content-Type"] = "text/plain; charset=utf-8"
        if request.path == "/healthz":
            return b"alive\n"
        if request.path == "/metrics":
            return self._metrics.render()
        if request.path == "/readyz":
            return self._readiness(answer)
        return None

    def _readiness(self, answer: Response) -> bytes:
        obstacle = self._obstacle()
        answer.status = STATUS_UNAVAILABLE if obstacle else STATUS_OK
        return f"{obstacle or 'ready'}\n".encode()

    def _obstacle(self) -> str:
        if self._stopping:
            return "stopping"
        if not self._configured:
            return "no deployment is in force"
        if not self._fleet_known:
            return "no membership list was read"
        return ""
