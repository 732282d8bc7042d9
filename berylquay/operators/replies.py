"""Replies to the operators' calls, built from a view of the host."""

from typing import Final

from berylquay.decisions.fleet import BackendServer, EntryHost
from berylquay.operators.conversions import deployment_to_proto, last_change_to_proto
from berylquay.operators.generated import berylquay_pb2 as pb
from berylquay.operators.view import OperatorsView

# Age of a peer's last heartbeat above which its revision is reported as out of date.
MAX_PEER_REVISION_AGE_S: Final = 10.0


def configuration_to_proto(view: OperatorsView) -> pb.Configuration:
    """Returns the configuration in force."""
    configuration = view.configuration
    last_changes = (
        view.configuration_state.last_changes if view.configuration_state is not None else {}
    )
    return pb.Configuration(
        revision=configuration.revision,
        deployments=[deployment_to_proto(item) for item in configuration.deployments],
        draining=sorted(configuration.draining),
        last_changes={key: last_change_to_proto(last) for key, last in last_changes.items()},
        up_to_date=view.up_to_date,
        gap=view.has_gap,
        host=view.host,
        data_centre=view.data_centre,
    )


def host_to_proto(host: EntryHost, view: OperatorsView, now_s: float) -> pb.Host:
    """Returns an entry host of the membership list."""
    peer_revision = view.peer_revisions.get(host.name)
    is_this_host = host.name == view.host
    revision = (
        view.configuration.revision
        if is_this_host
        else (peer_revision.revision if peer_revision else 0)
    )
    is_recent = (
        peer_revision is not None and now_s - peer_revision.received_s < MAX_PEER_REVISION_AGE_S
    )
    return pb.Host(
        name=host.name,
        address=str(host.address),
        region=host.region,
        data_centre=host.data_centre,
        liveness=host.liveness.value,
        draining=host.name in view.configuration.draining,
        revision=revision,
        heard=is_this_host or is_recent,
    )


def this_host_to_proto(view: OperatorsView) -> pb.Host:
    """Returns this host's entry for when the membership list does not contain it."""
    return pb.Host(
        name=view.host,
        data_centre=view.data_centre,
        draining=view.host in view.configuration.draining,
        revision=view.configuration.revision,
        heard=True,
    )


def backend_to_proto(backend: BackendServer, view: OperatorsView) -> pb.Backend:
    """Returns a backend server of the membership list."""
    report = view.load_reports.get(backend.name)
    return pb.Backend(
        name=backend.name,
        kind=backend.kind.value,
        address=str(backend.address),
        region=backend.region,
        data_centre=backend.data_centre,
        pool=backend.pool,
        liveness=backend.liveness.value,
        draining=backend.name in view.configuration.draining,
        role=report.role.value if report else "",
        model=report.model if report else "",
        running=report.running if report else 0,
        waiting=report.waiting if report else 0,
    )
