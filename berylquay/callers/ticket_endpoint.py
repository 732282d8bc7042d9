"""HTTP endpoint that issues single-use tickets, which callers send as idempotency keys."""

import json
import time
from typing import Final, Protocol

from circuits import BaseComponent, Event, handler
from circuits.web.events import response
from circuits.web.wrappers import Request, Response

from berylquay.call_verdicts import Refusal, RefusalReason, Verdict
from berylquay.callers.responses import refusal_body
from berylquay.callers.server import CALLERS_CHANNEL
from berylquay.component_messages import AdmissionClosed, ConfigurationInForce
from berylquay.decisions.deployment import Configuration
from berylquay.net.message_bus import BUS

TICKETS_PATH: Final = "/v1/tickets"
STATUS_CREATED: Final = 201
STATUS_INVALID: Final = 400


class TicketSource(Protocol):
    """Issues tickets."""

    def issue_ticket(self, tenant: str, now_s: float) -> str:
        """Returns a new ticket for the tenant."""


class TicketEndpoint(BaseComponent):
    """Answers POST requests for tickets."""

    channel = CALLERS_CHANNEL

    # Issues the tickets.
    _ticket_source: TicketSource
    # Configuration in force, which lists the known tenants.
    _configuration: Configuration
    # Whether new requests are refused.
    _admission_closed: bool

    def __init__(self, ticket_source: TicketSource) -> None:
        super().__init__()
        self._ticket_source = ticket_source
        self._configuration = Configuration()
        self._admission_closed = False

    @handler("ConfigurationInForce", channel=BUS)
    def _on_configuration(self, message: ConfigurationInForce) -> None:
        self._configuration = message.configuration

    @handler("AdmissionClosed", channel=BUS)
    def _on_admission_closed(self, _message: AdmissionClosed) -> None:
        self._admission_closed = True

    @handler("request", priority=2.0)
    def _on_request(self, event: Event, request: Request, http_response: Response) -> bool | None:
        if request.path != TICKETS_PATH or request.method != "POST" or self._admission_closed:
            # `CallerRequestHandler` refuses requests to a stopping host and unknown paths.
            return None
        event.stop()
        tenant = request.headers.get("X-Tenant", "")
        http_response.headers["Content-Type"] = "application/json"
        if self._is_known_tenant(tenant):
            http_response.status = STATUS_CREATED
            ticket = self._ticket_source.issue_ticket(tenant, time.monotonic())
            http_response.body = json.dumps({"ticket": ticket}).encode()
        else:
            http_response.status = STATUS_INVALID
            detail = f"unknown tenant {tenant!r} in header X-Tenant"
            refusal = Refusal(RefusalReason.INVALID, Verdict.NOT_RUN, detail)
            http_response.body = refusal_body(refusal)
        self.fire(response(http_response))
        return True

    def _is_known_tenant(self, tenant: str) -> bool:
        deployments = self._configuration.deployments
        return any(deployment.find_tenant(tenant) is not None for deployment in deployments)
