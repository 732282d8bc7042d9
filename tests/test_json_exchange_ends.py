"""Answers of the platform's JSON interfaces to `berylquayd` that end with their connection."""

import json

import pytest
from returns.result import Failure

from berylquay.call_verdicts import Verdict
from berylquay.decisions.fleet import Address
from berylquay.net.http_client import HttpRequest
from berylquay.standalone.json_exchange import ExchangeOutcome, JsonExchange
from tests.test_service_answer_ends import OpenedConnections

BODY = json.dumps({"adapters": ["a", "b"], "version": 12}).encode()
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\n"


def exchange(answer: bytes) -> ExchangeOutcome:
    """Returns the outcome of a request that is answered, and its connection closed with FIN."""
    connections = OpenedConnections()
    outcomes: list[ExchangeOutcome] = []
    JsonExchange(
        connections, Address("10.0.0.1", 80), HttpRequest("GET", "/"), 9.0, outcomes.append
    )
    connections.answer(answer)
    (outcome,) = outcomes
    return outcome


# Guards against an answer that ended with its sender, before its first byte or later, and counts as
# an empty object: a model without adapters.
@pytest.mark.parametrize("length", range(len(BODY) + 1))
def test_an_unframed_answer_that_is_cut_off_is_malformed(length: int) -> None:
    outcome = exchange(UNFRAMED + BODY[:length])
    if length == len(BODY):
        assert outcome.unwrap().body == json.loads(BODY)
    else:
        assert isinstance(outcome, Failure)
        assert outcome.failure().verdict is Verdict.MAY_HAVE_RUN


# Guards against an answer without a body that counts as malformed.
@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 304 X\r\n\r\n",
        b"HTTP/1.1 204 X\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    ],
)
def test_an_answer_without_a_body_is_an_empty_object(head: bytes) -> None:
    assert exchange(head).unwrap().body == {}
