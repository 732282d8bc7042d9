"""Bytes, memory and processor time of what a host's control takes in, for the capacity page."""

import json
import time
import tracemalloc
from typing import Final

from attrs import evolve, frozen

from bench.scenarios import read_fleet
from berylquay.decisions.deployment import TenantSpec
from berylquay.decisions.deployment_json import deployment_to_json
from berylquay.decisions.tenant_shares import TenantShares
from berylquay.peers.codec import encode_payload
from berylquay.peers.payloads import CrashReport, DrainAcknowledgement, DrainNotice, Heartbeat
from berylquay.standalone.membership_poller import parse_membership

TENANTS: Final = 4900
RUNNERS: Final = 12000
FINGERPRINT: Final = "0" * 64
IN_FLIGHT: Final = 48


@frozen
class Size:
    """One figure."""

    what: str
    value: float
    unit: str


def measure_sizes() -> list[Size]:
    """Returns the figures."""
    return [*_messages(), *_membership(), *_deployment(), *_shares()]


def _messages() -> list[Size]:
    payloads = (
        Heartbeat("fes-dc1-h03-1a2b3c4d", 123456789),
        DrainNotice("fes-dc1-e0123", True, 123456789, 42),
        DrainAcknowledgement("fes-dc1-e0123", 123456789, 3, 42),
        CrashReport("fes-dc1-e0123", (FINGERPRINT,) * IN_FLIGHT, 1.25),
    )
    return [Size(type(each).__name__, len(encode_payload(each)), "bytes") for each in payloads]


def _membership() -> list[Size]:
    entry = {
        "kind": "engine",
        "address": "10.101.102.103:8000",
        "region": "fes",
        "data_centre": "fes-dc1",
        "pool": "cellar-lm",
        "state": "live",
    }
    backends = [{"name": f"fes-dc1-e{number:05d}", **entry} for number in range(RUNNERS)]
    body = json.dumps({"version": 1, "hosts": [], "backends": backends}).encode()
    begin_s = time.process_time()
    parse_membership(json.loads(body))
    parse_s = time.process_time() - begin_s
    return [
        Size(f"membership list of {RUNNERS} runners", len(body), "bytes"),
        Size("its parsing", parse_s * 1000.0, "ms"),
    ]


def _deployment() -> list[Size]:
    tenants = tuple(TenantSpec(f"tenant-{number:05d}") for number in range(TENANTS))
    sizes = []
    for part in (tenants[:4], tenants):
        deployment = evolve(read_fleet("meskel").deployment, tenants=part)
        text = json.dumps(deployment_to_json(deployment))
        sizes.append(Size(f"deployment of {len(part)} tenants as JSON", len(text), "bytes"))
    return sizes


def _shares() -> list[Size]:
    specs = [TenantSpec(f"tenant-{number:05d}") for number in range(TENANTS)]
    tracemalloc.start()
    shares = TenantShares(specs)
    for spec in specs:
        shares.add_work(spec.name, 0.1, 1.0)
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    begin_s = time.process_time()
    for spec in specs:
        shares.add_work(spec.name, 0.1, 2.0)
        shares.usage_ratio(spec.name, 2.0)
    each_us = (time.process_time() - begin_s) / TENANTS * 1e6
    return [
        Size(f"shares of {TENANTS} tenants", memory_bytes, "bytes"),
        Size("a share counted and read", each_us, "us"),
    ]
