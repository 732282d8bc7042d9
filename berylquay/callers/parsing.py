"""Parses callers' HTTP requests into validated `Call`s, or into refusals."""

import hashlib
import json
import uuid
from typing import Final

from attrs import evolve, frozen
from returns.result import Failure, Result, Success

from berylquay.call_verdicts import Refusal, RefusalReason, Verdict
from berylquay.decisions.calls import Call
from berylquay.decisions.deployment import ClassSpec, Configuration, Deployment, WorkKind

CHAT_PATH: Final = "/v1/chat/completions"
SERVICE_PREFIX: Final = "/v1/services/"
MILLISECONDS_PER_SECOND: Final = 1000.0
# Retry-After of a host that has no configuration yet.
UNCONFIGURED_RETRY_AFTER_S: Final = 2.0
# Assumed number of characters per token, for the estimate of a prompt's length.
CHARACTERS_PER_TOKEN: Final = 4


@frozen
class RawRequest:
    """The parts of an HTTP request that `parse_call` uses; an absent header is an empty string."""

    method: str
    path: str
    tenant: str
    request_class: str
    deadline_ms: str
    request_id: str
    repeatable: str
    idempotency_key: str
    body: bytes


class _InvalidRequestError(Exception):
    """The request is invalid; the message becomes the detail of the refusal."""


def parse_call(
    raw: RawRequest, configuration: Configuration, now_s: float
) -> Result[Call, Refusal]:
    """Returns the validated call, or a refusal that says what is wrong with the request."""
    if not configuration.deployments:
        detail = "no deployment is in force on this host yet"
        return Failure(
            Refusal(RefusalReason.NO_BACKEND, Verdict.NOT_RUN, detail, UNCONFIGURED_RETRY_AFTER_S)
        )
    try:
        return Success(_parse_request(raw, configuration, now_s))
    except _InvalidRequestError as error:
        return Failure(Refusal(RefusalReason.INVALID, Verdict.NOT_RUN, str(error)))


def _parse_request(raw: RawRequest, configuration: Configuration, now_s: float) -> Call:
    deployment, spec = _find_class(raw, configuration)
    if deployment.find_tenant(raw.tenant) is None:
        raise _InvalidRequestError(f"unknown tenant {raw.tenant!r} in header X-Tenant")
    if spec.kind is WorkKind.GENERATION:
        return _parse_generation(raw, deployment, spec, now_s)
    return _parse_service_call(raw, spec, now_s)


def _find_class(raw: RawRequest, configuration: Configuration) -> tuple[Deployment, ClassSpec]:
    found = configuration.find_class(raw.request_class)
    if found is None:
        raise _InvalidRequestError(f"unknown class {raw.request_class!r} in header X-Class")
    expected_prefix = CHAT_PATH if found[1].kind is WorkKind.GENERATION else SERVICE_PREFIX
    if not raw.path.startswith(expected_prefix):
        raise _InvalidRequestError(f"class {raw.request_class} is served under {expected_prefix}")
    return found


def _parse_generation(
    raw: RawRequest, deployment: Deployment, spec: ClassSpec, now_s: float
) -> Call:
    value = _parse_json_object(raw.body)
    model = value.get("model")
    if not isinstance(model, str) or deployment.find_model(model) is None:
        raise _InvalidRequestError(f"unknown model {model!r}")
    prompt = _build_prompt(value)
    return evolve(
        _parse_common(raw, spec, now_s),
        fingerprint=_fingerprint(model.encode(), prompt.encode()),
        wants_stream=value.get("stream") is True,
        model=model,
        adapter=_parse_adapter(value, deployment, model),
        prompt=prompt,
        prompt_tokens=len(prompt) // CHARACTERS_PER_TOKEN + 1,
        max_output_tokens=_parse_max_output_tokens(value, spec),
    )


def _parse_service_call(raw: RawRequest, spec: ClassSpec, now_s: float) -> Call:
    service, _, service_path = raw.path.removeprefix(SERVICE_PREFIX).partition("/")
    if service != spec.pool:
        raise _InvalidRequestError(f"class {spec.name} is served by {spec.pool}, not {service}")
    return evolve(
        _parse_common(raw, spec, now_s),
        fingerprint=_fingerprint(raw.path.encode(), raw.body),
        method=raw.method,
        path="/" + service_path,
        body=raw.body,
    )


def _parse_common(raw: RawRequest, spec: ClassSpec, now_s: float) -> Call:
    return Call(
        call_id=uuid.uuid4().hex,
        request_id=raw.request_id or uuid.uuid4().hex,
        tenant=raw.tenant,
        class_spec=spec,
        received_s=now_s,
        deadline_s=now_s + _parse_timeout_s(raw, spec),
        repeatable=_is_repeatable(raw, spec),
        idempotency_key=raw.idempotency_key,
        fingerprint="",
        wants_stream=False,
        model="",
        adapter="",
        prompt="",
        prompt_tokens=0,
        max_output_tokens=0,
    )


def _parse_json_object(body: bytes) -> dict[str, object]:
    try:
        value = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise _InvalidRequestError(f"the body is not JSON: {error}") from error
    if not isinstance(value, dict):
        raise _InvalidRequestError("the body is not a JSON object")
    return value


def _build_prompt(value: dict[str, object]) -> str:
    messages = value.get("messages")
    if not isinstance(messages, list) or not messages:
        raise _InvalidRequestError("messages is not a list with at least one message")
    lines: list[str] = []
    for message in messages:
        content = message.get("content") if isinstance(message, dict) else None
        if not isinstance(content, str):
            raise _InvalidRequestError("a message has no content that is a text")
        lines.append(f"{message.get('role', 'user')}: {content}")
    return "\n".join(lines)


def _parse_adapter(value: dict[str, object], deployment: Deployment, model: str) -> str:
    adapter = value.get("adapter", "")
    model_spec = deployment.find_model(model)
    if not isinstance(adapter, str) or (
        adapter and (model_spec is None or adapter not in model_spec.adapters)
    ):
        raise _InvalidRequestError(f"unknown adapter {adapter!r} of model {model}")
    return adapter


def _parse_max_output_tokens(value: dict[str, object], spec: ClassSpec) -> int:
    requested = value.get("max_tokens", spec.max_output_tokens)
    if not isinstance(requested, int) or isinstance(requested, bool) or requested < 1:
        raise _InvalidRequestError(f"max_tokens is {requested!r}, not a whole number above 0")
    return min(requested, spec.max_output_tokens)


def _parse_timeout_s(raw: RawRequest, spec: ClassSpec) -> float:
    if not raw.deadline_ms:
        return spec.deadline_s
    try:
        requested_s = float(raw.deadline_ms) / MILLISECONDS_PER_SECOND
    except ValueError as error:
        raise _InvalidRequestError(
            f"header X-Deadline-Ms is {raw.deadline_ms!r}, not a number"
        ) from error
    if not requested_s == requested_s:  # noqa: PLR0124 (NaN is not equal to itself)
        raise _InvalidRequestError("header X-Deadline-Ms is not a number")
    return min(requested_s, spec.deadline_s)


def _is_repeatable(raw: RawRequest, spec: ClassSpec) -> bool:
    if raw.repeatable not in {"", "yes", "no"}:
        raise _InvalidRequestError(f"header X-Repeatable is {raw.repeatable!r}, not yes or no")
    return spec.repeatable and raw.repeatable != "no"


def _fingerprint(*parts: bytes) -> str:
    digest = hashlib.blake2b(digest_size=12)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()
