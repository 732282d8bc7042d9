"""Pages for the load balancer and the metrics collector, served on a listener of their own."""

from collections.abc import Callable
from typing import Final

import h11
from attrs import define, field

from berylquay.net.tcp_connections import Connection, TcpConnections

STATUS_NOT_FOUND: Final = 404
# A page: status, content type and body.
Page = tuple[int, bytes, bytes]


@define(eq=False)
class PageConnection:
    """Answers each request on a connection with the page for its path, or with 404."""

    _connections: TcpConnections
    # Functions that make the pages, by path.
    _pages: dict[bytes, Callable[[], Page]]
    connection: Connection = field(init=False)
    _protocol: h11.Connection = field(init=False)

    def __attrs_post_init__(self) -> None:
        """Sets up the HTTP/1.1 protocol state."""
        self._protocol = h11.Connection(our_role=h11.SERVER)

    def on_connected(self) -> None:
        """Does nothing: an accepted connection is established."""

    def on_data_received(self, data: bytes) -> None:
        """Answers the requests in the data; a protocol error closes the connection."""
        try:
            self._protocol.receive_data(data)
            self._respond_to_requests()
        except h11.ProtocolError:
            self._connections.close(self.connection)

    def on_disconnected(self, detail: str) -> None:
        """Does nothing: no state outlives the connection."""

    def _respond_to_requests(self) -> None:
        while True:
            event = self._protocol.next_event()
            if isinstance(event, h11.Request):
                has_body = event.method != b"HEAD"
                self._send_page(event.target.partition(b"?")[0], has_body=has_body)
            elif isinstance(event, h11.EndOfMessage):
                if self._protocol.our_state is not h11.DONE:
                    self._connections.half_close(self.connection)
                    return
                self._protocol.start_next_cycle()
            elif not isinstance(event, h11.Data):
                return

    def _send_page(self, path: bytes, *, has_body: bool) -> None:
        make_page = self._pages.get(path)
        status, content_type, body = (
            (STATUS_NOT_FOUND, b"text/plain", b"") if make_page is None else make_page()
        )
        headers = [(b"content-type", content_type), (b"content-length", str(len(body)).encode())]
        events: list[h11.Event] = [h11.Response(status_code=status, headers=headers)]
        if has_body:
            events.append(h11.Data(data=body))
        events.append(h11.EndOfMessage())
        response = b"".join(self._protocol.send(event) or b"" for event in events)
        self._connections.send(self.connection, response)
