"""Request handler: accepts callers' requests, finds their routes, and relays them."""

import time
from collections.abc import Callable
from hashlib import blake2b
from typing import Final

import logbook
from attrs import define, evolve

from berylquay.decisions.relay_call import GenerationRequest, RelayCall
from berylquay.decisions.route_table import CallerRequestLimits, Pool, Route, RouteTable
from berylquay.net.tcp_connections import TcpConnections
from berylquay.platform.request_codec import RequestMetadata, decode_request_metadata
from berylquay.relay.caller_authentication import (
    CallerAuthenticator,
    CallerIdentity,
    KeyRefusal,
)
from berylquay.relay.caller_connection import (
    BAD_REQUEST,
    SERVICE_UNAVAILABLE,
    SLOW_CALLER_BUFFER_BYTES,
    CallerConnection,
    CallerRequest,
)
from berylquay.relay.refusals import send_error, send_unauthorized
from berylquay.relay.relayed_request import RelayedRequest
from berylquay.relay.services import RelayServices
from berylquay.relay.store_views import ConfigurationView

NOT_FOUND: Final = 404
# A request whose deadline is below this fraction of the longest one seen on its route is a caller's
# retry of a refused request: callers count their deadline from their first attempt.
FIRST_ATTEMPT_DEADLINE_FRACTION: Final = 0.97
# Retry-After for a host without a configuration, or with one that may be outdated.
UNKNOWN_CONFIGURATION_RETRY_S: Final = 0.5
# Retry-After for a host that is stopping: the caller should retry at another host.
STOPPING_RETRY_S: Final = 0.05
# Bytes that wait for slow callers, over all connections, and the least share of one of them. The
# process has 160 MB and up, and takes about 40 MB without calls.
RESPONSE_BUFFER_BYTES: Final = 32_000_000
MIN_UNSENT_BYTES: Final = 16_384
FINGERPRINT_BYTES: Final = 12
MS_PER_S: Final = 1000.0
_log = logbook.Logger("desk")


@define
class RequestHandlerOptions:
    """Limits of a host on what callers may open and send."""

    # Most open connections of callers.
    max_connections: int
    # Most bytes of request bodies that are kept in memory at once.
    body_memory_bytes: int
    # Time since the configuration was last confirmed after which a request without a route is asked
    # to retry, rather than answered with 404.
    max_configuration_age_s: float


class RequestHandler:
    """Serves all callers' connections of one process."""

    # Open requests by the connection of their caller.
    _open_requests: dict[CallerConnection, RelayedRequest]
    _callers: set[CallerConnection]
    _connections: TcpConnections
    _services: RelayServices
    _configuration: ConfigurationView
    _options: RequestHandlerOptions
    # Bytes of request bodies that are kept in memory.
    _body_bytes: int
    # Longest deadline seen, by route name.
    _longest_deadlines_s: dict[str, float]
    # Returns the monotonic time at which the newest configuration was last confirmed.
    _configuration_confirmed_s: Callable[[], float]
    # Checks callers' keys.
    _authenticator: CallerAuthenticator
    # Whether each connection is closed after its next response.
    _closing_connections: bool
    # Whether new requests are refused.
    _refusing_requests: bool
    # Whether this process has begun to relay a request.
    has_served: bool

    def __init__(
        self,
        connections: TcpConnections,
        services: RelayServices,
        configuration: ConfigurationView,
        options: RequestHandlerOptions,
        configuration_confirmed_s: Callable[[], float],
    ) -> None:
        self._open_requests = {}
        self._callers = set()
        self._connections = connections
        self._services = services
        self._configuration = configuration
        self._options = options
        self._body_bytes = 0
        self._longest_deadlines_s = {}
        self._configuration_confirmed_s = configuration_confirmed_s
        self._authenticator = CallerAuthenticator(
            configuration, configuration_confirmed_s, options.max_configuration_age_s
        )
        self._closing_connections = False
        self._refusing_requests = False
        self.has_served = False

    @property
    def open_calls(self) -> int:
        """Returns how many calls have no final response yet."""
        return len(self._open_requests)

    @property
    def open_connections(self) -> int:
        """Returns how many callers' connections are open."""
        return len(self._callers)

    def make_connection(self) -> CallerConnection | None:
        """Returns the handler of a new connection, or None if too many are open."""
        if len(self._callers) >= self._options.max_connections:
            return None
        table = self._configuration.table
        limits = CallerRequestLimits() if table is None else table.request_limits
        caller = CallerConnection(self._connections, self, limits, time.monotonic)
        caller.close_after_response = self._closing_connections
        caller.closes_when_idle = self._refusing_requests
        self._callers.add(caller)
        return caller

    def stop_keep_alive(self) -> None:
        """Closes each connection after its next response, so that callers move to other hosts.

        Idle connections stay open meanwhile: a request may be on its way.
        """
        self._closing_connections = True
        for caller in self._callers:
            caller.close_after_response = True

    def refuse_new_requests(self) -> None:
        """Refuses new requests from now on, and closes connections that are idle."""
        self._refusing_requests = True
        for caller in self._callers:
            caller.closes_when_idle = True

    def refuse_open_requests(self, now_s: float) -> None:
        """Ends the calls that are still open, as the process is about to end."""
        for caller, relayed in list(self._open_requests.items()):
            if not self._services.errors.run("call", relayed.refuse_for_shutdown, now_s):
                self._abandon(caller)

    def on_tick(self, now_s: float) -> None:
        """Checks the time limits of all calls and connections."""
        errors = self._services.errors
        errors.run("keys", self._authenticator.on_tick, now_s)
        for caller, relayed in list(self._open_requests.items()):
            if not errors.run("call", relayed.on_tick, now_s):
                self._abandon(caller)
        share_bytes = RESPONSE_BUFFER_BYTES // max(1, len(self._callers))
        max_unsent_bytes = min(SLOW_CALLER_BUFFER_BYTES, max(MIN_UNSENT_BYTES, share_bytes))
        for caller in list(self._callers):
            caller.max_unsent_bytes = max_unsent_bytes
            if not errors.run("caller", caller.on_tick, now_s):
                self._abandon(caller)

    # CallerConnectionHandler.

    def on_request(self, caller: CallerConnection, request: CallerRequest) -> None:
        """Relays a request to the pool of its route, or answers with an error."""
        metadata = decode_request_metadata(request.headers)
        table = self._configuration.table
        if self._refusing_requests:
            self._refuse(caller, metadata, "the host is stopping", STOPPING_RETRY_S)
            return
        if table is None:
            self._refuse(
                caller, metadata, "no configuration is known yet", UNKNOWN_CONFIGURATION_RETRY_S
            )
            return
        if self._configuration.is_outdated(time.monotonic()):
            self._refuse(
                caller,
                metadata,
                "other hosts have a newer configuration",
                UNKNOWN_CONFIGURATION_RETRY_S,
            )
            return
        host = (request.get(b"host") or b"").decode("latin-1").partition(":")[0]
        path = request.target.decode("latin-1").partition("?")[0]
        route = table.match(host, path)
        if route is None:
            self._refuse_unrouted(caller, metadata, table)
        else:
            self._on_routed_request(caller, request, metadata, route, table)

    def on_caller_disconnected(self, caller: CallerConnection) -> None:
        """Cancels the work for a caller that has disconnected."""
        relayed = self._open_requests.get(caller)
        if relayed is not None:
            relayed.cancel(time.monotonic())

    def on_caller_writable(self, caller: CallerConnection) -> None:
        """Resumes reading the response for a slow caller."""
        relayed = self._open_requests.get(caller)
        if relayed is not None:
            relayed.on_caller_writable()

    def on_request_rejected(self, caller: CallerConnection, status: int, detail: str) -> None:
        """Logs a request that was rejected."""
        peer = str(caller.connection.address)
        _log.info("request rejected", peer=peer, status=status, detail=detail)

    def on_connection_ended(self, caller: CallerConnection) -> None:
        """Removes a connection that has ended."""
        self._callers.discard(caller)

    def may_show_input(self) -> bool:
        """Tells whether an error text may contain what a caller has sent, which may be a key."""
        table = self._configuration.table
        return table is None or table.tenant_keys is None

    def reserve_body(self, size_bytes: int) -> bool:
        """Reserves memory for a request body; returns False if the limit would be exceeded."""
        if self._body_bytes + size_bytes > self._options.body_memory_bytes:
            return False
        self._body_bytes += size_bytes
        return True

    def release_body(self, size_bytes: int) -> None:
        """Releases memory that was reserved for a request body."""
        self._body_bytes -= size_bytes

    def _on_routed_request(
        self,
        caller: CallerConnection,
        request: CallerRequest,
        metadata: RequestMetadata,
        route: Route,
        table: RouteTable,
    ) -> None:
        identity = self._authenticator.identify(route, request.headers, time.monotonic())
        if isinstance(identity, KeyRefusal):
            self._refuse_key(caller, metadata, identity, table)
            return
        pool = table.pools.get(route.pick_pool(self._services.rng))
        if pool is None:
            self._refuse(
                caller,
                metadata,
                "the route's service is not defined",
                UNKNOWN_CONFIGURATION_RETRY_S,
            )
            return
        if not metadata.call_id:
            send_error(caller, BAD_REQUEST, "the request has no id")
            return
        self._start_request(
            caller, request, metadata, route, pool, identity=identity, version=table.version
        )

    def _abandon(self, caller: CallerConnection) -> None:
        """Ends a connection after an unexpected error; its caller may have got nothing."""
        errors = self._services.errors
        relayed = self._open_requests.get(caller)
        if relayed is not None:
            errors.run("call", relayed.cancel, time.monotonic())
        self._open_requests.pop(caller, None)
        errors.run("caller", caller.abort)
        self._callers.discard(caller)

    def _start_request(
        self,
        caller: CallerConnection,
        request: CallerRequest,
        metadata: RequestMetadata,
        route: Route,
        pool: Pool,
        *,
        identity: CallerIdentity,
        version: int,
    ) -> None:
        now_s = time.monotonic()
        deadline_s = route.timeout_s if metadata.deadline_s is None else metadata.deadline_s
        call = RelayCall(
            call_id=metadata.call_id,
            route=route,
            pool=pool,
            received_s=request.received_s,
            deadline_s=request.received_s + min(deadline_s, route.timeout_s),
            is_caller_retry=self._is_caller_retry(route.name, deadline_s),
            fingerprint=_fingerprint(request),
            generation=(
                _generation_of(request, metadata) if pool.engine_properties is not None else None
            ),
            tenant=identity.tenant,
            tenant_rank=identity.rank,
            hides_key=identity.hides_key,
            resumed_after_event=metadata.last_event_id if route.streaming else None,
            resumed_call_id=metadata.resumed_call_id,
            configuration_version=version,
            configuration_age_ms=self._configuration_age_ms(now_s),
        )
        relayed = RelayedRequest(
            self._services,
            caller,
            request,
            call,
            authenticator=self._authenticator,
            last_event_id=metadata.last_event_id,
            on_ended=self._on_request_ended,
        )
        self._open_requests[caller] = relayed
        self.has_served = True
        relayed.start(now_s)

    def _configuration_age_ms(self, now_s: float) -> int:
        """Returns the time since the configuration was last confirmed, in milliseconds."""
        return round((now_s - self._configuration_confirmed_s()) * MS_PER_S)

    def _is_caller_retry(self, route_name: str, deadline_s: float) -> bool:
        longest_s = max(deadline_s, self._longest_deadlines_s.get(route_name, 0.0))
        self._longest_deadlines_s[route_name] = longest_s
        return deadline_s < longest_s * FIRST_ATTEMPT_DEADLINE_FRACTION

    def _on_request_ended(self, relayed: RelayedRequest) -> None:
        self._open_requests.pop(relayed.caller, None)

    def _refuse_unrouted(
        self, caller: CallerConnection, metadata: RequestMetadata, table: RouteTable
    ) -> None:
        age_s = time.monotonic() - self._configuration_confirmed_s()
        if age_s > self._options.max_configuration_age_s:
            # A newer configuration may have the route.
            self._refuse(
                caller, metadata, "the configuration may be outdated", UNKNOWN_CONFIGURATION_RETRY_S
            )
            return
        _log.info(
            "no route",
            id=metadata.call_id,
            version=table.version,
            confirmed_ms=round(age_s * MS_PER_S),
        )
        send_error(caller, NOT_FOUND, "no route")

    def _refuse_key(
        self,
        caller: CallerConnection,
        metadata: RequestMetadata,
        refusal: KeyRefusal,
        table: RouteTable,
    ) -> None:
        cause = "outdated" if refusal.fault is None else refusal.fault.value
        self._services.metrics.tenants.on_key_refused(cause)
        if refusal.fault is None:
            self._refuse(caller, metadata, refusal.detail, UNKNOWN_CONFIGURATION_RETRY_S)
            return
        _log.info(
            "key refused",
            id=metadata.call_id,
            cause=cause,
            version=table.version,
            confirmed_ms=self._configuration_age_ms(time.monotonic()),
        )
        send_unauthorized(caller, refusal.detail)

    def _refuse(
        self,
        caller: CallerConnection,
        metadata: RequestMetadata,
        detail: str,
        retry_after_s: float | None,
    ) -> None:
        _log.info("request refused", id=metadata.call_id, detail=detail)
        send_error(caller, SERVICE_UNAVAILABLE, detail, retry_after_s)


def _generation_of(request: CallerRequest, metadata: RequestMetadata) -> GenerationRequest | None:
    if metadata.generation is None:
        return None
    return evolve(metadata.generation, request_bytes=len(request.body))


def _fingerprint(request: CallerRequest) -> str:
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (request.method, request.target, request.body):
        digest.update(part)
        digest.update(b"\0")
    return digest.hexdigest()
