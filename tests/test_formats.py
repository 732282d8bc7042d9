"""The bytes that hosts of different builds exchange, fixed as the build efdfa74 wrote them.

Guards against a rename that changes a format: peer messages carry the names of their classes and
fields, snapshots and deployments the names of their fields.
"""

import json

import pytest

from berylquay.decisions.configuration_snapshots import snapshot_from_json, snapshot_to_json
from berylquay.decisions.configuration_state import ConfigurationState, LastChange
from berylquay.decisions.deployment import (
    ClassSpec,
    Deployment,
    ModelSpec,
    PoolSpec,
    TenantSpec,
    WorkKind,
)
from berylquay.decisions.engine_backlog import EngineLoad
from berylquay.decisions.fleet import Address, Role
from berylquay.decisions.key_claims import (
    Claim,
    ClaimBatch,
    ClaimUpdate,
    batch_to_record,
    parse_batch,
)
from berylquay.decisions.shared_polling import TopicReport
from berylquay.peers.codec import decode_payload, encode_payload
from berylquay.peers.payloads import (
    ConfigurationOffer,
    ConfigurationRequest,
    CrashCleared,
    CrashReport,
    DrainAcknowledgement,
    DrainNotice,
    Heartbeat,
    Hello,
    IsolationClaim,
    PeerPayload,
    TicketAnswered,
    TicketAsked,
    TicketReturned,
)
from berylquay.relay.load_reports import LoadReport, decode_report, encode_report
from berylquay.standalone.records import decode_records, encode_records

PEER_MESSAGES: list[tuple[PeerPayload, str]] = [
    (Hello("h", "i"), "83016548656c6c6fa264686f737461686b696e6361726e6174696f6e6169"),
    (
        Heartbeat("i", 7),
        "830169486561727462656174a26b696e6361726e6174696f6e6169687265766973696f6e07",
    ),
    (
        DrainNotice("e", True, 3, 2),
        "83016b447261696e4e6f74696365a4676261636b656e64616568647261696e696e67f5647465726d"
        "03666e6f7469636502",
    ),
    (
        DrainAcknowledgement("e", 3, 1, 2),
        "830174447261696e41636b6e6f776c656467656d656e74a4676261636b656e646165647465726d03"
        "69696e5f666c6967687401666e6f7469636502",
    ),
    (ConfigurationRequest(5), "830174436f6e66696775726174696f6e52657175657374a1666f666673657405"),
    (
        ConfigurationOffer(b"s"),
        "830172436f6e66696775726174696f6e4f66666572a168736e617073686f744173",
    ),
    (
        CrashReport("e", ("a", "b"), 1.5),
        "83016b43726173685265706f7274a3676261636b656e6461656c66696e6765727072696e74738261"
        "616162656167655f73fb3ff8000000000000",
    ),
    (CrashCleared("a"), "83016c4372617368436c6561726564a16b66696e6765727072696e746161"),
    (
        IsolationClaim("e", "a", True),
        "83016e49736f6c6174696f6e436c61696da3676261636b656e6461656b66696e6765727072696e74"
        "61616468656c64f5",
    ),
    (
        TicketAsked("q", "t", "n", "f"),
        "83016b5469636b657441736b6564a46661736b5f69646171667469636b657461746674656e616e74"
        "616e6b66696e6765727072696e746166",
    ),
    (
        TicketAnswered("q", "t", "passed"),
        "83016e5469636b6574416e737765726564a36661736b5f69646171667469636b65746174676f7574"
        "636f6d6566706173736564",
    ),
    (
        TicketReturned("q", "t"),
        "83016e5469636b657452657475726e6564a26661736b5f69646171667469636b65746174",
    ),
]
STATE = ConfigurationState(
    9,
    8,
    {
        "d": Deployment(
            "d",
            (ModelSpec("m", "v1", ("a",)),),
            (PoolSpec("p", ("m",), 1, (Role.PREFILL, Role.DECODE)),),
            (ClassSpec("c", WorkKind.GENERATION, "p", 1, 2.0),),
            (TenantSpec("t", 1.0),),
        )
    },
    frozenset({"e"}),
    {"deployment/d": LastChange(8, "id", "op")},
    2,
    ("r",),
)
SNAPSHOT = {
    "changes": {"deployment/d": {"author": "op", "change_id": "id", "revision": 8}},
    "deployments": [
        {
            "classes": [
                {
                    "deadline_s": 2.0,
                    "expected_output_tokens": 128,
                    "kind": "generation",
                    "max_output_tokens": 1024,
                    "name": "c",
                    "pool": "p",
                    "priority": 1,
                    "repeatable": True,
                }
            ],
            "models": [{"adapters": ["a"], "name": "m", "version": "v1"}],
            "name": "d",
            "pools": [
                {"min_per_role": 1, "models": ["m"], "name": "p", "roles": ["prefill", "decode"]}
            ],
            "role_change_weight": 0.5,
            "role_changes_per_hour": 12,
            "tenants": [{"name": "t", "share": 1.0}],
        }
    ],
    "draining": ["e"],
    "floor_revision": 2,
    "offset": 9,
    "refused_ids": ["r"],
    "revision": 8,
}
CLAIMS = ClaimBatch((Claim("k", "f", 4),), (ClaimUpdate("k", 5),), (ClaimUpdate("k", 6),))
CLAIMS_RECORD = (
    '{"record_id":"rid","kind":"once","fields":{"by":"i","claims":[["k","f",4]],"rele'
    'ased":[["k",5]],"completed":[["k",6]]}}'
)
LOAD_REPORT = LoadReport(
    "h",
    "dc",
    Address("10.0.0.1", 80),
    {"e": EngineLoad(2, 300)},
    (("s", "e", 40),),
    (("f", "e"),),
    ("e",),
    (TopicReport("keyed.op", "m", 12),),
)
LOAD_REPORT_DATAGRAM = (
    "8a0361686264636831302e302e302e311850a16165820219012c8183617361651828818261666165"
    "8161658183686b657965642e6f70616d0c"
)


@pytest.mark.parametrize(
    ("payload", "envelope"),
    PEER_MESSAGES,
    ids=[type(payload).__name__ for payload, _ in PEER_MESSAGES],
)
def test_peer_message_format(payload: PeerPayload, envelope: str) -> None:
    assert encode_payload(payload).hex() == envelope
    assert decode_payload(bytes.fromhex(envelope)).unwrap() == payload


def test_snapshot_format() -> None:
    assert json.loads(json.dumps(snapshot_to_json(STATE))) == SNAPSHOT
    assert snapshot_from_json(json.loads(json.dumps(SNAPSHOT))) == STATE


def test_claims_record_format() -> None:
    assert encode_records([batch_to_record(CLAIMS, "i", "rid")]) == CLAIMS_RECORD
    assert parse_batch(decode_records(0, CLAIMS_RECORD)[0].fields) == CLAIMS


def test_load_report_format() -> None:
    assert encode_report(LOAD_REPORT).hex() == LOAD_REPORT_DATAGRAM
    assert decode_report(bytes.fromhex(LOAD_REPORT_DATAGRAM)) == LOAD_REPORT
