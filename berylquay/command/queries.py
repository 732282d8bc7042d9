"""Commands that only read."""

import argparse
from collections.abc import Iterator

import grpc

from berylquay.command.client import (
    RefusedError,
    Server,
    UnreachableError,
    connect,
    connect_to_any,
    split_servers,
)
from berylquay.command.exits import ExitCode
from berylquay.command.printing import (
    message_to_plain,
    print_json,
    print_table,
    print_text,
    yes_no,
)
from berylquay.decisions.deployment import Deployment
from berylquay.operators.conversions import deployment_to_schema
from berylquay.operators.generated import berylquay_pb2 as pb


def show_configuration(arguments: argparse.Namespace) -> ExitCode:
    """Shows the configuration in force, or one deployment of it."""
    with connect_to_any(split_servers(arguments.server)) as server:
        reply = _configuration(server, arguments.timeout_s)
    if arguments.name is None:
        _print_configuration(reply, arguments.json)
        return ExitCode.OK
    found = next((item for item in reply.deployments if item.name == arguments.name), None)
    if found is None:
        raise RefusedError(f"there is no deployment {arguments.name} at revision {reply.revision}")
    if arguments.json:
        print_json(message_to_plain(found))
    else:
        print_text(str(found).rstrip())
    return ExitCode.OK


def watch_configuration(arguments: argparse.Namespace) -> ExitCode:
    """Shows each configuration as it comes into force."""
    with connect_to_any(split_servers(arguments.server)) as server:
        seen = 0
        try:
            for reply in _watch(server):
                _print_configuration(reply, arguments.json)
                seen += 1
                if seen == arguments.count:
                    return ExitCode.OK
        except grpc.RpcError as error:
            raise UnreachableError(f"{server.address}: {error.details()}") from None
    return ExitCode.OK


def show_differences(arguments: argparse.Namespace, deployment: Deployment) -> ExitCode:
    """Compares a deployment with what is in force."""
    with connect_to_any(split_servers(arguments.server)) as server:
        request = pb.DiffDeploymentRequest(deployment=deployment_to_schema(deployment))
        try:
            reply = server.stub.DiffDeployment(request, timeout=arguments.timeout_s)
        except grpc.RpcError as error:
            raise _refused(server, error) from None
    if arguments.json:
        print_json(message_to_plain(reply))
    elif reply.differences:
        rows = [(item.path, item.in_force, item.given) for item in reply.differences]
        print_table(("value", f"in force at {reply.revision}", "in the file"), rows)
    else:
        print_text(f"no difference at revision {reply.revision}")
    return ExitCode.DIFFERENT if arguments.exit_code and reply.differences else ExitCode.OK


def list_hosts(arguments: argparse.Namespace) -> ExitCode:
    """Lists the entry hosts."""
    with connect_to_any(split_servers(arguments.server)) as server:
        reply = _hosts(server, arguments.timeout_s)
    if arguments.json:
        print_json(message_to_plain(reply))
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
    heads = ("host", "address", "region", "data centre", "state", "draining", "revision", "heard")
    print_table(heads, rows)
    return ExitCode.OK


def list_backends(arguments: argparse.Namespace) -> ExitCode:
    """Lists the backend servers and who holds the authority over them."""
    with connect_to_any(split_servers(arguments.server)) as server:
        try:
            request = pb.ListBackendsRequest()
            reply = server.stub.ListBackends(request, timeout=arguments.timeout_s)
        except grpc.RpcError as error:
            raise _refused(server, error) from None
    if arguments.json:
        print_json(message_to_plain(reply))
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
    heads = ("backend", "kind", "address", "data centre", "pool", "state", "draining")
    print_table((*heads, "role", "model", "running+waiting"), rows)
    for authority in reply.authorities:
        holder = authority.holder or "nobody"
        print_text(f"orders in {authority.data_centre}: {holder}, term {authority.term}")
    return ExitCode.OK


def show_revisions(arguments: argparse.Namespace) -> ExitCode:
    """Shows the revision in force on each host that was named, and on those they heard from."""
    rows: dict[str, dict[str, object]] = {}
    reached = 0
    for address in split_servers(arguments.server):
        try:
            with connect(address) as server:
                _add_revisions(rows, server, arguments.timeout_s)
                reached += 1
        except UnreachableError:
            rows.setdefault(address, _row(address, "?", 0, "unreachable"))
    if not reached:
        raise UnreachableError("no host answers")
    ordered = sorted(rows.values(), key=lambda row: (str(row["data_centre"]), str(row["host"])))
    if arguments.json:
        print_json({"hosts": ordered})
        return ExitCode.OK
    heads = ("host", "data_centre", "revision", "source")
    print_table(heads, [[row[head] for head in heads] for row in ordered])
    return ExitCode.OK


def _add_revisions(rows: dict[str, dict[str, object]], server: Server, timeout_s: float) -> None:
    reply = _configuration(server, timeout_s)
    source = "asked" if reply.up_to_date else "asked; cannot read the log to its end"
    rows[reply.host] = _row(reply.host, reply.data_centre, reply.revision, source)
    for host in _hosts(server, timeout_s).hosts:
        if host.name == reply.host:
            continue
        source = f"heard by {reply.host}" if host.heard else f"not heard by {reply.host} lately"
        row = _row(host.name, host.data_centre, host.revision, source)
        known = rows.get(host.name)
        if known is None or int(str(known["revision"])) < host.revision:
            rows[host.name] = row


def _row(host: str, data_centre: str, revision: int, source: str) -> dict[str, object]:
    return {"host": host, "data_centre": data_centre, "revision": revision, "source": source}


def _configuration(server: Server, timeout_s: float) -> pb.Configuration:
    try:
        request = pb.GetConfigurationRequest()
        reply: pb.Configuration = server.stub.GetConfiguration(request, timeout=timeout_s)
    except grpc.RpcError as error:
        raise _refused(server, error) from None
    return reply


def _hosts(server: Server, timeout_s: float) -> pb.ListHostsReply:
    try:
        request = pb.ListHostsRequest()
        reply: pb.ListHostsReply = server.stub.ListHosts(request, timeout=timeout_s)
    except grpc.RpcError as error:
        raise _refused(server, error) from None
    return reply


def _watch(server: Server) -> Iterator[pb.Configuration]:
    yield from server.stub.WatchConfiguration(pb.WatchConfigurationRequest())


def _refused(server: Server, error: grpc.RpcError) -> Exception:
    if error.code() in (grpc.StatusCode.UNAVAILABLE, grpc.StatusCode.DEADLINE_EXCEEDED):
        return UnreachableError(f"{server.address}: {error.details()}")
    return RefusedError(f"{server.address}: {error.details()}")


def _print_configuration(reply: pb.Configuration, as_json: bool) -> None:
    if as_json:
        print_json(message_to_plain(reply))
        return
    place = f"on {reply.host} in {reply.data_centre}"
    state = "up to date" if reply.up_to_date else "not up to date with the log"
    print_text(f"revision {reply.revision} {place}, {state}")
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
    heads = ("deployment", "changed at", "by", "models", "classes", "tenants")
    print_table((*heads, "role_change_weight"), rows)
    if reply.draining:
        print_text("draining: " + ", ".join(reply.draining))
