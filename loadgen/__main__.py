"""`python -m loadgen`: compares load through one entry host with load sent directly to stand-ins.

Each round runs the same load through the host and directly, in alternating order; the figures are
medians over the rounds. The load goes to loopback only and is limited.
"""

import argparse
import asyncio
import functools
import resource
import statistics
import tempfile
from pathlib import Path
from typing import Final

from attrs import define, field, frozen

from examples.processes import Process
from loadgen.clients import (
    Job,
    Measurements,
    Target,
    call_repeatedly,
    post_request,
    run_together,
    stream_once,
)
from tests.scenarios.conftest import wait_until_served
from tests.support.fleet import Fleet, start_fleet

CONNECTIONS: Final = 16
CALLS_PER_CONNECTION: Final = 60
# The stand-in engines are started with the same capacity, so that admission refuses nothing.
HIGH_CAPACITY_SETTINGS: Final = "[engines]\nmax_batch = 1000\ntoken_per_sequence_s = 0"
PAGE_BYTES: Final = resource.getpagesize()


@frozen
class Run:
    """Measurements of one run, with the host's processor time."""

    duration_s: float
    cpu_s: float
    measurements: Measurements


@define
class Series:
    """All runs of one path, direct or through the host."""

    runs: list[Run] = field(factory=list)

    def rate(self) -> float:
        """Returns the median of the runs' requests per second."""
        return statistics.median(
            len(run.measurements.latencies_s) / run.duration_s for run in self.runs
        )

    def latency_ms(self, quantile: float) -> float:
        """Returns a quantile of all latencies, in milliseconds."""
        return _quantile_ms(
            [s for run in self.runs for s in run.measurements.latencies_s], quantile
        )

    def first_event_ms(self, quantile: float) -> float:
        """Returns a quantile of all times to the first event, in milliseconds."""
        return _quantile_ms(
            [s for run in self.runs for s in run.measurements.first_events_s], quantile
        )

    def event_rate(self) -> float:
        """Returns the median of the runs' events per second."""
        return statistics.median(run.measurements.events / run.duration_s for run in self.runs)

    def cpu_share(self) -> float:
        """Returns the median of the host's processor time per second of wall-clock time."""
        return statistics.median(run.cpu_s / run.duration_s for run in self.runs)

    def failures(self) -> int:
        """Returns the number of answers that failed or were truncated."""
        return sum(run.measurements.failures for run in self.runs)


def main() -> None:
    """Runs the loads that the command line names."""
    parser = argparse.ArgumentParser(prog="loadgen", description=__doc__)
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--streams", type=int, default=200)
    parser.add_argument("--tokens", type=int, default=100)
    parser.add_argument("--token-interval-ms", type=float, default=45.0)
    parser.add_argument("--engines", type=int, default=4)
    parser.add_argument("loads", nargs="*", default=["calls", "single", "streams"])
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as directory:
        fleet = start_fleet(
            Path(directory),
            engines=arguments.engines,
            services=2,
            hosts=1,
            engine_arguments=(
                "--token-interval-ms",
                str(arguments.token_interval_ms),
                "--max-batch",
                "1000",
            ),
            more_settings=HIGH_CAPACITY_SETTINGS,
        )
        try:
            wait_until_served(fleet.hosts[0])
            for load in arguments.loads:
                _LOADS[load](fleet, arguments)
        finally:
            fleet.processes.stop_all()


def _run_calls(fleet: Fleet, arguments: argparse.Namespace, connections: int) -> None:
    through = Target(fleet.hosts[0].port, _lookup_request("/v1/services/cellar-log/readings/7"))
    direct = Target(fleet.services[0].port, _lookup_request("/readings/7"))
    series = {"through": Series(), "direct": Series()}
    for _ in range(arguments.rounds):
        for name, target in (("through", through), ("direct", direct)):
            measurements = Measurements()
            job: Job = functools.partial(
                call_repeatedly, target, CALLS_PER_CONNECTION, measurements
            )
            series[name].runs.append(_measure(fleet.hosts[0], [job] * connections, measurements))
    print(f"short calls on {connections} connections, {arguments.rounds} rounds")
    for name, runs in series.items():
        print(
            f"  {name:8} {runs.rate():7.0f} requests/s  median {runs.latency_ms(0.5):6.2f} ms"
            f"  p99 {runs.latency_ms(0.99):6.2f} ms  failures {runs.failures()}"
        )
    added_ms = series["through"].latency_ms(0.5) - series["direct"].latency_ms(0.5)
    print(f"  added at the median {added_ms:.2f} ms")


def _run_streams(fleet: Fleet, arguments: argparse.Namespace) -> None:
    through = Target(fleet.hosts[0].port, _chat_request(arguments.tokens))
    direct_targets = [
        Target(engine.port, _generate_request(arguments.tokens)) for engine in fleet.engines
    ]
    series = {"through": Series(), "direct": Series()}
    for _ in range(arguments.rounds):
        measurements = Measurements()
        jobs: list[Job] = [
            functools.partial(stream_once, through, measurements)
        ] * arguments.streams
        series["through"].runs.append(_measure(fleet.hosts[0], jobs, measurements))
        measurements = Measurements()
        jobs = [
            functools.partial(stream_once, direct_targets[n % len(direct_targets)], measurements)
            for n in range(arguments.streams)
        ]
        series["direct"].runs.append(_measure(fleet.hosts[0], jobs, measurements))
    print(f"{arguments.streams} streams of {arguments.tokens} tokens, {arguments.rounds} rounds")
    for name, runs in series.items():
        print(
            f"  {name:8} {runs.event_rate():7.0f} events/s  whole {runs.latency_ms(0.5):7.0f} ms"
            f"  first token median {runs.first_event_ms(0.5):6.1f}"
            f" p99 {runs.first_event_ms(0.99):6.1f} ms"
            f"  host's core {runs.cpu_share():5.1%}  failures {runs.failures()}"
        )
    print(f"  host's resident memory after {_resident_mb(fleet.hosts[0]):.0f} MB")


def _measure(host: Process, jobs: list[Job], measurements: Measurements) -> Run:
    before_s = _cpu_s(host)
    duration_s = asyncio.run(run_together(jobs))
    return Run(duration_s, _cpu_s(host) - before_s, measurements)


def _lookup_request(path: str) -> bytes:
    return post_request(path, {}, {"X-Tenant": "fes", "X-Class": "reading-lookup"})


def _chat_request(tokens: int) -> bytes:
    value = {
        "model": "cellar-lm",
        "messages": [{"role": "user", "content": "how warm?"}],
        "max_tokens": tokens,
        "stream": True,
    }
    headers = {"X-Tenant": "fes", "X-Class": "cellar-summary"}
    return post_request("/v1/chat/completions", value, headers)


def _generate_request(tokens: int) -> bytes:
    value = {
        "attempt_id": "direct",
        "model": "cellar-lm",
        "prompt": "user: how warm?",
        "prompt_tokens": 4,
        "max_tokens": tokens,
    }
    return post_request("/v1/generate", value, {})


def _cpu_s(process: Process) -> float:
    fields = Path(f"/proc/{process.popen.pid}/stat").read_text(encoding="utf-8").split()
    return (int(fields[13]) + int(fields[14])) / 100


def _resident_mb(process: Process) -> float:
    fields = Path(f"/proc/{process.popen.pid}/statm").read_text(encoding="utf-8").split()
    return int(fields[1]) * PAGE_BYTES / 1e6


def _quantile_ms(values_s: list[float], quantile: float) -> float:
    ordered = sorted(values_s)
    return ordered[min(int(len(ordered) * quantile), len(ordered) - 1)] * 1000


_LOADS: Final = {
    "calls": lambda fleet, arguments: _run_calls(fleet, arguments, CONNECTIONS),
    "single": lambda fleet, arguments: _run_calls(fleet, arguments, 1),
    "streams": _run_streams,
}


if __name__ == "__main__":
    main()
