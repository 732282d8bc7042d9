"""Arrivals of one call at backend servers, and the retry budget for those beyond the first."""

from attrs import define

from berylquay.decisions.shared_retry_budget import SharedRetryBudget


@define
class CallArrivals:
    """Counts the arrivals of one call and reserves budget before each that may be a retry.

    Each run and each prefill counts that reaches a server, but for the first prefill that a server
    accepts. One request is under way at a time, from `on_sent` until it was accepted, has arrived
    or has not.
    """

    _budget: SharedRetryBudget
    _pool: str
    # Requests that have reached a server and count.
    _counted: int = 0
    # Retries that the budget holds for this call.
    _reserved: int = 0
    # Whether a server has accepted a prefill.
    _has_accepted_prefill: bool = False
    # Whether a request was sent of which nothing has been heard.
    _is_under_way: bool = False

    def can_prefill(self, now_s: float) -> bool:
        """Tells whether the budget allows a prefill and the run after it."""
        return self._budget.can_reserve(self._pool, self._missing(self._prefill_cost), now_s)

    def can_run(self, now_s: float) -> bool:
        """Tells whether the budget allows a run."""
        return self._budget.can_reserve(self._pool, self._missing(1), now_s)

    def reserve_prefill(self, now_s: float) -> bool:
        """Reserves what a prefill and the run after it need; tells whether they may be sent."""
        return self._reserve(self._prefill_cost, now_s)

    def reserve_run(self, now_s: float) -> bool:
        """Reserves what a run needs; tells whether it may be sent."""
        return self._reserve(1, now_s)

    def on_sent(self) -> None:
        """Records that a request is sent, for which enough was reserved."""
        self._is_under_way = True

    def on_prefill_accepted(self, now_s: float) -> None:
        """Records that a server has accepted the prefill that is under way."""
        if self._has_accepted_prefill:
            self.on_arrived(now_s)
        self._has_accepted_prefill = True
        self._is_under_way = False

    def on_arrived(self, now_s: float) -> None:
        """Records that the request under way has, or may have, reached a server."""
        if not self._is_under_way:
            return
        self._is_under_way = False
        self._counted += 1
        if self._counted > 1:
            self._reserved -= 1
            self._budget.spend(self._pool, now_s)

    def on_not_arrived(self) -> None:
        """Records that the request under way has not reached a server."""
        self._is_under_way = False

    def on_ended(self, now_s: float) -> None:
        """Gives back what the call has not used; a request still under way counts as arrived."""
        self.on_arrived(now_s)
        self._budget.release(self._pool, self._reserved, now_s)
        self._reserved = 0

    @property
    def _prefill_cost(self) -> int:
        """Returns how many arrivals a prefill and the run after it are.

        The first prefill that is accepted is free; one that is rejected takes the run's place.
        """
        return 2 if self._has_accepted_prefill else 1

    def _missing(self, arrivals: int) -> int:
        """Returns how many retries are to be reserved besides those that are."""
        first = 0 if self._counted else 1
        return max(0, arrivals - first - self._reserved)

    def _reserve(self, arrivals: int, now_s: float) -> bool:
        missing = self._missing(arrivals)
        if not self._budget.reserve(self._pool, missing, now_s):
            return False
        self._reserved += missing
        return True
