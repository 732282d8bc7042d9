"""Callers that send requests in a loop and compare every answer token by token."""

import time
from http.client import HTTPException
from threading import Event, Thread
from typing import Final

from attrs import define, field

from standins.engine import token_text
from tests.support.caller import Answer, ask_model
from tests.support.data_centre_processes import MODEL

READY_TIMEOUT_S: Final = 20.0


def request_summary(port: int, prompt: str, count: int) -> Answer:
    """Sends a streamed request and returns its answer.

    Args:
        port: port of the entry host.
        prompt: text of the user's message.
        count: number of tokens asked for.
    """
    return ask_model(port, "fes", "cellar-summary", MODEL, prompt, stream=True, max_tokens=count)


def wait_until_host_answers(port: int) -> None:
    """Waits until the host answers with status 200; raises TimeoutError after READY_TIMEOUT_S."""
    deadline_s = time.monotonic() + READY_TIMEOUT_S
    while request_summary(port, "ready?", 1).status != 200:
        if time.monotonic() >= deadline_s:
            raise TimeoutError("a host does not serve")
        time.sleep(0.05)


@define
class Callers:
    """Threads that each send one request after the other until `finish` is called."""

    stop_event: Event = field(factory=Event)
    threads: list[Thread] = field(factory=list)
    complete_answers: int = 0
    # Answers whose connection was closed or reset before their end.
    lost_connections: int = 0
    wrong_answers: list[str] = field(factory=list)

    def start(self, port: int, name: str, count: int) -> None:
        """Starts one caller that asks for `count` tokens with each request."""
        thread = Thread(target=self._run, args=(port, name, count), daemon=True)
        self.threads.append(thread)
        thread.start()

    def finish(self) -> None:
        """Stops the callers and waits for their last answers."""
        self.stop_event.set()
        for thread in self.threads:
            thread.join(timeout=30)

    def _run(self, port: int, name: str, count: int) -> None:
        number = 0
        while not self.stop_event.is_set():
            number += 1
            prompt = f"{name}-{number}"
            try:
                answer = request_summary(port, prompt, count)
            except (OSError, HTTPException):
                # The host was killed or paused; the other scenarios assert that there are none.
                self.lost_connections += 1
                self.stop_event.wait(0.2)
                continue
            if answer.status == 503:
                self.stop_event.wait(0.2)
                continue
            expected = [token_text(MODEL, f"user: {prompt}", index) for index in range(count)]
            if answer.is_complete and answer.tokens() == expected:
                self.complete_answers += 1
            else:
                self.wrong_answers.append(f"{prompt}: {answer.status} {answer.body[-200:]!r}")
