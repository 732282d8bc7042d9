"""Sends callers' requests to an entry host and returns the answers."""

import json
from http.client import HTTPConnection

from attrs import field, frozen


@frozen
class Answer:
    """The answer that a caller received."""

    status: int
    headers: dict[str, str]
    body: bytes
    # Data of each server-sent event, with the end mark "[DONE]".
    events: tuple[str, ...] = field(default=())

    def value(self) -> dict[str, object]:
        """Returns the body as JSON."""
        value: dict[str, object] = json.loads(self.body)
        return value

    def tokens(self) -> list[str]:
        """Returns the texts of the streamed tokens."""
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
    def is_complete(self) -> bool:
        """Returns whether a streamed answer ended with its end mark."""
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
        block.removeprefix("data: ")
        for block in data.decode().split("\n\n")
        if block[:6] == "data: "
    )
    response_headers = {name.lower(): value for name, value in response.getheaders()}
    return Answer(response.status, response_headers, data, events)


def ask_model(
    port: int, tenant: str, request_class: str, model: str, prompt: str, **body_fields: object
) -> Answer:
    """Sends a chat completion request; `body_fields` are added to the body."""
    body = {"model": model, "messages": [{"role": "user", "content": prompt}], **body_fields}
    headers = {"X-Tenant": tenant, "X-Class": request_class}
    return ask(port, "/v1/chat/completions", json.dumps(body).encode(), headers)
