"""A caller: sends requests to an entry host and keeps what comes back."""

import json
from http.client import HTTPConnection

from attrs import field, frozen


@frozen
class Answer:
    """What a caller got."""

    status: int
    headers: dict[str, str]
    body: bytes
    # Data of each server-sent event.
    events: tuple[str, ...] = field(default=())

    def value(self) -> dict[str, object]:
        """Returns the body as JSON."""
        value: dict[str, object] = json.loads(self.body)
        return value

    def tokens(self) -> list[str]:
        """Returns the streamed texts."""
        texts: list[str] = []
        for event in self.events:
            if event == "[DONE]":
                continue
            for choice in json.loads(event).get("choices", []):
                content = choice["delta"].get("content")
                if content is not None:
                    texts.append(content)
        return texts

    @property
    def whole(self) -> bool:
        """Tells whether a streamed answer came with its end."""
        return bool(self.events) and self.events[-1] == "[DONE]"


def ask(
    port: int, path: str, body: bytes, headers: dict[str, str], timeout_s: float = 30.0
) -> Answer:
    """Sends one request and reads the answer to its end."""
    connection = HTTPConnection("127.0.0.1", port, timeout=timeout_s)
    try:
        connection.request("POST", path, body=body, headers=headers)
        response = connection.getresponse()
        data = response.read()
    finally:
        connection.close()
    events = tuple(
        part.removeprefix("data: ") for part in data.decode().split("\n\n") if part[:6] == "data: "
    )
    names = {name.lower(): value for name, value in response.getheaders()}
    return Answer(response.status, names, data, events)


def ask_model(
    port: int, tenant: str, request_class: str, model: str, prompt: str, **more: object
) -> Answer:
    """Asks a model; `more` goes into the body."""
    body = {"model": model, "messages": [{"role": "user", "content": prompt}], **more}
    headers = {"X-Tenant": tenant, "X-Class": request_class}
    return ask(port, "/v1/chat/completions", json.dumps(body).encode(), headers)
