"""Commands that change the configuration."""

import argparse
import uuid
from collections.abc import Callable

import grpc
from attrs import frozen

from berylquay.command.client import (
    RefusedError,
    ServerConnection,
    UnknownOutcomeError,
    connect_to_any,
    parse_server_addresses,
)
from berylquay.command.exit_codes import EXIT_CODE_BY_STATUS, ExitCode
from berylquay.command.printing import message_to_dict, print_json, print_text
from berylquay.decisions.deployment import Deployment
from berylquay.operators.conversions import deployment_to_proto, status_from_proto
from berylquay.operators.generated import berylquay_pb2 as pb

# Status codes that guarantee that the host did not apply the change.
_NO_EFFECT_STATUS_CODES = (grpc.StatusCode.INVALID_ARGUMENT, grpc.StatusCode.RESOURCE_EXHAUSTED)


@frozen
class ChangeCommand:
    """A change to send to a host, and the parsed command line."""

    send: Callable[[ServerConnection, pb.ChangeHeader, float], pb.ChangeReply]
    arguments: argparse.Namespace


def apply_deployment(arguments: argparse.Namespace, deployment: Deployment) -> ExitCode:
    """Applies a deployment and returns the exit code."""

    def send(server: ServerConnection, header: pb.ChangeHeader, timeout_s: float) -> pb.ChangeReply:
        message = deployment_to_proto(deployment)
        request = pb.ApplyDeploymentRequest(header=header, deployment=message)
        reply: pb.ChangeReply = server.stub.ApplyDeployment(request, timeout=timeout_s)
        return reply

    return _run_change(ChangeCommand(send, arguments))


def remove_deployment(arguments: argparse.Namespace) -> ExitCode:
    """Removes a deployment and returns the exit code."""

    def send(server: ServerConnection, header: pb.ChangeHeader, timeout_s: float) -> pb.ChangeReply:
        request = pb.RemoveDeploymentRequest(header=header, name=arguments.name)
        reply: pb.ChangeReply = server.stub.RemoveDeployment(request, timeout=timeout_s)
        return reply

    return _run_change(ChangeCommand(send, arguments))


def set_draining(arguments: argparse.Namespace, draining: bool) -> ExitCode:
    """Starts or ends the draining of a host or backend server and returns the exit code."""

    def send(server: ServerConnection, header: pb.ChangeHeader, timeout_s: float) -> pb.ChangeReply:
        request = pb.SetDrainingRequest(header=header, name=arguments.name, draining=draining)
        reply: pb.ChangeReply = server.stub.SetDraining(request, timeout=timeout_s)
        return reply

    return _run_change(ChangeCommand(send, arguments))


def _run_change(command: ChangeCommand) -> ExitCode:
    arguments = command.arguments
    change_id = arguments.change_id or uuid.uuid4().hex
    with connect_to_any(parse_server_addresses(arguments.server)) as server:
        header = pb.ChangeHeader(
            base_revision=_get_base_revision(server, arguments),
            change_id=change_id,
            author=arguments.author,
            dry_run=arguments.dry_run,
        )
        try:
            reply = command.send(server, header, arguments.timeout_s)
        except grpc.RpcError as error:
            raise _convert_rpc_error(error, change_id) from None
    return _print_reply(reply, arguments)


def _get_base_revision(server: ServerConnection, arguments: argparse.Namespace) -> int:
    if arguments.base is not None:
        return int(arguments.base)
    request = pb.GetConfigurationRequest()
    try:
        reply = server.stub.GetConfiguration(request, timeout=arguments.timeout_s)
    except grpc.RpcError as error:
        raise RefusedError(f"{server.address}: {error.details()}") from None
    return int(reply.revision)


def _convert_rpc_error(error: grpc.RpcError, change_id: str) -> Exception:
    if error.code() in _NO_EFFECT_STATUS_CODES:
        return RefusedError(str(error.details()))
    return UnknownOutcomeError(
        f"the host's answer was lost ({error.details()}); to find out what became of the change, "
        f"run the command again with --change-id {change_id}"
    )


def _print_reply(reply: pb.ChangeReply, arguments: argparse.Namespace) -> ExitCode:
    status = status_from_proto(reply.status)
    if arguments.json:
        print_json(message_to_dict(reply))
        return EXIT_CODE_BY_STATUS[status]
    print_text(f"{status.value}: revision {reply.revision} is in force on the host that was asked")
    if reply.detail:
        print_text(reply.detail)
    if reply.HasField("winner"):
        winner = reply.winner
        print_text(
            f"won by change {winner.change_id} of {winner.author}, revision {winner.revision}"
        )
    if EXIT_CODE_BY_STATUS[status] is ExitCode.UNKNOWN_OUTCOME:
        print_text(f"run the command again with --change-id {reply.change_id} to find out")
    return EXIT_CODE_BY_STATUS[status]
