"""Orders to engines that start again under their name before an order has taken effect."""

import socket
import time
from unittest.mock import Mock

import pytest
from attrs import evolve

from berylquay.decisions.backend_registry import BackendEntry, BackendRegistry, EntryState
from berylquay.decisions.fleet import Address, Role
from berylquay.decisions.roles import RoleChange
from berylquay.net.persistent_http import PersistentConnection
from berylquay.net.tcp_connections import Connection, ConnectionHandler
from berylquay.relay import claimant
from berylquay.relay.role_controller import RoleController
from tests.support.fake_connections import FakeConnections

ENTRY = BackendEntry(
    "engine-0",
    "lm",
    Address("127.0.0.1", 80),
    "a",
    4,
    EntryState.READY,
    role=Role.DECODE,
    started_unix_ms=1000,
)
CHANGE = RoleChange(ENTRY.name, Role.PREFILL)


class OpenedConnections(FakeConnections):
    """Connections that are established when the test says so."""

    def __init__(self) -> None:
        super().__init__()
        self.opened: list[Connection] = []

    def open(self, address: Address, connection_handler: ConnectionHandler) -> Connection:
        """Returns a connection."""
        connection = Connection(address, connection_handler, socket.socket.__new__(socket.socket))
        self.sent[id(connection)] = b""
        self.opened.append(connection)
        return connection

    def establish(self) -> Connection:
        """Establishes the connection that was opened last."""
        connection = self.opened[-1]
        connection.established = True
        connection.handler.on_connected()
        return connection


class Controller:
    """A role controller that holds a valid claim, and its engine's entry."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.connections = OpenedConnections()
        self.registry = BackendRegistry()
        self.registry.on_entry(ENTRY)
        services = Mock(registry=self.registry)
        services.acquire_connection = lambda entry, *_arguments, **_options: PersistentConnection(
            entry.address, lambda _connection: None, lambda _connection: None, self.connections
        )
        monkeypatch.setattr(claimant, "boot_clock_s", lambda: 0.0)
        self.controller = RoleController(
            services, Mock(), "host-0", lease_s=3.0, host_rank=lambda: 0
        )
        claims = self.controller._claimant._claims
        claims.on_append_sent(0.0)
        claims.on_claimed(0)

    def order(self, born: int) -> None:
        """Sends an order to the engine, whose report states the start time `born`."""
        self.controller._begin_order(CHANGE, time.monotonic())
        connection = self.connections.establish()
        body = b'{"seq": 0, "born": %d}' % born
        connection.handler.on_data_received(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        )
        self.connections.establish()

    def planned_role(self) -> Role | None:
        """Returns the role with which the plan counts the engine."""
        self.controller._drop_settled_orders(time.monotonic())
        return self.controller._planned_engines("lm")[0].role


# Guards against a plan that counts on an order for 14 s, though the engine has started again since
# and knows nothing of it.
def test_an_order_to_an_ended_start_is_planned_again(monkeypatch: pytest.MonkeyPatch) -> None:
    host = Controller(monkeypatch)
    host.order(born=1000)
    assert host.planned_role() is Role.PREFILL
    host.registry.on_entry(evolve(ENTRY, started_unix_ms=2000))
    assert host.planned_role() is Role.DECODE


# Guards against a second order, to another engine, where the new start has accepted the first one
# before its entry was known.
def test_an_order_that_the_new_start_has_accepted_counts(monkeypatch: pytest.MonkeyPatch) -> None:
    host = Controller(monkeypatch)
    host.order(born=2000)
    assert host.planned_role() is Role.PREFILL
    host.registry.on_entry(evolve(ENTRY, started_unix_ms=2000))
    assert host.planned_role() is Role.PREFILL
    host.registry.on_entry(evolve(ENTRY, started_unix_ms=3000))
    assert host.planned_role() is Role.DECODE
