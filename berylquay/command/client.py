"""gRPC connections from the tool to the hosts."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final

import grpc
from attrs import frozen

from berylquay.operators.generated.berylquay_pb2_grpc import OperatorsStub

# Time limit for establishing a connection to a host.
CONNECT_TIMEOUT_S: Final = 3.0
MAX_MESSAGE_BYTES: Final = 16 * 1024 * 1024


class UnreachableError(Exception):
    """No host could be reached, so nothing was sent."""


class UnknownOutcomeError(Exception):
    """A change was sent but no response was received, so it may or may not have been applied."""


class RefusedError(Exception):
    """The host refused the request."""


@frozen
class ServerConnection:
    """One connected host."""

    address: str
    stub: OperatorsStub


def parse_server_addresses(text: str) -> list[str]:
    """Returns the addresses in the value of --server, without empty ones."""
    return [part.strip() for part in text.split(",") if part.strip()]


@contextmanager
def connect(address: str) -> Iterator[ServerConnection]:
    """Connects to one host.

    Raises `UnreachableError` if the host does not accept within `CONNECT_TIMEOUT_S`.
    """
    options = [("grpc.max_receive_message_length", MAX_MESSAGE_BYTES)]
    channel = grpc.insecure_channel(address, options)
    try:
        try:
            grpc.channel_ready_future(channel).result(CONNECT_TIMEOUT_S)
        except grpc.FutureTimeoutError:
            raise UnreachableError(f"{address} does not answer") from None
        yield ServerConnection(address, OperatorsStub(channel))
    finally:
        channel.close()


@contextmanager
def connect_to_any(addresses: list[str]) -> Iterator[ServerConnection]:
    """Connects to the first host that accepts; raises `UnreachableError` if none does."""
    for address in addresses:
        try:
            context_manager = connect(address)
            server = context_manager.__enter__()
        except UnreachableError:
            continue
        try:
            yield server
        finally:
            context_manager.__exit__(None, None, None)
        return
    raise UnreachableError(f"no host answers: {', '.join(addresses)}")
