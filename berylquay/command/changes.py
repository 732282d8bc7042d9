"""Commands that change the configuration."""

import argparse
import uuid
from collections.abc import Callable

import grpc
from attrs import frozen

from berylquay.command.client import (
    RefusedError,
    Server,
    UnknownOutcomeError,
    connect_to_any,
    split_servers,
)
from berylquay.command.exits import EXIT_OF_STATUS, ExitCode
from berylquay.command.printing import message_to_plain, print_json, print_text
from berylquay.decisions.deployment import Deployment
from berylquay.operators.conversions import deployment_to_schema, status_from_schema
from berylquay.operators.generated import berylquay_pb2 as pb

# Status codes by which the host says that it did not act.
_NOT_ACTED = (grpc.StatusCode.INVALID_ARGUMENT, grpc.StatusCode.RESOURCE_EXHAUSTED)


@frozen
class ChangeCall:
    """A change that is ready to be sent to a host."""

    send: Callable[[Server, pb.ChangeHeader, float], pb.ChangeReply]
    arguments: argparse.Namespace


def apply_deployment(arguments: argparse.Namespace, deployment: Deployment) -> ExitCode:
    """Puts a deployment in force."""

    def send(server: Server, header: pb.ChangeHeader, timeout_s: float) -> pb.ChangeReply:
        message = deployment_to_schema(deployment)
        request = pb.ApplyDeploymentRequest(header=header, deployment=message)
        reply: pb.ChangeReply = server.stub.ApplyDeployment(request, timeout=timeout_s)
        return reply

    return _run(ChangeCall(send, arguments))


def remove_deployment(arguments: argparse.Namespace) -> ExitCode:
    """Removes a deployment."""

    def send(server: Server, header: pb.ChangeHeader, timeout_s: float) -> pb.ChangeReply:
        request = pb.RemoveDeploymentRequest(header=header, name=arguments.name)
        reply: pb.ChangeReply = server.stub.RemoveDeployment(request, timeout=timeout_s)
        return reply

    return _run(ChangeCall(send, arguments))


def set_draining(arguments: argparse.Namespace, draining: bool) -> ExitCode:
    """Drains a host or backend server, or ceases to."""

    def send(server: Server, header: pb.ChangeHeader, timeout_s: float) -> pb.ChangeReply:
        request = pb.SetDrainingRequest(header=header, name=arguments.name, draining=draining)
        reply: pb.ChangeReply = server.stub.SetDraining(request, timeout=timeout_s)
        return reply

    return _run(ChangeCall(send, arguments))


def _run(call: ChangeCall) -> ExitCode:
    arguments = call.arguments
    change_id = arguments.change_id or uuid.uuid4().hex
    with connect_to_any(split_servers(arguments.server)) as server:
        header = pb.ChangeHeader(
            base_revision=_base_revision(server, arguments),
            change_id=change_id,
            author=arguments.author,
            dry_run=arguments.dry_run,
        )
        try:
            reply = call.send(server, header, arguments.timeout_s)
        except grpc.RpcError as error:
            raise _error_of(error, change_id) from None
    return _report(reply, arguments)


def _base_revision(server: Server, arguments: argparse.Namespace) -> int:
    if arguments.base is not None:
        return int(arguments.base)
    request = pb.GetConfigurationRequest()
    try:
        reply = server.stub.GetConfiguration(request, timeout=arguments.timeout_s)
    except grpc.RpcError as error:
        raise RefusedError(f"{server.address}: {error.details()}") from None
    return int(reply.revision)


def _error_of(error: grpc.RpcError, change_id: str) -> Exception:
    if error.code() in _NOT_ACTED:
        return RefusedError(str(error.details()))
    return UnknownOutcomeError(
        f"the host's answer was lost ({error.details()}); to find out what became of the change, "
        f"run the command again with --change-id {change_id}"
    )


def _report(reply: pb.ChangeReply, arguments: argparse.Namespace) -> ExitCode:
    status = status_from_schema(reply.status)
    if arguments.json:
        print_json(message_to_plain(reply))
        return EXIT_OF_STATUS[status]
    print_text(f"{status.value}: revision {reply.revision} is in force on the host that was asked")
    if reply.detail:
        print_text(reply.detail)
    if reply.HasField("winner"):
        winner = reply.winner
        print_text(
            f"won by change {winner.change_id} of {winner.author}, revision {winner.revision}"
        )
    if EXIT_OF_STATUS[status] is ExitCode.UNKNOWN_OUTCOME:
        print_text(f"run the command again with --change-id {reply.change_id} to find out")
    return EXIT_OF_STATUS[status]
