"""Faults that the scenarios and the seeded rounds inject into a data centre, by name."""

import time
from collections.abc import Callable
from typing import Final

from tests.support.data_centre_processes import LEASE_S, ORDER_MARGIN_S, DataCentreProcesses

# Time after which another host has become the controller.
TAKEOVER_S: Final = LEASE_S + ORDER_MARGIN_S + 1.5


def pause_controller_host(data_centre: DataCentreProcesses) -> None:
    """Pauses the controller host until another host has taken over its lease, and resumes it."""
    controller = data_centre.controller_host()
    data_centre.hosts[controller].pause()
    data_centre.wait_until(lambda: data_centre.controller_host() != controller, "nobody takes over")
    data_centre.hosts[controller].resume()


def pause_controller_host_and_sender(data_centre: DataCentreProcesses) -> None:
    """Pauses the controller host and its sender past the lease, and resumes the sender first."""
    controller = data_centre.controller_host()
    for process in (data_centre.hosts[controller], data_centre.senders[controller]):
        process.pause()
    data_centre.wait_until(lambda: data_centre.controller_host() != controller, "nobody takes over")
    data_centre.senders[controller].resume()
    time.sleep(0.2)
    data_centre.hosts[controller].resume()


def kill_controller_host_during_order(data_centre: DataCentreProcesses) -> None:
    """Kills the controller host while an engine executes one of its orders."""

    def is_order_in_flight() -> bool:
        return any(data_centre.state(name).get("order_under_way") for name in data_centre.engines)

    data_centre.wait_until(is_order_in_flight, "no order is given")
    data_centre.hosts[data_centre.controller_host()].kill()


def terminate_controller_host(data_centre: DataCentreProcesses) -> None:
    """Terminates the controller host, which releases its lease first."""
    controller = data_centre.controller_host()
    data_centre.hosts[controller].terminate()
    data_centre.wait_until(lambda: data_centre.controller_host() != controller, "nobody takes over")


def kill_order_sender(data_centre: DataCentreProcesses) -> None:
    """Kills the order sender of the controller host."""
    data_centre.senders[data_centre.controller_host()].kill()


def make_log_unavailable(data_centre: DataCentreProcesses) -> None:
    """Makes the log unavailable for longer than the lease."""
    data_centre.log.post("/faults", {"away": True})
    time.sleep(TAKEOVER_S)
    data_centre.log.post("/faults", {})


def lose_append_responses(data_centre: DataCentreProcesses) -> None:
    """Loses the responses to the next 4 appends after they have taken effect."""
    data_centre.log.post("/faults", {"lose_answers": 4})


def lose_order_responses(data_centre: DataCentreProcesses) -> None:
    """Loses each engine's response to its next order after it has taken effect."""
    for engine in data_centre.engines.values():
        engine.post("/faults", {"lose_order_answers": 1})


def crash_during_change(data_centre: DataCentreProcesses) -> None:
    """Makes every engine crash during its next change."""
    for engine in data_centre.engines.values():
        engine.post("/faults", {"crash_amid_order": True})


def pause_controller_host_during_log_outage(data_centre: DataCentreProcesses) -> None:
    """Pauses the controller host, makes the log unavailable, and resumes the host first."""
    controller = data_centre.hosts[data_centre.controller_host()]
    controller.pause()
    data_centre.log.post("/faults", {"away": True})
    time.sleep(TAKEOVER_S)
    controller.resume()
    time.sleep(0.5)
    data_centre.log.post("/faults", {})


FAULTS: Final[dict[str, Callable[[DataCentreProcesses], None]]] = {
    "the holder is paused past its lease": pause_controller_host,
    "the holder and its sender are paused past the lease": pause_controller_host_and_sender,
    "the holder is told to stop": terminate_controller_host,
    "the holder is killed amid an order": kill_controller_host_during_order,
    "the holder's sender is killed": kill_order_sender,
    "the platform is away for longer than the lease": make_log_unavailable,
    "answers to appends are lost": lose_append_responses,
    "answers to orders are lost": lose_order_responses,
    "every engine crashes amid its next change": crash_during_change,
    "the holder is paused while the platform is away": pause_controller_host_during_log_outage,
}


def kill_and_restart_engines(data_centre: DataCentreProcesses) -> None:
    """Kills every engine one after the other; each starts again with the old version."""
    for name, engine in list(data_centre.engines.items()):
        if engine.popen.poll() is None:
            data_centre.earlier_witness_entries[name] = data_centre.witness(name)
            engine.kill()
        data_centre.restart_ended_processes()


def find_order_violations(data_centre: DataCentreProcesses) -> list[str]:
    """Returns the orders that met another, came after a newer term or cut a request off."""
    violations: list[str] = []
    for name in data_centre.engines:
        newest = 0
        for kind, subject, detail in data_centre.witness(name):
            if kind in {"order-conflict", "cut-off"}:
                violations.append(f"{name}: {kind} {subject} {detail}")
            if kind == "order-accepted":
                term = int(subject.rsplit("-", 2)[1])
                if term < newest:
                    violations.append(f"{name}: {subject} after term {newest}")
                newest = max(newest, term)
    return violations
