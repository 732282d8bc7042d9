"""Services that the relayed requests of a host share: cached views, policies and connections."""

from collections import Counter
from collections.abc import Callable
from random import Random

from attrs import define, field

from berylquay.decisions.attempt_outcomes import AttemptLimits
from berylquay.decisions.backend_health import BackendHealth
from berylquay.decisions.backend_registry import BackendEntry, BackendRegistry
from berylquay.decisions.crash_history import CrashHistory
from berylquay.decisions.engine_backlog import EngineBacklog
from berylquay.decisions.engine_estimates import EngineEstimates
from berylquay.decisions.engine_placement import PredictivePlacementPolicy
from berylquay.decisions.load_sharing_scope import LoadSharingScope
from berylquay.decisions.pool_version_history import PoolVersionHistory
from berylquay.decisions.prefix_cache_index import PrefixCacheIndex
from berylquay.decisions.relay_admission import AdmissionOptions
from berylquay.decisions.relay_call import RelayCall
from berylquay.decisions.scaling.demand import DemandMeter
from berylquay.decisions.server_starts import ServerStarts
from berylquay.decisions.shared_retry_budget import SharedRetryBudget
from berylquay.decisions.topology import Topology
from berylquay.net.persistent_http import PersistentConnection
from berylquay.net.unexpected_errors import UnexpectedErrors
from berylquay.relay.connection_pool import BackendConnectionPool
from berylquay.relay.instance_probes import InstanceProbes
from berylquay.relay.metrics import RelayMetrics
from berylquay.relay.path_monitor import PathMonitor
from berylquay.relay.pending_updates import PendingUpdates
from berylquay.relay.pool_version_store import PoolVersionStore
from berylquay.relay.segment_crash_handler import SegmentCrashHandler
from berylquay.relay.stream_version_exchange import StreamVersionExchange
from berylquay.relay.stream_version_store import StreamVersionStore
from berylquay.relay.tenant_use_exchange import TenantUseExchange
from berylquay.relay.upstream_request import NoticeListener, UpstreamRequest


@define
class RelayServices:
    """Shared by all relayed requests of one process."""

    registry: BackendRegistry
    health: BackendHealth
    retry_budget: SharedRetryBudget
    backlog: EngineBacklog
    prefix_cache_index: PrefixCacheIndex
    estimates: EngineEstimates
    placement: PredictivePlacementPolicy
    topology: Topology
    load_sharing_scope: LoadSharingScope
    # Crashes of backend servers, by the content of the request that they ran.
    crash_history: CrashHistory
    # Crashes of engines, by the prompt segments that they were answering.
    segment_crashes: SegmentCrashHandler
    # Software versions at which callers' streams began, and those that pools have had.
    stream_versions: StreamVersionExchange
    pool_versions: PoolVersionHistory
    # The same in the store, for hosts that all start anew.
    pool_version_store: PoolVersionStore
    stream_version_store: StreamVersionStore
    # Work of each tenant, of this host and of those that exchange load reports with it.
    tenant_use: TenantUseExchange
    connection_pool: BackendConnectionPool
    # Starts of servers that are known to have run.
    server_starts: ServerStarts
    # Asks servers whether they still run.
    instance_probes: InstanceProbes
    # Whether this host reaches the servers by connections of its own.
    path_monitor: PathMonitor
    metrics: RelayMetrics
    rng: Random
    # Called with the monotonic time when work was placed at an engine.
    on_work_placed: Callable[[float], None]
    # Called with what an answer states of its server.
    on_server_notice: NoticeListener
    # Called with the monotonic time before work is placed, to learn the newest load.
    receive_reports: Callable[[float], None]
    # Called with the tenant when a request begins to run at a server; None without usage reports.
    on_request_began: Callable[[str], None] | None = None
    admission: AdmissionOptions = field(factory=AdmissionOptions)
    attempts: AttemptLimits = field(factory=AttemptLimits)
    # Hosts of the whole fleet that are known, this one included.
    live_host_count: int = 1
    # Requests of this host in flight at each backend server that is no engine, by its name.
    in_flight: Counter[str] = field(factory=Counter)
    # What reaches this host, by pool.
    demand: DemandMeter = field(factory=DemandMeter)
    # Requests to free a KV cache that have not ended.
    open_releases: list[UpstreamRequest] = field(factory=list)
    # Records errors that were not expected.
    errors: UnexpectedErrors = field(factory=UnexpectedErrors)
    # Updates to send to the other hosts.
    pending_updates: PendingUpdates = field(factory=PendingUpdates)

    def may_begin_at(self, call: RelayCall, software_version: str) -> bool:
        """Tells whether a stream that may be continued later may begin at servers of a version.

        The caller of this method prefers these servers, and uses others if there are none.
        """
        if not (call.route.resumable and call.route.streaming) or call.stream_version is not None:
            return True
        return software_version in self.pool_versions.recorded_versions(call.pool.name)

    def acquire_connection(
        self,
        backend: BackendEntry,
        require_new: bool,
        now_s: float,
        *,
        may_use_gateway: bool = True,
        at_listed_start: bool = False,
    ) -> PersistentConnection:
        """Returns a connection for one request, which counts against the server's limit.

        Args:
            backend: Backend server to connect to.
            require_new: Whether to open a new connection in any case.
            now_s: Present time.
            may_use_gateway: Whether the request may come from another host.
            at_listed_start: Whether to prefer an idle connection that is known to lead to the start
                in the entry.
        """
        self.registry.notices.limits.on_request_sent(backend.instance, now_s)
        if at_listed_start:
            connection = self.connection_pool.acquire_at_start(backend, now_s)
            if connection is not None:
                return connection
        return self.connection_pool.acquire(
            backend, require_new, now_s, may_use_gateway=may_use_gateway
        )
