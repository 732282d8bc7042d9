"""Replies of the operators' calls, made from a view of the host."""

from typing import Final

from berylquay.decisions.fleet import BackendServer, EntryHost
from berylquay.operators.conversions import deployment_to_schema, last_change_to_schema
from berylquay.operators.generated import berylquay_pb2 as pb
from berylquay.operators.view import OperatorsView

# Time after which a peer's revision counts as old.
HEARD_LATELY_S: Final = 10.0


def configuration_of(view: OperatorsView) -> pb.Configuration:
    """Returns the configuration in force."""
    configuration = view.configuration
    changes = view.state.last_changes if view.state is not None else {}
    return pb.Configuration(
        revision=configuration.revision,
        deployments=[deployment_to_schema(item) for item in configuration.deployments],
        draining=sorted(configuration.draining),
        last_changes={key: last_change_to_schema(last) for key, last in changes.items()},
        up_to_date=view.up_to_date,
        gap=view.gap,
        host=view.host,
        data_centre=view.data_centre,
    )


def host_of(host: EntryHost, view: OperatorsView, now_s: float) -> pb.Host:
    """Returns an entry host of the membership list."""
    heard = view.heard.get(host.name)
    here = host.name == view.host
    revision = view.configuration.revision if here else (heard.revision if heard else 0)
    lately = heard is not None and now_s - heard.heard_s < HEARD_LATELY_S
    return pb.Host(
        name=host.name,
        address=str(host.address),
        region=host.region,
        data_centre=host.data_centre,
        liveness=host.liveness.value,
        draining=host.name in view.configuration.draining,
        revision=revision,
        heard=here or lately,
    )


def this_host(view: OperatorsView) -> pb.Host:
    """Returns the host that was asked, if the membership list does not have it."""
    return pb.Host(
        name=view.host,
        data_centre=view.data_centre,
        draining=view.host in view.configuration.draining,
        revision=view.configuration.revision,
        heard=True,
    )


def backend_of(backend: BackendServer, view: OperatorsView) -> pb.Backend:
    """Returns a backend server of the membership list."""
    report = view.loads.get(backend.name)
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
