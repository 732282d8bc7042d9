"""How a watch of the configuration ends: it never ends by itself."""

from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor
from types import SimpleNamespace

import grpc
import pytest

from berylquay.command.exit_codes import ExitCode
from berylquay.command.main import main
from berylquay.operators.generated import berylquay_pb2 as pb
from berylquay.operators.generated.berylquay_pb2_grpc import (
    OperatorsServicer,
    add_OperatorsServicer_to_server,
)
from berylquay.operators.servicer import Servicer


class EndingServicer(OperatorsServicer):
    """Ends each watch after two configurations."""

    def __init__(self, code: grpc.StatusCode | None) -> None:
        self.code = code

    def WatchConfiguration(  # noqa: N802
        self, _request: pb.WatchConfigurationRequest, context: grpc.ServicerContext
    ) -> Iterator[pb.Configuration]:
        """Sends two configurations and the status."""
        yield pb.Configuration(revision=1)
        yield pb.Configuration(revision=2)
        if self.code is not None:
            context.abort(self.code, "ended")


# Guards against a watch that ends as if it had shown all, since its host stops or was lost.
@pytest.mark.parametrize("code", [None, grpc.StatusCode.UNAVAILABLE], ids=["ok", "unavailable"])
@pytest.mark.parametrize(
    ("count", "expected"),
    [("0", ExitCode.UNREACHABLE), ("2", ExitCode.OK), ("3", ExitCode.UNREACHABLE)],
)
def test_a_watch_that_its_host_ends_is_not_done(
    count: str,
    expected: ExitCode,
    code: grpc.StatusCode | None,
    capsys: pytest.CaptureFixture[str],
) -> None:
    server = grpc.server(ThreadPoolExecutor(max_workers=2))
    add_OperatorsServicer_to_server(EndingServicer(code), server)
    port = server.add_insecure_port("127.0.0.1:0")
    server.start()
    try:
        assert main(["--server", f"127.0.0.1:{port}", "watch", "--count", count]) == expected
    finally:
        server.stop(None)
    assert capsys.readouterr().out.count("revision") >= 2


class AbortedError(Exception):
    """Stands for what gRPC raises."""


# Guards against the status OK at the end of a watch whose host stops.
def test_a_host_that_stops_says_so_to_a_watch() -> None:
    future: Future[object] = Future()
    future.cancel()
    codes: list[grpc.StatusCode] = []

    def abort(code: grpc.StatusCode, _detail: str) -> None:
        codes.append(code)
        raise AbortedError

    bridge = SimpleNamespace(request_view=lambda _revision: future)
    context = SimpleNamespace(is_active=lambda: True, abort=abort)
    servicer = Servicer(bridge)  # type: ignore[arg-type]
    with pytest.raises(AbortedError):
        next(servicer.WatchConfiguration(pb.WatchConfigurationRequest(), context))  # type: ignore[arg-type]
    assert codes == [grpc.StatusCode.UNAVAILABLE]
