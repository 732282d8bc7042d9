"""Messages between the components of one process.

Each message is an attrs class; it travels as the single argument of the circuits event that is
named after it (see `berylquay.net.bus`). Components own their sockets and state and know each other
only by these.
"""

from attrs import frozen

from berylquay.call_verdicts import Refusal, Verdict
from berylquay.decisions.calls import Attempt, Call
from berylquay.decisions.configuration_state import Change, ChangeOutcome, ConfigurationState
from berylquay.decisions.deployment import Configuration
from berylquay.decisions.engine_orders import EngineState, OrderSendOutcome
from berylquay.decisions.fleet import LoadReport, MembershipView
from berylquay.decisions.roles import RoleChange
from berylquay.decisions.weight_lookups import WeightsInfo, WeightsKey
from berylquay.peers.payloads import DrainNotice, PeerPayload
from berylquay.standalone.records import LogRecord, NewRecord


@frozen
class Tick:
    """ticker -> all: the monotonic time, at a steady interval."""

    now_s: float


@frozen
class CallReceived:
    """callers -> dispatch, once: a checked request wants an answer.

    Dispatch runs it at once if it may be repeated, and else waits for `CallGranted`.
    """

    call: Call


@frozen
class CallGranted:
    """once -> dispatch: a call that may not be repeated may run on this host now."""

    call: Call


@frozen
class CallerGone:
    """callers -> dispatch: nobody waits for the call's answer any more."""

    call_id: str


@frozen
class TokensForCaller:
    """The next tokens of an answer, without gap or repetition."""

    call_id: str
    # Index of the first of the tokens.
    first_index: int
    texts: tuple[str, ...]


@frozen
class TokensForCallers:
    """dispatch -> callers: the next tokens of several answers."""

    batch: tuple[TokensForCaller, ...]


@frozen
class CallCompleted:
    """dispatch -> callers: the answer is whole."""

    call_id: str
    # HTTP status of a service call; 200 for a generation.
    status: int
    # Body of a service call; empty for a generation, whose tokens went before.
    body: bytes
    content_type: str


@frozen
class CallRefused:
    """dispatch -> callers: the call was given up on."""

    call_id: str
    refusal: Refusal


@frozen
class AttemptRequested:
    """dispatch -> backends: start an attempt."""

    attempt: Attempt


@frozen
class AttemptCancelled:
    """dispatch -> backends: stop an attempt and forget its connection."""

    attempt_id: str


@frozen
class AttemptSent:
    """backends -> dispatch: the connection stands and the request is being handed over."""

    attempt_id: str


@frozen
class AttemptAnswered:
    """backends -> dispatch: the head of a good answer came back."""

    attempt_id: str
    # Version of the model that answers, or empty if the backend server does not say.
    model_version: str = ""
    # Changes with each restart of the backend server; empty if it does not say.
    incarnation: str = ""


@frozen
class AttemptTokens:
    """Tokens that came back for one attempt."""

    attempt_id: str
    first_index: int
    texts: tuple[str, ...]


@frozen
class TokensCollected:
    """backends -> backends: tokens wait to be handed over behind all that was read with them."""


@frozen
class TokensArrived:
    """backends -> dispatch: tokens came back for several attempts."""

    batch: tuple[AttemptTokens, ...]


@frozen
class AttemptCompleted:
    """backends -> dispatch: the attempt delivered everything."""

    attempt_id: str
    # Number of tokens in the whole answer; 0 for a service call.
    total_tokens: int
    status: int
    body: bytes
    content_type: str


@frozen
class AttemptFailed:
    """backends -> dispatch: the attempt ended early."""

    attempt_id: str
    # NOT_RUN only if no byte was sent or the server refused before it started.
    verdict: Verdict
    detail: str
    # Whether the connection broke off after the request was sent, as in a crash.
    connection_lost: bool
    # When the backend server asked to be tried again, or None.
    retry_after_s: float | None = None


@frozen
class MembershipRead:
    """platform -> all: a newer membership list was read."""

    view: MembershipView


@frozen
class ConfigurationInForce:
    """platform -> all: a newer configuration is in force on this host."""

    configuration: Configuration


@frozen
class ConfigurationChangeRequested:
    """operators -> platform: change the configuration; `ConfigurationChangeEnded` answers."""

    change: Change
    # Whether to judge the change only.
    dry_run: bool = False


@frozen
class ConfigurationChangeEnded:
    """platform -> operators: what became of a change that this host was asked for."""

    outcome: ChangeOutcome


@frozen
class ConfigurationStatus:
    """platform -> all: what this host knows of the configuration; posted when any of it changes."""

    # State in force, or None before a beginning was found.
    state: ConfigurationState | None
    # Whether the host has read the whole stream and the log answers.
    up_to_date: bool
    # Whether records are missing between the state and what was read.
    has_gap: bool
    # Whether the log answers.
    log_reachable: bool


@frozen
class WeightsLookupRequested:
    """any -> platform: ask the weight store for a version of a model."""

    key: WeightsKey


@frozen
class WeightsLookedUp:
    """platform -> any: what the weight store says, or that it could not be asked in time."""

    key: WeightsKey
    info: WeightsInfo


@frozen
class AuthorityObserved:
    """authority -> operators: who may give orders to a data centre's engines, as last read."""

    data_centre: str
    # Name of the host, or empty if no host holds the authority.
    holder: str
    # Fencing number of the holder.
    term: int


@frozen
class LoadReported:
    """backends -> dispatch: an engine reported its load."""

    report: LoadReport


@frozen
class RecordAppendRequested:
    """any -> platform: append a record to a stream of the log.

    The answer may be lost, so the writer waits for `RecordsRead` to bring the record back; it hears
    `RecordAppendFailed` only when the record is known not to have been appended, and
    `RecordAppendUnsettled` when that could not be found out in time. A retry may append the record
    twice, so folds ignore a record id that they have seen.
    """

    stream: str
    record: NewRecord
    # Whether the record may share its offset with others of this host, to save appends.
    groupable: bool = False
    # Time after which no further attempt is started.
    timeout_s: float = 5.0


@frozen
class RecordAppendFailed:
    """platform -> any: the record was not appended and will not be."""

    stream: str
    record_id: str
    detail: str


@frozen
class RecordAppendUnsettled:
    """platform -> any: no further attempt is made; the record may still turn up in the stream."""

    stream: str
    record_id: str
    detail: str


@frozen
class StreamFollowRequested:
    """any -> platform: follow a stream from an offset and post what is read.

    If the stream is followed already and the offset lies behind, its reading goes back there, so
    folds ignore offsets that they have taken in.
    """

    stream: str
    from_offset: int


@frozen
class RecordsRead:
    """platform -> any: records of a followed stream, in offset order.

    It is posted for each read, also when nothing was new.
    """

    stream: str
    records: tuple[LogRecord, ...]
    # Offset of the oldest record that the log still keeps.
    first_offset: int
    # Offset that the next record will get; the reader is up to date when it has read up to here.
    next_offset: int
    # Monotonic time before the read was sent.
    sent_s: float


@frozen
class LogReachabilityChanged:
    """platform -> all: the log service began or ceased to answer."""

    reachable: bool


@frozen
class PeerSendRequested:
    """any -> peers: send a message to one other entry host; it is dropped if the link is down."""

    host: str
    payload: PeerPayload


@frozen
class PeerReceived:
    """peers -> any: a message came from another entry host."""

    host: str
    payload: PeerPayload


@frozen
class PeerLinkChanged:
    """peers -> all: the link to another entry host came up or went down."""

    host: str
    connected: bool


@frozen
class BackendDrainChanged:
    """any -> dispatch: begin or cease to keep new work away from a backend server."""

    backend: str
    draining: bool


@frozen
class StopRequested:
    """daemon -> all: this host shall stop gracefully; it reports itself as not ready."""

    now_s: float


@frozen
class AdmissionClosed:
    """lifecycle -> callers: refuse new requests from now on; those in flight go on."""


@frozen
class AnswersDrained:
    """callers -> lifecycle: every answer has been sent whole after admission was closed."""


@frozen
class ProbeRequested:
    """dispatch -> backends: try a fresh connection to a backend server."""

    backend: str


@frozen
class ProbeEnded:
    """backends -> dispatch: what a fresh connection to a backend server gave."""

    backend: str
    alive: bool
    # Changes with each restart of the backend server; empty if it does not say.
    incarnation: str = ""


@frozen
class RoleChangeRequested:
    """policy -> authority: an engine should take another role, if this host holds the authority."""

    change: RoleChange


@frozen
class AuthorityChanged:
    """authority -> all: this host began or ceased to hold the authority over its data centre."""

    # Fencing number, or 0 for a host that holds no authority.
    term: int


@frozen
class EngineStateRead:
    """backends -> authority: what an engine says of itself, or that it could not be read."""

    backend: str
    state: EngineState | None
    # Monotonic time before the question was sent.
    sent_s: float


@frozen
class OrderOutcomeKnown:
    """backends -> authority: what the sender of orders says of one."""

    order_id: str
    outcome: OrderSendOutcome
    detail: str


@frozen
class DrainApplied:
    """authority -> itself: every component has heard of the drain that was posted before."""

    notice: DrainNotice
    # Whether the attempts that were decided on before the drain have been heard of, too.
    settled: bool
