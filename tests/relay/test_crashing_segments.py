"""Prompt segments that crash each engine that begins to answer them, at relay host processes."""

import time
from itertools import count

from berylquay.relay.host import CRASH_RETENTION_S
from berylquay.relay.segment_crash_handler import CONTENT_LIMITS
from tests.support.relay_fleet import PATHS, RelayFleet, make_configuration, wait_until

POISON = "dead"
SHARED = "5a5a:400"
ENGINES = 9
CRASHES_TO_QUARANTINE = 3
# Requests that may still reach engines while the hosts learn of the last crash from each other.
REQUESTS_ON_THE_WAY = 3
# Crashes of a content that lie closer together may have a cause of their own.
MIN_SPAN_S = CONTENT_LIMITS.min_span_s


class Callers:
    """Sends prompts that have nothing in common but their first segment and, some, the poison."""

    def __init__(self, fleet: RelayFleet) -> None:
        self._fleet = fleet
        self._numbers = count()

    def send(self, host: int, *, poison: bool) -> int:
        """Sends a prompt to a host and returns the status of the answer."""
        number = next(self._numbers)
        middle = f"{POISON}:200" if poison else f"b{number % 2}:200"
        headers = {
            "Token-Counts": "900,4",
            "Prompt-Prefix": f"{SHARED},{middle},f{number:04x}:300",
        }
        body = f"prompt {number}".encode()
        path = f"{PATHS['stream']}{number}"
        return self._fleet.send_request(path, f"id-{number}", body, headers, host).status


def start_engines(fleet: RelayFleet, hosts: int) -> Callers:
    fleet.put_configuration(make_configuration())
    for number in range(ENGINES):
        name = f"decode-{number}"
        fleet.add_backend(name, "lm", "decode")
        fleet.backends[name].post("/faults", {"crash_on_segment": POISON})
    for number in range(hosts):
        fleet.add_host(f"host-{number}")
    return Callers(fleet)


def ended_engines(fleet: RelayFleet) -> list[str]:
    return [name for name, process in fleet.backends.items() if process.popen.poll() is not None]


def crash_one_engine(fleet: RelayFleet, callers: Callers, host: int) -> None:
    """Sends the poison, and removes the entry of the engine that it has crashed."""
    before = set(ended_engines(fleet))
    assert callers.send(host, poison=True) == 502
    wait_until(lambda: len(ended_engines(fleet)) > len(before))
    (name,) = set(ended_engines(fleet)) - before
    fleet.put("keyed.servers", name, None)


# Guards against requests that crash one engine after the other by a part that their prompts share.
def test_a_segment_that_crashes_engines_is_refused_by_all_hosts(fleet: RelayFleet) -> None:
    callers = start_engines(fleet, hosts=2)
    wait_until(lambda: all(callers.send(host, poison=False) == 200 for host in (0, 1)))
    for crash in range(CRASHES_TO_QUARANTINE):
        crash_one_engine(fleet, callers, crash % 2)
        # The removal of the entry confirms the crash.
        wait_until(
            lambda: all(
                [line["message"] for line in fleet.log_lines(host)].count("backend server gone")
                == len(ended_engines(fleet))
                for host in (0, 1)
            )
        )
    wait_until(lambda: all(callers.send(host, poison=True) == 503 for host in (0, 1)), 3.0)
    assert len(ended_engines(fleet)) <= CRASHES_TO_QUARANTINE + REQUESTS_ON_THE_WAY
    ended = len(ended_engines(fleet))
    assert [callers.send(host, poison=True) for host in (0, 1) * 5] == [503] * 10
    assert len(ended_engines(fleet)) == ended
    # Prompts that share only the first segment are served as before.
    assert [callers.send(host, poison=False) for host in (0, 1) * 5] == [200] * 10


# Guards against hosts that all start anew and let engines crash until they know the cause again.
def test_a_quarantine_outlives_all_hosts(fleet: RelayFleet) -> None:
    callers = start_engines(fleet, hosts=2)
    wait_until(lambda: all(callers.send(host, poison=False) == 200 for host in (0, 1)))
    for crash in range(CRASHES_TO_QUARANTINE):
        crash_one_engine(fleet, callers, crash % 2)
        time.sleep(0.3)
    wait_until(lambda: all(callers.send(host, poison=True) == 503 for host in (0, 1)), 3.0)
    wait_until(lambda: any(map(has_written_quarantine, map(fleet.log_lines, (0, 1)))))
    # Prompts that were sent until the hosts knew have ended more engines; their entries lapse too.
    for name in ended_engines(fleet):
        fleet.put("keyed.servers", name, None)
    for host in fleet.hosts:
        host.kill()
    first_newcomer = len(fleet.hosts)
    fleet.add_host("host-2")
    fleet.add_host("host-3")
    ended = len(ended_engines(fleet))
    newcomers = (first_newcomer, first_newcomer + 1)
    wait_until(lambda: all(map(knows_quarantine, map(fleet.log_lines, newcomers))), 4.0)
    assert [callers.send(host, poison=True) for host in newcomers * 5] == [503] * 10
    assert len(ended_engines(fleet)) == ended
    assert [callers.send(host, poison=False) for host in newcomers] == [200] * 2


def has_written_quarantine(lines: list[dict[str, object]]) -> bool:
    return any(line["message"] == "quarantines written" for line in lines)


def knows_quarantine(lines: list[dict[str, object]]) -> bool:
    return any(line["message"] == "segment is quarantined" for line in lines)


# Guards against a retry of a content that was quarantined while its request was at a server.
def test_a_quarantined_content_is_not_retried(fleet: RelayFleet) -> None:
    fleet.put_configuration(make_configuration())
    names = [f"app-{number}" for number in range(5)]
    for name in names:
        fleet.add_backend(name, "app")
        fleet.backends[name].post("/faults", {"lose_answer": True})
    fleet.add_host()
    statuses = [
        fleet.send_request(PATHS["many"], f"id-{number}", b"the same").status for number in (1, 2)
    ]
    assert statuses == [502, 502]
    # Two attempts of the first request, and one of the second.
    assert len(fleet.runs(*names)) == CRASHES_TO_QUARANTINE


# Guards against a request that crashes servers and reaches them again once the time is over after
# which losses are forgotten (case 4 of the review).
def test_a_content_that_crashes_servers_is_refused_by_all_hosts_for_long(fleet: RelayFleet) -> None:
    fleet.put_configuration(make_configuration())
    names = [f"app-{number}" for number in range(6)]
    for name in names:
        fleet.add_backend(name, "app")
        fleet.backends[name].post("/faults", {"lose_answer": True})
    hosts = (fleet.add_host("host-0"), fleet.add_host("host-1"))
    for number in (1, 2):
        assert fleet.send_request(PATHS["many"], f"id-{number}", b"the same").status == 502
        for name in names:
            if fleet.runs(name):
                fleet.put("keyed.servers", name, None)
        time.sleep(MIN_SPAN_S)
    wait_until(lambda: all(is_refused_for_long(fleet, host) for host in range(len(hosts))), 5.0)
    assert len(fleet.runs(*names)) <= CRASHES_TO_QUARANTINE + REQUESTS_ON_THE_WAY
    for name in names:
        fleet.backends[name].post("/faults", {})
    statuses = [
        fleet.send_request(PATHS["many"], f"id-other-{host}", b"another", host=host).status
        for host in range(len(hosts))
    ]
    assert statuses == [200, 200]


def is_refused_for_long(fleet: RelayFleet, host: int) -> bool:
    response = fleet.send_request(PATHS["many"], f"id-again-{host}", b"the same", host=host)
    return response.status == 503 and float(response.headers["retry-after"]) > CRASH_RETENTION_S
