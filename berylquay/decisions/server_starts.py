"""Starts of backend servers that are known to have run, and which one a connection leads to.

A server may start again under its name and at its address, and then runs as other software. Its
entry in the store follows later, and the answer to a request names no start: only what a server
says of itself does.
"""

from typing import Final

from attrs import define, field

# Most starts of one server that are kept; the ones that were heard of least recently are dropped.
MAX_STARTS: Final = 4


@define
class _KnownStart:
    """When a start was seen to run."""

    # Monotonic time at which it was first known that it had begun.
    known_s: float
    # Monotonic time of the newest question that it has answered.
    answered_question_s: float = float("-inf")


@define
class ServerStarts:
    """The starts of all servers, from their entries and their answers."""

    # Starts by Unix time in milliseconds, by the server's name.
    _starts: dict[str, dict[int, _KnownStart]] = field(factory=dict, init=False)
    # Monotonic time at which a connection was last lost or refused, by the server's name.
    _doubted_s: dict[str, float] = field(factory=dict, init=False)

    def on_listed(self, name: str, started_unix_ms: int, now_s: float) -> None:
        """Records the start that a server's entry names."""
        self._know(name, started_unix_ms, now_s)

    def on_answered(self, name: str, started_unix_ms: int, asked_s: float, now_s: float) -> bool:
        """Records that a start has answered a question; returns whether it was not known before.

        Args:
            name: Name of the server.
            started_unix_ms: Start that the answer states.
            asked_s: Monotonic time at which the question was asked.
            now_s: Present monotonic time.
        """
        is_new = started_unix_ms not in self._starts.get(name, {})
        known = self._know(name, started_unix_ms, now_s)
        known.answered_question_s = max(asked_s, known.answered_question_s)
        return is_new

    def find(self, name: str, opened_s: float, established_s: float) -> int:
        """Returns the start that a connection leads to, or 0 if that is not known.

        It is the one that had begun before the connection was opened and still ran once it was
        established: two starts of a server do not overlap.

        Args:
            name: Name of the server.
            opened_s: Monotonic time at which the connection was opened.
            established_s: Monotonic time at which it was known to be established.
        """
        for started_unix_ms, known in self._starts.get(name, {}).items():
            if known.known_s <= opened_s and known.answered_question_s >= established_s:
                return started_unix_ms
        return 0

    def on_doubt(self, name: str, now_s: float) -> None:
        """Records that the start of a server may have ended: a connection was lost or refused."""
        if name in self._starts:
            self._doubted_s[name] = now_s

    def is_doubted(self, name: str, started_unix_ms: int) -> bool:
        """Tells whether there are signs that a start of a server has ended."""
        known = self._starts.get(name, {}).get(started_unix_ms)
        if known is None or self.has_newer(name, started_unix_ms):
            return True
        seen_s = max(known.known_s, known.answered_question_s)
        return self._doubted_s.get(name, seen_s) > seen_s

    def has_newer(self, name: str, started_unix_ms: int) -> bool:
        """Tells whether a later start of a server is known than the one given."""
        return any(start > started_unix_ms for start in self._starts.get(name, {}))

    def forget(self, name: str) -> None:
        """Forgets a server that is gone."""
        self._starts.pop(name, None)
        self._doubted_s.pop(name, None)

    def _know(self, name: str, started_unix_ms: int, now_s: float) -> _KnownStart:
        starts = self._starts.setdefault(name, {})
        # The one heard of most recently comes last.
        known = starts.pop(started_unix_ms, _KnownStart(now_s))
        starts[started_unix_ms] = known
        while len(starts) > MAX_STARTS:
            del starts[next(iter(starts))]
        return known
