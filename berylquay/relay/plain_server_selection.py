"""Selects the server of one call of a plain service."""

from attrs import frozen

from berylquay.decisions.backend_registry import BackendEntry
from berylquay.decisions.relay_call import RelayCall
from berylquay.decisions.service_routing import choose_server
from berylquay.relay.services import RelayServices


@frozen
class PlainServerSelection:
    """Applies the shared policies to one call; keeps no state of its own."""

    _services: RelayServices
    _call: RelayCall

    def choose(self, now_s: float) -> BackendEntry | None:
        """Returns the server to send the call to, or None if all were tried."""
        services = self._services
        return choose_server(
            self._fitting_servers(now_s),
            self._call.sent_to,
            in_flight=services.in_flight,
            health=services.health,
            topology=services.topology,
            rng=services.rng,
            now_s=now_s,
        )

    def has_untried(self, now_s: float) -> bool:
        """Tells whether any server is left that the call was not sent to."""
        return any(server.name not in self._call.sent_to for server in self._fitting_servers(now_s))

    def _fitting_servers(self, now_s: float) -> list[BackendEntry]:
        """Returns the servers whose answer would fit what the caller has of a stream."""
        call, services = self._call, self._services
        ready = services.registry.without_leaving_before(
            services.registry.ready_in_pool(call.pool.name),
            now_s + services.demand.call_s(call.pool.name),
        )
        servers = [server for server in ready if call.may_use_version(server.software_version)]
        recorded = [
            server for server in servers if services.may_begin_at(call, server.software_version)
        ]
        return recorded or servers
