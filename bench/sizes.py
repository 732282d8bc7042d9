"""Bytes, memory and processor time of control messages and state, for the capacity page."""

import json
import time
import tracemalloc
from typing import Final

from attrs import evolve, frozen

from bench.scenarios import read_fleet
from berylquay.decisions.deployment import TenantSpec
from berylquay.decisions.deployment_json import deployment_to_json
from berylquay.decisions.tenants.shares import TenantShares
from berylquay.peers.codec import encode_payload
from berylquay.peers.payloads import CrashReport, DrainAcknowledgement, DrainNotice, Heartbeat
from berylquay.standalone.membership_poller import parse_membership

TENANT_COUNT: Final = 4900
ENGINE_COUNT: Final = 12000
FINGERPRINT: Final = "0" * 64
IN_FLIGHT_CALLS: Final = 48


@frozen
class Measurement:
    """One measured value."""

    label: str
    value: float
    unit: str


def measure_sizes() -> list[Measurement]:
    """Returns all measurements."""
    return [
        *_measure_messages(),
        *_measure_membership(),
        *_measure_deployment(),
        *_measure_shares(),
    ]


def _measure_messages() -> list[Measurement]:
    payloads = (
        Heartbeat("fes-dc1-h03-1a2b3c4d", 123456789),
        DrainNotice("fes-dc1-e0123", True, 123456789, 42),
        DrainAcknowledgement("fes-dc1-e0123", 123456789, 3, 42),
        CrashReport("fes-dc1-e0123", (FINGERPRINT,) * IN_FLIGHT_CALLS, 1.25),
    )
    return [
        Measurement(type(each).__name__, len(encode_payload(each)), "bytes") for each in payloads
    ]


def _measure_membership() -> list[Measurement]:
    entry = {
        "kind": "engine",
        "address": "10.101.102.103:8000",
        "region": "fes",
        "data_centre": "fes-dc1",
        "pool": "cellar-lm",
        "state": "live",
    }
    backends = [{"name": f"fes-dc1-e{number:05d}", **entry} for number in range(ENGINE_COUNT)]
    body = json.dumps({"version": 1, "hosts": [], "backends": backends}).encode()
    started_s = time.process_time()
    parse_membership(json.loads(body))
    parse_s = time.process_time() - started_s
    return [
        Measurement(f"membership list of {ENGINE_COUNT} runners", len(body), "bytes"),
        Measurement("its parsing", parse_s * 1000.0, "ms"),
    ]


def _measure_deployment() -> list[Measurement]:
    tenants = tuple(TenantSpec(f"tenant-{number:05d}") for number in range(TENANT_COUNT))
    sizes = []
    for subset in (tenants[:4], tenants):
        deployment = evolve(read_fleet("meskel").deployment, tenants=subset)
        text = json.dumps(deployment_to_json(deployment))
        sizes.append(
            Measurement(f"deployment of {len(subset)} tenants as JSON", len(text), "bytes")
        )
    return sizes


def _measure_shares() -> list[Measurement]:
    specs = [TenantSpec(f"tenant-{number:05d}") for number in range(TENANT_COUNT)]
    tracemalloc.start()
    shares = TenantShares(specs)
    for spec in specs:
        shares.add_work(spec.name, 0.1, 1.0)
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    started_s = time.process_time()
    for spec in specs:
        shares.add_work(spec.name, 0.1, 2.0)
        shares.usage_ratio(spec.name, 2.0)
    update_us = (time.process_time() - started_s) / TENANT_COUNT * 1e6
    return [
        Measurement(f"shares of {TENANT_COUNT} tenants", memory_bytes, "bytes"),
        Measurement("a share counted and read", update_us, "us"),
    ]
