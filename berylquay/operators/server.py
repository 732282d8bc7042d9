"""The operators' gRPC server: starts and stops with the circuits loop."""

from concurrent.futures import ThreadPoolExecutor
from typing import Final

import grpc
import logbook
from circuits import BaseComponent, handler

from berylquay.decisions.fleet import Address
from berylquay.net.message_bus import BUS
from berylquay.operators.bridge import OperatorsBridge
from berylquay.operators.generated.berylquay_pb2_grpc import add_OperatorsServicer_to_server
from berylquay.operators.servicer import Servicer

WORKER_THREADS: Final = 16
MAX_CONCURRENT_RPCS: Final = 32
MAX_MESSAGE_BYTES: Final = 16 * 1024 * 1024
# Time that calls in flight have to complete when the process ends.
STOP_GRACE_S: Final = 0.5
_log = logbook.Logger("operators")


class OperatorsServer(BaseComponent):
    """Owns the gRPC server and its threads."""

    channel = BUS

    _server: grpc.Server

    def __init__(self, address: Address, bridge: OperatorsBridge) -> None:
        super().__init__()
        self._server = grpc.server(
            ThreadPoolExecutor(max_workers=WORKER_THREADS, thread_name_prefix="operators"),
            maximum_concurrent_rpcs=MAX_CONCURRENT_RPCS,
            options=[
                ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
                ("grpc.so_reuseport", 0),
            ],
        )
        add_OperatorsServicer_to_server(Servicer(bridge), self._server)
        self._server.add_insecure_port(str(address))
        self._server.start()
        _log.info("operators' gRPC server listening", address=str(address))

    @handler("stopped", channel="*")
    def _on_stopped(self, *_: object) -> None:
        self._server.stop(STOP_GRACE_S)
