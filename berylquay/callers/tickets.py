"""The tickets page: gives callers single-use tickets to send as idempotency keys."""

import json
import time
from typing import Final, Protocol

from circuits import BaseComponent, Event, handler
from circuits.web.events import response
from circuits.web.wrappers import Request, Response

from berylquay.callers.answers import refusal_body
from berylquay.callers.server import CALLERS_CHANNEL
from berylquay.decisions.deployment import Configuration
from berylquay.messages import AdmissionClosed, ConfigurationInForce
from berylquay.net.bus import BUS
from berylquay.verdicts import Refusal, RefusalReason, Verdict

TICKETS_PATH: Final = "/v1/tickets"
STATUS_CREATED: Final = 201
STATUS_INVALID: Final = 400


class TicketSource(Protocol):
    """Makes tickets."""

    def issue_ticket(self, tenant: str, now_s: float) -> str:
        """Returns a new ticket for the tenant."""


class TicketsPage(BaseComponent):
    """Answers POST requests for tickets."""

    channel = CALLERS_CHANNEL

    # Makes the tickets.
    _source: TicketSource
    # Configuration that names the tenants.
    _configuration: Configuration
    # Whether new requests are refused.
    _closed: bool

    def __init__(self, source: TicketSource) -> None:
        super().__init__()
        self._source = source
        self._configuration = Configuration()
        self._closed = False

    @handler("ConfigurationInForce", channel=BUS)
    def _on_configuration(self, message: ConfigurationInForce) -> None:
        self._configuration = message.configuration

    @handler("AdmissionClosed", channel=BUS)
    def _on_admission_closed(self, _message: AdmissionClosed) -> None:
        self._closed = True

    @handler("request", priority=2.0)
    def _on_request(self, event: Event, request: Request, answer: Response) -> bool | None:
        if request.path != TICKETS_PATH or request.method != "POST" or self._closed:
            # The gate refuses what comes to a stopping host, and what names no known page.
            return None
        event.stop()
        tenant = request.headers.get("X-Tenant", "")
        answer.headers["Content-Type"] = "application/json"
        if self._knows(tenant):
            answer.status = STATUS_CREATED
            ticket = self._source.issue_ticket(tenant, time.monotonic())
            answer.body = json.dumps({"ticket": ticket}).encode()
        else:
            answer.status = STATUS_INVALID
            detail = f"unknown tenant {tenant!r} in header X-Tenant"
            refusal = Refusal(RefusalReason.INVALID, Verdict.NOT_RUN, detail)
            answer.body = refusal_body(refusal)
        self.fire(response(answer))
        return True

    def _knows(self, tenant: str) -> bool:
        deployments = self._configuration.deployments
        return any(deployment.tenant_named(tenant) is not None for deployment in deployments)
