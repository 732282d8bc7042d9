"""Orders that would leave a host after its claim has ended: none is sent."""

import socket
from unittest.mock import Mock

import pytest

from berylquay.decisions.backend_registry import BackendEntry, EntryState
from berylquay.decisions.fleet import Address, Role
from berylquay.decisions.roles import RoleChange
from berylquay.net.persistent_http import PersistentConnection
from berylquay.net.tcp_connections import (
    TCP_USER_TIMEOUT_MS,
    Connection,
    ConnectionHandler,
)
from berylquay.relay import claimant
from berylquay.relay.role_controller import CLAIM_DURATION_S, ORDER_DELAY_S, RoleController
from tests.support.fake_connections import FakeConnections

ADDRESS = Address("127.0.0.1", 80)


class ConnectingConnections(FakeConnections):
    """Connections that are still being established."""

    opened: Connection

    def open(self, address: Address, connection_handler: ConnectionHandler) -> Connection:
        """Returns a connection that is not established."""
        sock = socket.socket.__new__(socket.socket)
        self.opened = Connection(address, connection_handler, sock)
        self.sent[id(self.opened)] = b""
        return self.opened


# Guards against a second holder: the claim is checked, the host is frozen (or cut off from the
# engine), and the order leaves when its connection is established after the claim has ended. The
# clock that counts the claim runs on meanwhile.
@pytest.mark.parametrize("frozen_s", [0.1, CLAIM_DURATION_S, 60.0])
def test_no_order_leaves_after_the_claim_has_ended(
    monkeypatch: pytest.MonkeyPatch, frozen_s: float
) -> None:
    connections, services, now_s = ConnectingConnections(), Mock(), [0.0]
    monkeypatch.setattr(claimant, "boot_clock_s", lambda: now_s[0])
    services.acquire_connection = lambda entry, *_arguments, **_options: PersistentConnection(
        entry.address, lambda _connection: None, lambda _connection: None, connections
    )
    controller = RoleController(services, Mock(), "host-0", lease_s=3.0, host_rank=lambda: 0)
    claims = controller._claimant._claims
    claims.on_append_sent(0.0)
    claims.on_claimed(0)
    entry = BackendEntry("engine-0", "lm", ADDRESS, "a", 4, EntryState.READY, role=Role.DECODE)
    controller._send_order(entry, RoleChange(entry.name, Role.PREFILL), accepted_orders=0)
    connection = connections.opened
    now_s[0] = frozen_s
    connection.established = True
    connection.handler.on_connected()
    is_sent = bool(connections.sent[id(connection)])
    assert is_sent is (frozen_s < CLAIM_DURATION_S)
    # What was not sent needs no time to settle.
    assert (entry.name in controller._pending_orders) is is_sent


# Guards against an order that a network cut has delayed until a second holder may order: the kernel
# sends it again for as long as this, also after the host has closed the connection.
def test_no_order_is_in_transit_when_another_holder_may_order() -> None:
    assert ORDER_DELAY_S * 1000.0 >= TCP_USER_TIMEOUT_MS
