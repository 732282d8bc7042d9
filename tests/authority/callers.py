"""Callers that keep asking, and compare every answer token by token."""

import time
from http.client import HTTPException
from threading import Event, Thread
from typing import Final

from attrs import define, field

from standins.engine import token_text
from tests.support.caller import Answer, ask_model
from tests.support.governed import MODEL

READY_TIMEOUT_S: Final = 20.0


def ask_summary(port: int, prompt: str, count: int) -> Answer:
    """Asks for a streamed answer."""
    return ask_model(port, "fes", "cellar-summary", MODEL, prompt, stream=True, max_tokens=count)


def wait_until_answered(port: int) -> None:
    """Waits until the host serves."""
    give_up_s = time.monotonic() + READY_TIMEOUT_S
    while ask_summary(port, "ready?", 1).status != 200:
        if time.monotonic() >= give_up_s:
            raise TimeoutError("a host does not serve")
        time.sleep(0.05)


@define
class Callers:
    """Callers that ask for one answer after the other until they are told to stop."""

    stop: Event = field(factory=Event)
    threads: list[Thread] = field(factory=list)
    whole: int = 0
    # Answers that ended with their connection.
    lost: int = 0
    faults: list[str] = field(factory=list)

    def start(self, port: int, name: str, count: int) -> None:
        """Starts one caller."""
        thread = Thread(target=self._run, args=(port, name, count), daemon=True)
        self.threads.append(thread)
        thread.start()

    def finish(self) -> None:
        """Waits for the last answers."""
        self.stop.set()
        for thread in self.threads:
            thread.join(timeout=30)

    def _run(self, port: int, name: str, count: int) -> None:
        number = 0
        while not self.stop.is_set():
            number += 1
            prompt = f"{name}-{number}"
            try:
                answer = ask_summary(port, prompt, count)
            except (OSError, HTTPException):
                # The host was killed or paused; only scenarios without that count these.
                self.lost += 1
                self.stop.wait(0.2)
                continue
            if answer.status == 503:
                self.stop.wait(0.2)
                continue
            expected = [token_text(MODEL, f"user: {prompt}", index) for index in range(count)]
            if answer.whole and answer.tokens() == expected:
                self.whole += 1
            else:
                self.faults.append(f"{prompt}: {answer.status} {answer.body[-200:]!r}")
