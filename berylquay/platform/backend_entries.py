"""Registration entries that backend servers write to the platform's store."""

import json
from ipaddress import IPv4Address
from typing import Final

from returns.result import Failure, Result, Success

from berylquay.decisions.backend_registry import BackendEntry, EntryState
from berylquay.decisions.fleet import Address, Role

MAX_PORT: Final = 65535
# Numbers above it are not of a server, and would overflow what is computed from them.
MAX_COUNT: Final = 2**53
_STATES: Final = {"ready": EntryState.READY, "draining": EntryState.LEAVING}
_ROLES: Final = {"prefill": Role.PREFILL, "decode": Role.DECODE}


def decode_backend_entry(name: str, data: bytes) -> Result[BackendEntry, str]:
    """Returns the entry of the named backend server, or why the bytes are not a valid entry."""
    try:
        fields = json.loads(data)
        if not isinstance(fields, dict):
            return Failure("not a JSON object")
        return Success(_decode_entry(name, fields))
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        return Failure(f"{type(error).__name__}: {error}")


def _decode_entry(name: str, fields: dict[str, object]) -> BackendEntry:
    # The field "phase" is the role of an engine; plain services have none.
    role = fields.get("phase")
    # Not of use here, but each server's entry has it.
    _check_duration(fields["coldLeftMs"])
    return BackendEntry(
        name=name,
        pool=_require_text(fields["service"]),
        address=_parse_address(_require_text(fields["address"])),
        data_centre=_require_text(fields["zone"]),
        slots=_require_count(fields["slots"]),
        state=_STATES[_require_text(fields["state"])],
        role=None if role is None else _ROLES[_require_text(role)],
        # Not all deployments' servers state it.
        started_unix_ms=_require_count(fields.get("born", 0)),
        software_version=_require_text(fields["version"]),
        # Here "seq" numbers the heartbeats; in a load report it counts accepted orders.
        heartbeat_number=_require_count(fields["seq"]),
        spot=fields.get("spot") is True,
        leaves_ms=_decode_leaves_ms(fields),
    )


def _decode_leaves_ms(fields: dict[str, object]) -> int | None:
    # Written in either spelling; other fields of the platform are in camel case.
    leaves_ms = fields.get("leaves_ms", fields.get("leavesMs"))
    return None if leaves_ms is None else _require_count(leaves_ms)


def _require_text(value: object) -> str:
    if not isinstance(value, str):
        raise TypeError(f"{value!r} is not a string")
    return value


def _require_count(value: object) -> int:
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        raise TypeError(f"{value!r} is not a non-negative integer")
    if value > MAX_COUNT:
        raise ValueError("a number is too large")
    return value


def _check_duration(value: object) -> None:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"{value!r} is not a number")
    if not 0.0 <= value <= MAX_COUNT:
        raise ValueError(f"{value!r} is not a duration")


def _parse_address(text: str) -> Address:
    ip, _, port = text.rpartition(":")
    if not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise ValueError(f"{text!r} is not an address")
    # A name would have to be resolved, which would block the host.
    return Address(str(IPv4Address(ip)), int(port))
