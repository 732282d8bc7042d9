"""Read-only commands."""

import argparse
from collections.abc import Iterator

import grpc

from berylquay.command.client import (
    RefusedError,
    ServerConnection,
    UnreachableError,
    connect,
    connect_to_any,
    parse_server_addresses,
)
from berylquay.command.exit_codes import ExitCode
from berylquay.command.printing import (
    message_to_dict,
    print_json,
    print_table,
    print_text,
    yes_no,
)
from berylquay.decisions.deployment import Deployment
from berylquay.operators.conversions import deployment_to_proto
from berylquay.operators.generated import berylquay_pb2 as pb


def show_configuration(arguments: argparse.Namespace) -> ExitCode:
    """Shows the configuration in force, or only the named deployment in full."""
    with connect_to_any(parse_server_addresses(arguments.server)) as server:
        reply = _get_configuration(server, arguments.timeout_s)
    if arguments.name is None:
        _print_configuration(reply, arguments.json)
        return ExitCode.OK
    deployment = next((item for item in reply.deployments if item.name == arguments.name), None)
    if deployment is None:
        raise RefusedError(f"there is no deployment {arguments.name} at revision {reply.revision}")
    if arguments.json:
        print_json(message_to_dict(deployment))
    else:
        print_text(str(deployment).rstrip())
    return ExitCode.OK


def watch_configuration(arguments: argparse.Namespace) -> ExitCode:
    """Shows each configuration as it comes into force, up to `--count` of them."""
    with connect_to_any(parse_server_addresses(arguments.server)) as server:
        shown_count = 0
        try:
            for reply in _stream_configurations(server):
                _print_configuration(reply, arguments.json)
                shown_count += 1
                if shown_count == arguments.count:
                    return ExitCode.OK
        except grpc.RpcError as error:
            raise UnreachableError(f"{server.address}: {error.details()}") from None
        # Hosts of earlier builds end a watch with the status OK when they stop.
        raise UnreachableError(f"{server.address}: the host has ended the watch")


def show_differences(arguments: argparse.Namespace, deployment: Deployment) -> ExitCode:
    """Compares a deployment with the configuration in force."""
    with connect_to_any(parse_server_addresses(arguments.server)) as server:
        request = pb.DiffDeploymentRequest(deployment=deployment_to_proto(deployment))
        try:
            reply = server.stub.DiffDeployment(request, timeout=arguments.timeout_s)
        except grpc.RpcError as error:
            raise _convert_rpc_error(server, error) from None
    if arguments.json:
        print_json(message_to_dict(reply))
    elif reply.differences:
        rows = [(item.path, item.in_force, item.given) for item in reply.differences]
        print_table(("value", f"in force at {reply.revision}", "in the file"), rows)
    else:
        print_text(f"no difference at revision {reply.revision}")
    return ExitCode.DIFFERENT if arguments.exit_code and reply.differences else ExitCode.OK


def list_hosts(arguments: argparse.Namespace) -> ExitCode:
    """Lists the entry hosts."""
    with connect_to_any(parse_server_addresses(arguments.server)) as server:
        reply = _list_hosts(server, arguments.timeout_s)
    if arguments.json:
        print_json(message_to_dict(reply))
        return ExitCode.OK
    rows = [
        (
            host.name,
            host.address,
            host.region,
            host.data_centre,
            host.liveness,
            yes_no(host.draining),
            host.revision,
            yes_no(host.heard),
        )
        for host in reply.hosts
    ]
    headers = ("host", "address", "region", "data centre", "state", "draining", "revision", "heard")
    print_table(headers, rows)
    return ExitCode.OK


def list_backends(arguments: argparse.Namespace) -> ExitCode:
    """Lists the backend servers and, per data centre, the holder of the authority over them."""
    with connect_to_any(parse_server_addresses(arguments.server)) as server:
        try:
            request = pb.ListBackendsRequest()
            reply = server.stub.ListBackends(request, timeout=arguments.timeout_s)
        except grpc.RpcError as error:
            raise _convert_rpc_error(server, error) from None
    if arguments.json:
        print_json(message_to_dict(reply))
        return ExitCode.OK
    rows = [
        (
            backend.name,
            backend.kind,
            backend.address,
            backend.data_centre,
            backend.pool,
            backend.liveness,
            yes_no(backend.draining),
            backend.role or "-",
            backend.model or "-",
            f"{backend.running}+{backend.waiting}",
        )
        for backend in reply.backends
    ]
    headers = ("backend", "kind", "address", "data centre", "pool", "state", "draining")
    print_table((*headers, "role", "model", "running+waiting"), rows)
    for authority in reply.authorities:
        holder = authority.holder or "nobody"
        print_text(f"orders in {authority.data_centre}: {holder}, term {authority.term}")
    return ExitCode.OK


def show_revisions(arguments: argparse.Namespace) -> ExitCode:
    """Shows the revision in force on each queried host and on the hosts that these know of.

    Of several reports on one host, the one with the highest revision is shown.
    """
    rows: dict[str, dict[str, object]] = {}
    reached_count = 0
    for address in parse_server_addresses(arguments.server):
        try:
            with connect(address) as server:
                _add_revision_rows(rows, server, arguments.timeout_s)
                reached_count += 1
        except UnreachableError:
            rows.setdefault(address, _make_revision_row(address, "?", 0, "unreachable"))
    if not reached_count:
        raise UnreachableError("no host answers")
    sorted_rows = sorted(rows.values(), key=lambda row: (str(row["data_centre"]), str(row["host"])))
    if arguments.json:
        print_json({"hosts": sorted_rows})
        return ExitCode.OK
    headers = ("host", "data_centre", "revision", "source")
    print_table(headers, [[row[header] for header in headers] for row in sorted_rows])
    return ExitCode.OK


def _add_revision_rows(
    rows: dict[str, dict[str, object]], server: ServerConnection, timeout_s: float
) -> None:
    reply = _get_configuration(server, timeout_s)
    source = "asked" if reply.up_to_date else "asked; cannot read the log to its end"
    rows[reply.host] = _make_revision_row(reply.host, reply.data_centre, reply.revision, source)
    for host in _list_hosts(server, timeout_s).hosts:
        if host.name == reply.host:
            continue
        source = f"heard by {reply.host}" if host.heard else f"not heard by {reply.host} lately"
        row = _make_revision_row(host.name, host.data_centre, host.revision, source)
        existing_row = rows.get(host.name)
        if existing_row is None or int(str(existing_row["revision"])) < host.revision:
            rows[host.name] = row


def _make_revision_row(
    host: str, data_centre: str, revision: int, source: str
) -> dict[str, object]:
    return {"host": host, "data_centre": data_centre, "revision": revision, "source": source}


def _get_configuration(server: ServerConnection, timeout_s: float) -> pb.Configuration:
    try:
        request = pb.GetConfigurationRequest()
        reply: pb.Configuration = server.stub.GetConfiguration(request, timeout=timeout_s)
    except grpc.RpcError as error:
        raise _convert_rpc_error(server, error) from None
    return reply


def _list_hosts(server: ServerConnection, timeout_s: float) -> pb.ListHostsReply:
    try:
        request = pb.ListHostsRequest()
        reply: pb.ListHostsReply = server.stub.ListHosts(request, timeout=timeout_s)
    except grpc.RpcError as error:
        raise _convert_rpc_error(server, error) from None
    return reply


def _stream_configurations(server: ServerConnection) -> Iterator[pb.Configuration]:
    yield from server.stub.WatchConfiguration(pb.WatchConfigurationRequest())


def _convert_rpc_error(server: ServerConnection, error: grpc.RpcError) -> Exception:
    if error.code() in (grpc.StatusCode.UNAVAILABLE, grpc.StatusCode.DEADLINE_EXCEEDED):
        return UnreachableError(f"{server.address}: {error.details()}")
    return RefusedError(f"{server.address}: {error.details()}")


def _print_configuration(reply: pb.Configuration, as_json: bool) -> None:
    if as_json:
        print_json(message_to_dict(reply))
        return
    location = f"on {reply.host} in {reply.data_centre}"
    state = "up to date" if reply.up_to_date else "not up to date with the log"
    print_text(f"revision {reply.revision} {location}, {state}")
    rows = [
        (
            item.name,
            reply.last_changes[f"deployment/{item.name}"].revision or "-",
            reply.last_changes[f"deployment/{item.name}"].author or "-",
            ", ".join(f"{model.name}@{model.version}" for model in item.models),
            len(item.classes),
            len(item.tenants),
            item.role_change_weight,
        )
        for item in reply.deployments
    ]
    headers = ("deployment", "changed at", "by", "models", "classes", "tenants")
    print_table((*headers, "role_change_weight"), rows)
    if reply.draining:
        print_text("draining: " + ", ".join(reply.draining))
