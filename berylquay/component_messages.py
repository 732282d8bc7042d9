"""Messages between the components of one process.

Each message is an attrs class; it is the single argument of the circuits event that is named after
it (see `berylquay.net.message_bus`). Components own their sockets and state and communicate only
by these messages. Docstrings of messages start with `sender -> receivers`. The messages that every
program has are in `berylquay.net.process_messages`.
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
class CallReceived:
    """callers -> dispatch, idempotency: a validated request was received.

    Dispatch runs a repeatable call immediately, and any other only after `CallGranted`.
    """

    call: Call


@frozen
class CallGranted:
    """idempotency -> dispatch: a call that may not be repeated may now run on this host."""

    call: Call


@frozen
class CallerGone:
    """callers -> dispatch: the caller no longer waits for the answer."""

    call_id: str


@frozen
class TokensForCaller:
    """The next tokens of one answer, without gaps or duplicates."""

    call_id: str
    # Index in the answer of the first of these tokens.
    first_index: int
    texts: tuple[str, ...]


@frozen
class TokensForCallers:
    """dispatch -> callers: the next tokens of several answers."""

    batch: tuple[TokensForCaller, ...]


@frozen
class CallCompleted:
    """dispatch -> callers: the answer is complete."""

    call_id: str
    # HTTP status of a service call; 200 for a generation.
    status: int
    # Body of a service call; empty for a generation, whose tokens were sent before.
    body: bytes
    content_type: str


@frozen
class CallRefused:
    """dispatch -> callers: the call was refused or abandoned."""

    call_id: str
    refusal: Refusal


@frozen
class AttemptRequested:
    """dispatch -> backends: start an attempt."""

    attempt: Attempt


@frozen
class AttemptCancelled:
    """dispatch -> backends: stop an attempt and drop its connection."""

    attempt_id: str


@frozen
class AttemptSent:
    """backends -> dispatch: the connection is open and the request is being sent."""

    attempt_id: str


@frozen
class AttemptAnswered:
    """backends -> dispatch: the head of a successful response was received."""

    attempt_id: str
    # Version of the model that answers, or empty if the backend server does not say.
    model_version: str = ""
    # Changes with each restart of the backend server; empty if it does not say.
    incarnation: str = ""


@frozen
class AttemptTokens:
    """Tokens that were received for one attempt."""

    attempt_id: str
    # Index in the attempt's answer of the first of these tokens.
    first_index: int
    texts: tuple[str, ...]


@frozen
class TokensCollected:
    """backends -> backends: tokens are buffered.

    It is queued behind what was read in the same loop pass, so that all tokens read together are
    posted in one `TokensArrived`.
    """


@frozen
class TokensArrived:
    """backends -> dispatch: tokens were received for several attempts."""

    batch: tuple[AttemptTokens, ...]


@frozen
class AttemptCompleted:
    """backends -> dispatch: the attempt delivered its complete answer."""

    attempt_id: str
    # Number of tokens in the complete answer; 0 for a service call.
    total_tokens: int
    status: int
    body: bytes
    content_type: str


@frozen
class AttemptFailed:
    """backends -> dispatch: the attempt ended without a complete answer."""

    attempt_id: str
    # NOT_RUN only if no byte was sent or the server refused before it started.
    verdict: Verdict
    detail: str
    # Whether the connection was lost after the request was sent, as when the server crashes.
    connection_lost: bool
    # Time after which the backend server asked to be retried, or None if it did not say.
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
    """operators -> platform: change the configuration; the answer is `ConfigurationChangeEnded`."""

    change: Change
    # Whether to check the change without applying it.
    dry_run: bool = False


@frozen
class ConfigurationChangeEnded:
    """platform -> operators: the outcome of a change that was requested from this host."""

    outcome: ChangeOutcome


@frozen
class ConfigurationStatus:
    """platform -> all: how up to date this host's configuration is; posted on every change."""

    # State in force, or None before the stream's first record or a snapshot was read.
    state: ConfigurationState | None
    # Whether the host has read the complete stream and the log answers.
    up_to_date: bool
    # Whether records are missing between the state and the records that were read.
    has_gap: bool
    # Whether the log answers.
    log_reachable: bool


@frozen
class WeightsLookupRequested:
    """any -> platform: look up a version of a model in the weight store."""

    key: WeightsKey


@frozen
class WeightsLookedUp:
    """platform -> any: the weight store's answer, or that there was none in time."""

    key: WeightsKey
    info: WeightsInfo


@frozen
class AuthorityObserved:
    """authority -> operators: the host that may send orders to a data centre's engines."""

    data_centre: str
    # Name of the host as last read, or empty if no host holds the authority.
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

    The log's answer may be lost, so the writer waits until `RecordsRead` contains the record. It
    gets `RecordAppendFailed` only if the record is known not to have been appended, and
    `RecordAppendUnsettled` if that could not be determined in time. A retry may append the record
    twice, so state machines that apply the records ignore record ids that they have seen.
    """

    stream: str
    record: NewRecord
    # Whether the record may share its offset with other records of this host, to save appends.
    groupable: bool = False
    # Time from the request after which no further attempt is started.
    timeout_s: float = 5.0


@frozen
class RecordAppendFailed:
    """platform -> any: the record was not appended and will not be."""

    stream: str
    record_id: str
    detail: str


@frozen
class RecordAppendUnsettled:
    """platform -> any: no further attempt is made; the record may still appear in the stream."""

    stream: str
    record_id: str
    detail: str


@frozen
class StreamFollowRequested:
    """any -> platform: follow a stream from an offset and post the records that are read.

    If the stream is already followed and the offset is lower than its read position, reading
    restarts at the offset, so state machines ignore offsets that they have applied.
    """

    stream: str
    from_offset: int


@frozen
class RecordsRead:
    """platform -> any: records of a followed stream, in offset order.

    It is posted for each read, even if there were no new records.
    """

    stream: str
    records: tuple[LogRecord, ...]
    # Offset of the oldest record that the log retains.
    first_offset: int
    # Offset that the next record will get; the reader is up to date when it has read up to here.
    next_offset: int
    # Monotonic time before the read was sent.
    sent_s: float


@frozen
class LogReachabilityChanged:
    """platform -> all: the log service became reachable or unreachable."""

    reachable: bool


@frozen
class PeerSendRequested:
    """any -> peers: send a message to another entry host; it is dropped if the link is down."""

    host: str
    payload: PeerPayload


@frozen
class PeerReceived:
    """peers -> any: a message was received from another entry host."""

    host: str
    payload: PeerPayload


@frozen
class PeerLinkChanged:
    """peers -> all: the link to another entry host came up or went down."""

    host: str
    connected: bool


@frozen
class BackendDrainChanged:
    """any -> dispatch: start or stop keeping new work away from a backend server."""

    backend: str
    draining: bool


@frozen
class AdmissionClosed:
    """graceful_shutdown -> callers: refuse new requests from now on; those in flight continue."""


@frozen
class AnswersDrained:
    """callers -> graceful_shutdown: all answers were sent completely after admission was closed."""


@frozen
class ProbeRequested:
    """dispatch -> backends: probe a backend server with a new connection."""

    backend: str


@frozen
class ProbeEnded:
    """backends -> dispatch: the result of probing a backend server with a new connection."""

    backend: str
    alive: bool
    # Changes with each restart of the backend server; empty if it does not say.
    incarnation: str = ""


@frozen
class RoleChangeRequested:
    """policy -> authority: change an engine's role, if this host holds the authority."""

    change: RoleChange


@frozen
class AuthorityChanged:
    """authority -> all: this host acquired or lost the authority over its data centre."""

    # Fencing number, or 0 for a host that holds no authority.
    term: int


@frozen
class EngineStateRead:
    """backends -> authority: the state that an engine reports, or that it could not be read."""

    backend: str
    # State, or None if it could not be read.
    state: EngineState | None
    # Monotonic time before the request was sent.
    sent_s: float


@frozen
class OrderOutcomeKnown:
    """backends -> authority: the order sender's report on the outcome of an order."""

    order_id: str
    outcome: OrderSendOutcome
    detail: str


@frozen
class DrainApplied:
    """authority -> itself: all components have received the drain that was posted before this."""

    notice: DrainNotice
    # Whether the attempts that were decided before the drain have been counted as well.
    settled: bool
