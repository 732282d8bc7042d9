"""One odd entry among those of the store, which another writer has left: hosts go on following."""

import json
import time
from typing import Final

import pytest

from berylquay.relay.scaling_controller import decode_plan
from tests.relay.test_malformed_messages import error_lines
from tests.support.relay_fleet import PATHS, RelayFleet, make_configuration, wait_until

HUGE: Final = 10**400
DEEP: Final = "[" * 100_000 + "]" * 100_000
SERVER: Final[dict[str, object]] = {
    "service": "app",
    "address": "127.0.0.1:9",
    "zone": "fes-a",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "coldLeftMs": 0,
    "seq": 1,
    "born": 1000,
}
HOST: Final[dict[str, object]] = {"ip": "127.0.0.1", "port": 9, "data_centre": "fes-a"}


def with_fields(fields: dict[str, object], **changes: object) -> str:
    return json.dumps({**fields, **changes})


# Values of a key, by topic.
ODD_ENTRIES: Final[dict[str, tuple[str, ...]]] = {
    "keyed.servers": (
        DEEP,
        with_fields(SERVER)[:-1] + f', "more": {DEEP}}}',
        with_fields(SERVER, slots=HUGE),
        with_fields(SERVER, seq=HUGE, born=HUGE),
        '{"seq": ' + "9" * 5000 + "}",
        with_fields(SERVER, leaves_ms=HUGE),
        with_fields(SERVER, leavesMs=HUGE, spot=True),
        with_fields(SERVER, slots=1e300),
        with_fields(SERVER, address="127.0.0.1:70000"),
        with_fields(SERVER, address="127.0.0.1:-1"),
        with_fields(SERVER, address="127.0.0.1:0"),
        with_fields(SERVER, address="127.0.0.1:²"),
        with_fields(SERVER, address="no.such.host.example:80"),
        with_fields(SERVER, address="[::1]:80"),
        with_fields(SERVER, address="\x00:80"),
        with_fields(SERVER, service="lm", phase="decode", slots=HUGE),
        with_fields(SERVER, zone=["fes-a"]),
        with_fields(SERVER, state="lost"),
        *(
            json.dumps({name: value for name, value in SERVER.items() if name not in missing})
            for missing in ({"coldLeftMs"}, {"seq"}, {"coldLeftMs", "seq", "born"})
        ),
        with_fields(SERVER, coldLeftMs="0"),
        with_fields(SERVER, coldLeftMs=True),
        with_fields(SERVER, coldLeftMs=-1),
        with_fields(SERVER, seq=None),
        with_fields(SERVER, seq=1.5),
    ),
    "keyed.hosts": (
        DEEP,
        with_fields(HOST)[:-1] + f', "more": {DEEP}}}',
        "[]",
        "7",
        with_fields(HOST, port=HUGE),
        with_fields(HOST, port=70_000),
        with_fields(HOST, port=-1),
        with_fields(HOST, port=1e300),
        '{"ip": "127.0.0.1", "port": 1e999, "data_centre": "fes-a"}',
        with_fields(HOST, ip="no.such.host.example"),
        with_fields(HOST, ip="\x00"),
        with_fields(HOST, data_centre=[]),
    ),
    "keyed.quarantines": (DEEP, "7", f'{{"until": {HUGE}}}'),
    "keyed.pool-versions": (
        DEEP,
        '{"present": [], "absent": {"v": 1e999}, "era": 1, "since": 1}',
        f'{{"present": [], "absent": {{}}, "era": {HUGE}, "since": {HUGE}}}',
    ),
    "keyed.op": (
        DEEP,
        f'{{"version": {HUGE}}}',
        '{"version": 1e999}',
        json.dumps({**make_configuration(2), "limits": {"x": HUGE}})[:-1] + f', "y": {DEEP}}}',
    ),
    "authority": (DEEP, f'{{"term": {HUGE}}}'),
    "usage": (DEEP, f'{{"window": {HUGE}}}'),
    "scaling": (DEEP, '{"pools": {"app": {"base": 1e999, "zones": {}}}}'),
}


def put_odd_entries(fleet: RelayFleet, topic: str) -> None:
    for number, text in enumerate(ODD_ENTRIES[topic]):
        key = "config" if topic == "keyed.op" else f"odd-{number}"
        fleet.store.post("/put", {"topic": topic, "key": key, "value": text})


def is_served_by(fleet: RelayFleet, server: str, host: int) -> bool:
    call_id = f"id-{time.monotonic()}"
    answer = fleet.send_request(PATHS["many"], call_id, call_id.encode(), host=host)
    return answer.status == 200 and bool(fleet.runs(server))


# Guards against one entry of another writer after which hosts end, or follow the topic no more.
@pytest.mark.parametrize("topic", ODD_ENTRIES)
def test_hosts_follow_the_store_past_odd_entries(fleet: RelayFleet, topic: str) -> None:
    fleet.put_configuration(make_configuration())
    fleet.add_backend("app-0", "app")
    fleet.add_host("host-0")
    wait_until(lambda: is_served_by(fleet, "app-0", host=0))
    put_odd_entries(fleet, topic)
    # A host that starts now reads the entries at once, the other one as they come.
    if topic == "keyed.op":
        fleet.put_configuration(make_configuration(3))
    fleet.add_host("host-1")
    fleet.put("keyed.servers", "app-0", None)
    fleet.add_backend("app-1", "app")
    for host in (0, 1):
        wait_until(lambda host=host: is_served_by(fleet, "app-1", host))  # type: ignore[misc]
        # Callers are not sent to an address of an entry that can't be one.
        for number in range(20):
            call_id = f"last-{host}-{number}"
            assert fleet.send_request(PATHS["many"], call_id, b"", host=host).status == 200
    # The second read of the list of hosts comes after two seconds.
    time.sleep(2.5 if topic == "keyed.hosts" else 0.5)
    for host in (0, 1):
        assert fleet.hosts[host].popen.poll() is None
        errors = [line for line in fleet.log_lines(host) if line["message"] == "unexpected error"]
        assert not errors, errors[:3]
    assert not error_lines(fleet)


# Guards against a plan of another writer that ends the reading of plans.
@pytest.mark.parametrize(
    "payload",
    [
        DEEP,
        '{"pools": {"app": {"base": 1e999, "zones": {}}}}',
        '{"pools": {"app": {"base": 1, "zones": {"fes-a": [1e999, 0]}}}}',
        '{"pools": {"app": {"base": 1, "zones": {"fes-a": [1]}}}}',
        '{"pools": 7}',
        "\x00",
    ],
)
def test_an_odd_plan_is_no_plan(payload: str) -> None:
    assert decode_plan(payload.encode()) is None
