"""Load reports as datagrams, and the backlog that sums them."""

import pytest

from berylquay.decisions.engine_backlog import REPORT_TTL_S, EngineBacklog, EngineLoad
from berylquay.decisions.fleet import Address
from berylquay.decisions.shared_polling import TopicReport
from berylquay.relay.load_reports import LoadReport, decode_report, encode_report

REPORT = LoadReport(
    "h-1",
    "fes-a",
    Address("10.0.0.1", 7380),
    {"e-1": EngineLoad(3, 1200), "e-2": EngineLoad(0, 7)},
    (("part", "e-1", 250),),
    (("content", "e-2"),),
    ("e-3",),
    (TopicReport("keyed.op", "12", 40),),
)


def test_a_decoded_report_equals_the_encoded_one() -> None:
    assert decode_report(encode_report(REPORT)) == REPORT


@pytest.mark.parametrize(
    "data", [b"", b"\xff", b"text", b"\x80", b"\x83\x01\x02\x03", b"\x9f" * 999]
)
def test_a_datagram_that_is_no_report_decodes_to_none(data: bytes) -> None:
    assert decode_report(data) is None


def test_prompts_of_all_hosts_count_until_prefilled_or_their_report_expires() -> None:
    backlog = EngineBacklog()
    backlog.add_prompt("e-1", "id-1", 500)
    backlog.add_prompt("e-1", "id-2", 40)
    backlog.on_peer_report("h-1", REPORT.loads, 10.0)
    assert backlog.waiting_prefill_tokens("e-1", 10.0) == 1740
    assert backlog.own_loads() == {"e-1": EngineLoad(0, 540)}
    backlog.remove_prompt("e-1", "id-1")
    backlog.on_peer_report("h-1", {"e-1": EngineLoad(1, 60)}, 10.5)
    assert backlog.waiting_prefill_tokens("e-1", 10.5) == 100
    assert backlog.waiting_prefill_tokens("e-1", 10.6 + REPORT_TTL_S) == 40
