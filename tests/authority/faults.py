"""Faults that scenarios and rounds bring about in a governed data centre, by name."""

import time
from collections.abc import Callable
from typing import Final

from tests.support.governed import LEASE_S, ORDER_MARGIN_S, GovernedCentre

# Time after which another host has taken over.
TAKEOVER_S: Final = LEASE_S + ORDER_MARGIN_S + 1.5


def pause_holder(centre: GovernedCentre) -> None:
    """Stops the holder past its lease, until another host holds it, and lets it go on."""
    holder = centre.holder()
    centre.hosts[holder].pause()
    centre.wait_until(lambda: centre.holder() != holder, "nobody takes over")
    centre.hosts[holder].resume()


def pause_holder_and_sender(centre: GovernedCentre) -> None:
    """Stops the holder and its sender past the lease, and lets the sender go on first."""
    holder = centre.holder()
    for process in (centre.hosts[holder], centre.senders[holder]):
        process.pause()
    centre.wait_until(lambda: centre.holder() != holder, "nobody takes over")
    centre.senders[holder].resume()
    time.sleep(0.2)
    centre.hosts[holder].resume()


def kill_holder_amid_order(centre: GovernedCentre) -> None:
    """Kills the holder while an order of it is under way."""

    def under_way() -> bool:
        return any(centre.state(name).get("order_under_way") for name in centre.engines)

    centre.wait_until(under_way, "no order is given")
    centre.hosts[centre.holder()].kill()


def stop_holder(centre: GovernedCentre) -> None:
    """Tells the holder to stop; it gives its authority up first."""
    holder = centre.holder()
    centre.hosts[holder].terminate()
    centre.wait_until(lambda: centre.holder() != holder, "nobody takes over")


def kill_holder_sender(centre: GovernedCentre) -> None:
    """Kills the sender beside the holder."""
    centre.senders[centre.holder()].kill()


def take_platform_away(centre: GovernedCentre) -> None:
    """Takes the log away for longer than the lease."""
    centre.log.post("/faults", {"away": True})
    time.sleep(TAKEOVER_S)
    centre.log.post("/faults", {})


def lose_append_answers(centre: GovernedCentre) -> None:
    """Loses the answers to the next appends after their effect."""
    centre.log.post("/faults", {"lose_answers": 4})


def lose_order_answers(centre: GovernedCentre) -> None:
    """Loses the answers to the next orders after their effect."""
    for engine in centre.engines.values():
        engine.post("/faults", {"lose_order_answers": 1})


def crash_amid_change(centre: GovernedCentre) -> None:
    """Lets every engine crash amid its next change."""
    for engine in centre.engines.values():
        engine.post("/faults", {"crash_amid_order": True})


def pause_holder_while_platform_is_away(centre: GovernedCentre) -> None:
    """Stops the holder and takes the log away, and lets the holder go on first."""
    holder = centre.hosts[centre.holder()]
    holder.pause()
    centre.log.post("/faults", {"away": True})
    time.sleep(TAKEOVER_S)
    holder.resume()
    time.sleep(0.5)
    centre.log.post("/faults", {})


FAULTS: Final[dict[str, Callable[[GovernedCentre], None]]] = {
    "the holder is paused past its lease": pause_holder,
    "the holder and its sender are paused past the lease": pause_holder_and_sender,
    "the holder is told to stop": stop_holder,
    "the holder is killed amid an order": kill_holder_amid_order,
    "the holder's sender is killed": kill_holder_sender,
    "the platform is away for longer than the lease": take_platform_away,
    "answers to appends are lost": lose_append_answers,
    "answers to orders are lost": lose_order_answers,
    "every engine crashes amid its next change": crash_amid_change,
    "the holder is paused while the platform is away": pause_holder_while_platform_is_away,
}


def replace_engines(centre: GovernedCentre) -> None:
    """Kills every engine one after the other; each starts again with the old version."""
    for name, engine in list(centre.engines.items()):
        if engine.popen.poll() is None:
            centre.past_witness[name] = centre.witness(name)
            engine.kill()
        centre.restart_dead()


def order_faults(centre: GovernedCentre) -> list[str]:
    """Returns every order that met another, came after a newer term or cut a request off."""
    faults: list[str] = []
    for name in centre.engines:
        newest = 0
        for kind, subject, detail in centre.witness(name):
            if kind in {"order-conflict", "cut-off"}:
                faults.append(f"{name}: {kind} {subject} {detail}")
            if kind == "order-accepted":
                term = int(subject.rsplit("-", 2)[1])
                if term < newest:
                    faults.append(f"{name}: {subject} after term {newest}")
                newest = max(newest, term)
    return faults
