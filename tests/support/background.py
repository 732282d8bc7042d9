"""Callers that run in threads while a scenario continues."""

from collections.abc import Callable
from threading import Thread

from attrs import define, field

from tests.support.caller import Answer


@define
class BackgroundCallers:
    """Requests that were sent and whose answers are collected later."""

    threads: list[Thread] = field(factory=list)
    # Name of each thread's request.
    names: list[str] = field(factory=list)
    answers: dict[str, Answer] = field(factory=dict)
    errors: dict[str, str] = field(factory=dict)

    def send(self, name: str, send_request: Callable[[], Answer]) -> None:
        """Sends a request in its own thread; its answer or error is stored under the name."""

        def run() -> None:
            try:
                self.answers[name] = send_request()
            except OSError as error:
                self.errors[name] = repr(error)

        thread = Thread(target=run, daemon=True)
        self.threads.append(thread)
        self.names.append(name)
        thread.start()

    def wait(self, timeout_s: float) -> None:
        """Waits until every request has its answer or error.

        Args:
            timeout_s: time to wait for each thread; TimeoutError is raised after it.
        """
        for thread in self.threads:
            thread.join(timeout_s)
        if any(thread.is_alive() for thread in self.threads):
            raise TimeoutError("a caller still waits for its answer")
