"""Unexpected errors: each is logged in one bounded line and counted; the process goes on."""

import time
import traceback
from collections.abc import Callable
from typing import Final, ParamSpec

import logbook
from attrs import define, field

from berylquay.decisions.token_bucket import TokenBucket

# An error that comes back at each tick must not fill the log.
LINES_PER_S: Final = 2.0
BURST_LINES: Final = 20.0
Parameters = ParamSpec("Parameters")
_log = logbook.Logger("errors")


@define
class UnexpectedErrors:
    """Runs functions whose errors must not reach the event loop."""

    # Called with the component of each error.
    on_error: Callable[[str], None] | None = None
    _rate_limit: TokenBucket = field(factory=lambda: TokenBucket(LINES_PER_S, BURST_LINES))

    def run(
        self,
        component: str,
        function: Callable[Parameters, object],
        *args: Parameters.args,
        **kwargs: Parameters.kwargs,
    ) -> bool:
        """Calls a function; returns False if it raised an error, which is then recorded."""
        try:
            function(*args, **kwargs)
        except Exception as error:  # noqa: BLE001 (any error is to end here)
            self.record(component, error)
            return False
        return True

    def record(self, component: str, error: BaseException) -> None:
        """Counts an error and, unless there are too many, logs it with where it was raised."""
        if self.on_error is not None:
            self.on_error(component)
        if not self._rate_limit.has_token(time.monotonic()):
            return
        self._rate_limit.take()
        frames = traceback.extract_tb(error.__traceback__, limit=-1)
        # Without the error's text, which may quote what a caller has sent, its key included.
        _log.error(
            "unexpected error",
            component=component,
            error=type(error).__name__,
            raised_at=f"{frames[0].filename}:{frames[0].lineno}" if frames else "",
        )
