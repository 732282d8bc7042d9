"""The desk: takes the requests of callers, finds their routes and keeps their exchanges."""

import time
from collections.abc import Callable
from hashlib import blake2b
from typing import Final

import logbook
from attrs import define, evolve

from berylquay.decisions.crash_history import Suspicion
from berylquay.decisions.relay_call import GenerationRequest, RelayCall
from berylquay.decisions.route_table import CallerRequestLimits, Pool, Route, RouteTable
from berylquay.net.connections import Connections
from berylquay.platform.requests import RequestFacts, decode_facts
from berylquay.relay.beliefs import ConfigurationBelief
from berylquay.relay.caller_connection import (
    BAD_REQUEST,
    SERVICE_UNAVAILABLE,
    CallerConnection,
    CallerRequest,
)
from berylquay.relay.exchange import RelayExchange
from berylquay.relay.refusals import send_error
from berylquay.relay.services import RelayServices

NOT_FOUND: Final = 404
# A request with less than this part of the longest deadline seen on its route has been refused
# before: callers count their deadline from their first attempt.
FULL_DEADLINE_SHARE: Final = 0.97
# When a caller should come back to a host that knows no configuration, or an old one.
UNKNOWN_RETRY_S: Final = 0.5
# When a caller should come back to another host.
STOPPING_RETRY_S: Final = 0.05
FINGERPRINT_BYTES: Final = 12
_log = logbook.Logger("desk")


@define
class DeskOptions:
    """Bounds of a host on what callers may open and send."""

    # Most connections of callers.
    max_connections: int
    # Most bytes of bodies that are held at once.
    body_memory_bytes: int
    # Age of the last confirmed configuration above which an unknown path is not denied.
    fresh_configuration_s: float


class Desk:
    """Serves all connections of callers of one process."""

    # Open exchanges by the connection of their caller.
    _exchanges: dict[CallerConnection, RelayExchange]
    _callers: set[CallerConnection]
    _connections: Connections
    _services: RelayServices
    _configuration: ConfigurationBelief
    _options: DeskOptions
    # Bytes of bodies that are held.
    _body_bytes: int
    # Longest deadline that was seen, by route name.
    _full_deadlines_s: dict[str, float]
    # Returns the monotonic time at which the newest configuration was last confirmed.
    _confirmed_s: Callable[[], float]
    # Whether answers ask callers to leave, and whether new requests are refused.
    _stopping: bool
    _closed: bool
    # Whether a request was begun in this process.
    has_served: bool

    def __init__(
        self,
        connections: Connections,
        services: RelayServices,
        configuration: ConfigurationBelief,
        options: DeskOptions,
        confirmed_s: Callable[[], float],
    ) -> None:
        self._exchanges = {}
        self._callers = set()
        self._connections = connections
        self._services = services
        self._configuration = configuration
        self._options = options
        self._body_bytes = 0
        self._full_deadlines_s = {}
        self._confirmed_s = confirmed_s
        self._stopping = False
        self._closed = False
        self.has_served = False

    @property
    def open_calls(self) -> int:
        """Returns how many calls have no final answer."""
        return len(self._exchanges)

    @property
    def open_connections(self) -> int:
        """Returns how many connections of callers are open."""
        return len(self._callers)

    def make_connection(self) -> CallerConnection | None:
        """Returns the handler of a new connection, or None if there are too many."""
        if len(self._callers) >= self._options.max_connections:
            return None
        table = self._configuration.table
        bounds = CallerRequestLimits() if table is None else table.request_limits
        caller = CallerConnection(self._connections, self, bounds, time.monotonic)
        caller.closing = self._stopping
        self._callers.add(caller)
        return caller

    def stop_keeping(self) -> None:
        """Asks callers to use other hosts, with each answer from now on."""
        self._stopping = True
        for caller in self._callers:
            caller.closing = True

    def close(self) -> None:
        """Refuses new requests from now on."""
        self._closed = True

    def on_tick(self, now_s: float) -> None:
        """Checks the time limits of all calls and connections."""
        for exchange in list(self._exchanges.values()):
            exchange.on_tick(now_s)
        for caller in list(self._callers):
            caller.on_tick(now_s)

    # RequestUser.

    def on_request(self, caller: CallerConnection, request: CallerRequest) -> None:
        """Finds the route of a request and begins its exchange."""
        facts = decode_facts(request.headers)
        table = self._configuration.table
        if self._closed:
            self._refuse(caller, facts, "the host is stopping", STOPPING_RETRY_S)
            return
        if table is None:
            self._refuse(caller, facts, "no configuration is known yet", UNKNOWN_RETRY_S)
            return
        host = (request.get(b"host") or b"").decode("latin-1").partition(":")[0]
        path = request.target.decode("latin-1").partition("?")[0]
        route = table.match(host, path)
        if route is None:
            self._deny(caller, facts, table)
            return
        pool = table.pools.get(route.pick_pool(self._services.rng))
        if pool is None:
            self._refuse(caller, facts, "the route's service is not defined", UNKNOWN_RETRY_S)
            return
        if not facts.call_id:
            send_error(caller, BAD_REQUEST, "the request has no id")
            return
        self._begin(caller, request, facts, route, pool)

    def on_caller_gone(self, caller: CallerConnection) -> None:
        """Stops the work for a caller that has left."""
        exchange = self._exchanges.get(caller)
        if exchange is not None:
            exchange.cancel(time.monotonic())

    def on_caller_ready(self, caller: CallerConnection) -> None:
        """Reads on for a slow caller."""
        exchange = self._exchanges.get(caller)
        if exchange is not None:
            exchange.on_caller_ready()

    def on_malformed(self, caller: CallerConnection, status: int, detail: str) -> None:
        """Logs a request that was not taken."""
        peer = str(caller.connection.address)
        _log.info("request not taken", peer=peer, status=status, detail=detail)

    def on_connection_ended(self, caller: CallerConnection) -> None:
        """Forgets a connection."""
        self._callers.discard(caller)

    def reserve_body(self, size_bytes: int) -> bool:
        """Takes memory for a body."""
        if self._body_bytes + size_bytes > self._options.body_memory_bytes:
            return False
        self._body_bytes += size_bytes
        return True

    def release_body(self, size_bytes: int) -> None:
        """Gives back memory of a body."""
        self._body_bytes -= size_bytes

    # Steps.

    def _begin(
        self,
        caller: CallerConnection,
        request: CallerRequest,
        facts: RequestFacts,
        route: Route,
        pool: Pool,
    ) -> None:
        now_s = time.monotonic()
        deadline_s = route.timeout_s if facts.deadline_s is None else facts.deadline_s
        fingerprint = _fingerprint(request)
        call = RelayCall(
            call_id=facts.call_id,
            route=route,
            pool=pool,
            received_s=request.received_s,
            deadline_s=request.received_s + min(deadline_s, route.timeout_s),
            is_caller_retry=self._is_returning(route.name, deadline_s),
            fingerprint=fingerprint,
            generation=(
                _generation_of(request, facts) if pool.engine_properties is not None else None
            ),
        )
        if self._services.suspects.suspicion_of(fingerprint) is Suspicion.QUARANTINED:
            losses = len(self._services.suspects.crashes_of(fingerprint))
            _log.warning("content is quarantined", id=call.call_id, losses=losses)
            self._refuse(caller, facts, "requests with this content crash servers", None)
            return
        exchange = RelayExchange(
            self._services,
            caller,
            request,
            call,
            resume_after=facts.resume_after,
            on_ended=self._on_ended,
        )
        self._exchanges[caller] = exchange
        self.has_served = True
        exchange.begin(now_s)

    def _is_returning(self, route_name: str, deadline_s: float) -> bool:
        full_s = max(deadline_s, self._full_deadlines_s.get(route_name, 0.0))
        self._full_deadlines_s[route_name] = full_s
        return deadline_s < full_s * FULL_DEADLINE_SHARE

    def _on_ended(self, exchange: RelayExchange) -> None:
        self._exchanges.pop(exchange.caller, None)

    def _deny(self, caller: CallerConnection, facts: RequestFacts, table: RouteTable) -> None:
        age_s = time.monotonic() - self._confirmed_s()
        if age_s > self._options.fresh_configuration_s:
            # A newer configuration may have the route.
            self._refuse(caller, facts, "the configuration may be outdated", UNKNOWN_RETRY_S)
            return
        _log.info(
            "no route", id=facts.call_id, version=table.version, confirmed_ms=round(age_s * 1000.0)
        )
        send_error(caller, NOT_FOUND, "no route")

    def _refuse(
        self,
        caller: CallerConnection,
        facts: RequestFacts,
        detail: str,
        retry_after_s: float | None,
    ) -> None:
        _log.info("request refused", id=facts.call_id, detail=detail)
        send_error(caller, SERVICE_UNAVAILABLE, detail, retry_after_s)


def _generation_of(request: CallerRequest, facts: RequestFacts) -> GenerationRequest | None:
    if facts.generation is None:
        return None
    return evolve(facts.generation, request_bytes=len(request.body))


def _fingerprint(request: CallerRequest) -> str:
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (request.method, request.target, request.body):
        digest.update(part)
        digest.update(b"\0")
    return digest.hexdigest()
