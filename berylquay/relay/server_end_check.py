"""Tells whether an answer is whole that ended with its connection."""

from attrs import define, field

from berylquay.decisions.backend_registry import BackendEntry
from berylquay.decisions.response_end import EndVerdict, judge_end
from berylquay.relay.instance_probes import InstanceProbes


@define(eq=False)
class ServerEndCheck:
    """Asks the server of one answer whether it still runs."""

    _probes: InstanceProbes
    _backend: BackendEntry
    # Monotonic time at which the answer ended.
    ended_s: float
    # Time after which an answer whose server does not respond counts as broken off.
    _limit_s: float
    # What the result follows from, for logs.
    evidence: str = field(default="", init=False)

    def on_tick(self, now_s: float) -> EndVerdict | None:
        """Returns what the end is taken for, or None while that is not known."""
        state, self.evidence = self._probes.state_since(self._backend, self.ended_s, now_s)
        return judge_end(state, now_s - self.ended_s, self._limit_s)
