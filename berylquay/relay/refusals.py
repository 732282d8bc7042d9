"""Error responses to calls and requests that can't be served."""

from typing import Final

from berylquay.call_verdicts import Refusal, RefusalReason, Verdict
from berylquay.net.persistent_http import Headers
from berylquay.platform.wire_names import RETRY_AFTER, WWW_AUTHENTICATE
from berylquay.relay.caller_connection import SERVICE_UNAVAILABLE, CallerConnection

STATUS_UNAUTHORIZED: Final = 401
STATUS_BAD_GATEWAY: Final = 502
STATUS_GATEWAY_TIMEOUT: Final = 504


def send_refusal(caller: CallerConnection, refusal: Refusal) -> None:
    """Sends the final response to a call that has failed.

    The status is 503 if the call has not run (401 if its key is refused), and 504 (deadline) or
    502 if it may have.
    """
    if refusal.reason is RefusalReason.UNAUTHORIZED and refusal.verdict is Verdict.NOT_RUN:
        send_unauthorized(caller, refusal.detail)
        return
    if refusal.verdict is Verdict.NOT_RUN:
        status = SERVICE_UNAVAILABLE
    elif refusal.reason is RefusalReason.DEADLINE:
        status = STATUS_GATEWAY_TIMEOUT
    else:
        status = STATUS_BAD_GATEWAY
    send_error(caller, status, f"{refusal.reason.value}: {refusal.detail}", refusal.retry_after_s)


def send_error(
    caller: CallerConnection, status: int, detail: str, retry_after_s: float | None = None
) -> None:
    """Sends an error response; retry_after_s is sent as Retry-After, or None to send none."""
    headers: Headers = []
    if retry_after_s is not None:
        headers.append((RETRY_AFTER, f"{retry_after_s:.2f}".encode()))
    headers.append((b"content-type", b"text/plain; charset=utf-8"))
    caller.send_response(status, b"", headers, f"{detail}\n".encode("latin-1", "replace"))


def send_unauthorized(caller: CallerConnection, detail: str) -> None:
    """Sends 401 to a caller whose key is refused; the call has not run."""
    headers: Headers = [
        (WWW_AUTHENTICATE, b"Bearer"),
        (b"content-type", b"text/plain; charset=utf-8"),
    ]
    caller.send_response(STATUS_UNAUTHORIZED, b"", headers, f"{detail}\n".encode())
