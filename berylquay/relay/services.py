"""What the exchanges of a relay host share: beliefs, decisions and connections."""

from collections import Counter
from collections.abc import Callable
from random import Random

from attrs import define, field

from berylquay.decisions.attempt_outcomes import AttemptLimits
from berylquay.decisions.backend_health import BackendHealth
from berylquay.decisions.backend_registry import BackendRegistry
from berylquay.decisions.crash_history import CrashHistory
from berylquay.decisions.engine_backlog import EngineBacklog
from berylquay.decisions.engine_estimates import EngineEstimates
from berylquay.decisions.engine_placement import PredictivePlacementPolicy
from berylquay.decisions.load_sharing_scope import LoadSharingScope
from berylquay.decisions.prefix_cache_index import PrefixCacheIndex
from berylquay.decisions.relay_admission import AdmissionOptions
from berylquay.decisions.shared_retry_budget import SharedRetryBudget
from berylquay.decisions.topology import Topology
from berylquay.relay.backend_pool import BackendPool
from berylquay.relay.measures import RelayMeasures
from berylquay.relay.news import News


@define
class RelayServices:
    """Shared by all exchanges of one process."""

    registry: BackendRegistry
    health: BackendHealth
    retries: SharedRetryBudget
    backlog: EngineBacklog
    locations: PrefixCacheIndex
    speeds: EngineEstimates
    placement: PredictivePlacementPolicy
    distances: Topology
    scope: LoadSharingScope
    # Contents under which backend servers were lost.
    suspects: CrashHistory
    connections: BackendPool
    measures: RelayMeasures
    rng: Random
    # Called when work was placed at an engine.
    on_new_work: Callable[[float], None]
    admission: AdmissionOptions = field(factory=AdmissionOptions)
    attempts: AttemptLimits = field(factory=AttemptLimits)
    # Hosts of the whole fleet, as far as is known, this one included.
    live_hosts: int = 1
    # Requests of this host under way at each plain backend server.
    under_way: Counter[str] = field(factory=Counter)
    # What this host has found out, for the other hosts.
    news: News = field(factory=News)
