"""Final answers to calls that were given up."""

from typing import Final

from berylquay.platform.names import RETRY_AFTER
from berylquay.relay.caller_connection import SERVICE_UNAVAILABLE, CallerConnection
from berylquay.verdicts import Refusal, RefusalReason, Verdict

STATUS_BAD_GATEWAY: Final = 502
STATUS_GATEWAY_TIMEOUT: Final = 504


def send_refusal(caller: CallerConnection, refusal: Refusal) -> None:
    """Answers a call that was given up, with what is known of whether it ran."""
    headers = [(b"content-type", b"text/plain; charset=utf-8")]
    if refusal.verdict is Verdict.NOT_RUN:
        status = SERVICE_UNAVAILABLE
        if refusal.retry_after_s is not None:
            headers.append((RETRY_AFTER, f"{refusal.retry_after_s:.2f}".encode()))
    elif refusal.reason is RefusalReason.DEADLINE:
        status = STATUS_GATEWAY_TIMEOUT
    else:
        status = STATUS_BAD_GATEWAY
    body = f"{refusal.reason.value}: {refusal.detail}\n".encode("latin-1", "replace")
    caller.answer(status, b"", headers, body)
