"""The operators' calls: each runs in a thread and gets its answer from the loop over the bridge."""

import time
import uuid
from collections.abc import Iterator
from concurrent.futures import CancelledError, Future
from concurrent.futures import TimeoutError as FutureTimeoutError
from contextlib import suppress
from threading import BoundedSemaphore
from typing import Final, NoReturn, TypeVar

import grpc

from berylquay.decisions.configuration_state import Change, ChangeKind, ChangeOutcome, ChangeStatus
from berylquay.decisions.deployment import Deployment
from berylquay.decisions.deployment_diff import diff_deployments
from berylquay.decisions.deployment_validation import deployment_errors, weights_errors
from berylquay.decisions.pending_changes import OUTCOME_TIMEOUT_S
from berylquay.decisions.weight_lookups import WeightsKey
from berylquay.operators.bridge import OperatorsBridge
from berylquay.operators.conversions import (
    deployment_from_proto,
    outcome_to_proto,
)
from berylquay.operators.generated import berylquay_pb2 as pb
from berylquay.operators.generated.berylquay_pb2_grpc import OperatorsServicer
from berylquay.operators.replies import (
    backend_to_proto,
    configuration_to_proto,
    host_to_proto,
    this_host_to_proto,
)
from berylquay.operators.view import OperatorsView

T = TypeVar("T")
# Timeout for answers of the loop that need no record to be appended to the log.
LOOP_RESPONSE_TIMEOUT_S: Final = 5.0
# Interval at which the thread of a watch call checks that its client is still connected.
CLIENT_CHECK_INTERVAL_S: Final = 1.0
# Maximum number of concurrent watch calls; each occupies a thread.
MAX_WATCH_CALLS: Final = 8


class Servicer(OperatorsServicer):
    """Serves the operators' calls of one host."""

    # Passes requests to the loop.
    _bridge: OperatorsBridge
    # Limits the watch calls, so that threads are left for the other calls.
    _watch_slots: BoundedSemaphore

    def __init__(self, bridge: OperatorsBridge) -> None:
        self._bridge = bridge
        self._watch_slots = BoundedSemaphore(MAX_WATCH_CALLS)

    def ApplyDeployment(  # noqa: N802 (gRPC gives the name)
        self, request: pb.ApplyDeploymentRequest, context: grpc.ServicerContext
    ) -> pb.ChangeReply:
        """Replaces the deployment of the same name, or adds the deployment."""
        deployment = _parse_deployment(request.deployment, context)
        return self._submit_change(request.header, ChangeKind.APPLY, deployment.name, deployment)

    def RemoveDeployment(  # noqa: N802
        self, request: pb.RemoveDeploymentRequest, context: grpc.ServicerContext
    ) -> pb.ChangeReply:
        """Removes a deployment."""
        return self._submit_change(request.header, ChangeKind.REMOVE, request.name)

    def SetDraining(  # noqa: N802
        self, request: pb.SetDrainingRequest, context: grpc.ServicerContext
    ) -> pb.ChangeReply:
        """Drains a host or backend server, or ends its drain."""
        self._abort_if_unknown(request.name, context)
        kind = ChangeKind.DRAIN if request.draining else ChangeKind.UNDRAIN
        return self._submit_change(request.header, kind, request.name)

    def GetConfiguration(  # noqa: N802
        self, request: pb.GetConfigurationRequest, context: grpc.ServicerContext
    ) -> pb.Configuration:
        """Returns the configuration in force."""
        return configuration_to_proto(self._get_view(context))

    def DiffDeployment(  # noqa: N802
        self, request: pb.DiffDeploymentRequest, context: grpc.ServicerContext
    ) -> pb.DiffReply:
        """Returns how a deployment differs from the one in force."""
        given = _parse_deployment(request.deployment, context)
        configuration = self._get_view(context).configuration
        in_force = next((d for d in configuration.deployments if d.name == given.name), None)
        differences = [
            pb.Difference(path=item.path, in_force=item.in_force, given=item.given)
            for item in diff_deployments(in_force, given)
        ]
        return pb.DiffReply(revision=configuration.revision, differences=differences)

    def WatchConfiguration(  # noqa: N802
        self, request: pb.WatchConfigurationRequest, context: grpc.ServicerContext
    ) -> Iterator[pb.Configuration]:
        """Yields each newer configuration when it comes into force."""
        if not self._watch_slots.acquire(blocking=False):
            context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, "too many calls watch this host")
        try:
            newer_than_revision = request.newer_than_revision or -1
            while context.is_active():
                future = self._bridge.request_view(newer_than_revision)
                view = self._wait_for_view(future, context)
                if view is None:
                    return
                newer_than_revision = view.configuration.revision
                yield configuration_to_proto(view)
        finally:
            self._watch_slots.release()

    def ListHosts(  # noqa: N802
        self, request: pb.ListHostsRequest, context: grpc.ServicerContext
    ) -> pb.ListHostsReply:
        """Returns the entry hosts with the last known revision in force on each."""
        view = self._get_view(context)
        now_s = time.monotonic()
        hosts = [host_to_proto(host, view, now_s) for host in view.membership.hosts]
        if all(host.name != view.host for host in hosts):
            hosts.insert(0, this_host_to_proto(view))
        return pb.ListHostsReply(hosts=hosts)

    def ListBackends(  # noqa: N802
        self, request: pb.ListBackendsRequest, context: grpc.ServicerContext
    ) -> pb.ListBackendsReply:
        """Returns the backend servers and the holders of the authority over them."""
        view = self._get_view(context)
        return pb.ListBackendsReply(
            backends=[backend_to_proto(backend, view) for backend in view.membership.backends],
            authorities=[
                pb.Authority(data_centre=name, holder=authority.holder, term=authority.term)
                for name, authority in sorted(view.authorities.items())
            ],
        )

    def _submit_change(
        self,
        header: pb.ChangeHeader,
        kind: ChangeKind,
        name: str,
        deployment: Deployment | None = None,
    ) -> pb.ChangeReply:
        change_id = header.change_id or uuid.uuid4().hex
        change = Change(change_id, kind, name, header.base_revision, header.author, deployment)
        errors = self._validate_deployment(deployment) if deployment is not None else []
        if errors:
            detail = "; ".join(errors)
            invalid = ChangeOutcome(change_id, ChangeStatus.INVALID, 0, detail=detail)
            return outcome_to_proto(invalid)
        future = self._bridge.submit_change(change, header.dry_run)
        try:
            outcome = future.result(OUTCOME_TIMEOUT_S + LOOP_RESPONSE_TIMEOUT_S)
        except FutureTimeoutError:
            detail = "this host did not answer in time"
            outcome = ChangeOutcome(change_id, ChangeStatus.UNKNOWN, 0, detail=detail)
        return outcome_to_proto(outcome)

    def _validate_deployment(self, deployment: Deployment) -> list[str]:
        errors = deployment_errors(deployment)
        if errors or not self._bridge.has_weight_store:
            return errors
        lookups = [
            (model, self._bridge.look_up_weights(WeightsKey(model.name, model.version)))
            for model in deployment.models
        ]
        for model, future in lookups:
            # An unreachable store does not block operators: engines keep the weights they run.
            with suppress(FutureTimeoutError):
                errors += weights_errors(model, future.result(LOOP_RESPONSE_TIMEOUT_S))
        return errors

    def _abort_if_unknown(self, name: str, context: grpc.ServicerContext) -> None:
        view = self._get_view(context)
        names = {host.name for host in view.membership.hosts}
        names.update(backend.name for backend in view.membership.backends)
        if name in names or name in view.configuration.draining or name == view.host:
            return
        if not view.membership.version:
            _abort_invalid_argument(
                context, f"no membership list was read yet, so {name!r} is not known"
            )
        _abort_invalid_argument(context, f"there is no host or backend server {name!r}")

    def _get_view(self, context: grpc.ServicerContext) -> OperatorsView:
        return _wait_for_result(self._bridge.request_view(), context)

    def _wait_for_view(
        self, future: "Future[OperatorsView]", context: grpc.ServicerContext
    ) -> OperatorsView | None:
        while context.is_active():
            try:
                return future.result(CLIENT_CHECK_INTERVAL_S)
            except FutureTimeoutError:
                continue
            except CancelledError:
                # With the status OK, the watch would seem to be complete.
                context.abort(grpc.StatusCode.UNAVAILABLE, "this host is stopping")
        future.cancel()
        return None


def _wait_for_result(future: "Future[T]", context: grpc.ServicerContext) -> T:
    try:
        return future.result(LOOP_RESPONSE_TIMEOUT_S)
    except FutureTimeoutError:
        context.abort(grpc.StatusCode.UNAVAILABLE, "this host did not answer in time")
        raise


def _abort_invalid_argument(context: grpc.ServicerContext, detail: str) -> NoReturn:
    context.abort(grpc.StatusCode.INVALID_ARGUMENT, detail)
    raise AssertionError(detail)


def _parse_deployment(message: pb.Deployment, context: grpc.ServicerContext) -> Deployment:
    try:
        return deployment_from_proto(message)
    except ValueError as error:
        _abort_invalid_argument(context, str(error))
