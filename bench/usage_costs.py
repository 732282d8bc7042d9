"""Costs of usage counts at 340 hosts and 4,900 tenants: `python -m bench.usage_costs`."""

import time
from collections import Counter
from random import Random
from typing import Final

from berylquay.decisions.duties.usage_counts import CollectedUsage
from berylquay.relay.usage_messages import UsageCounts, decode_message, encode_counts

HOSTS: Final = 340
TENANTS: Final = 4900
EXPONENT: Final = 1.2
WINDOW_S: Final = 5
WINDOW_ID: Final = 353445120
# Requests a second that begin at each host.
RATES_PER_S: Final = (60, 200)


def main() -> None:
    """Prints the costs of one complete set of counts from all hosts."""
    rng = Random(1)
    letters = "abcdefghijklmnopqrstuvwxyz"
    names = [
        "".join(rng.choices(letters, k=4)) + str(rng.randint(100, 999)) for _ in range(TENANTS)
    ]
    weights = [(rank + 1) ** -EXPONENT for rank in range(TENANTS)]
    for rate_per_s in RATES_PER_S:
        datagrams = []
        for host in range(HOSTS):
            counts = Counter(rng.choices(names, weights, k=rate_per_s * WINDOW_S))
            message = UsageCounts(
                f"front-{host}", f"front-{host}-0123abcd", 1.7e9, WINDOW_ID, True, 0, counts
            )
            datagrams += encode_counts(message)
        began_s = time.process_time()
        collected = CollectedUsage()
        for data in datagrams:
            part = decode_message(data)
            assert isinstance(part, UsageCounts)
            collected.on_counts(
                part.incarnation, WINDOW_ID, part.counts, total=part.total, is_final=True
            )
        merged_s = time.process_time() - began_s
        sums = collected.sums(WINDOW_ID)
        size_bytes = sum(map(len, datagrams))
        print(
            f"{rate_per_s} requests/s a host: {size_bytes / HOSTS:.0f} bytes a host, "
            f"{size_bytes / 1e6:.2f} MB and {len(datagrams)} datagrams at a collector, "
            f"merged in {merged_s:.3f} s; {len(sums)} tenants in the sums"
        )
    full = UsageCounts("h", "h-1", 1.7e9, WINDOW_ID, True, 0, dict.fromkeys(names, 412))
    datagrams = encode_counts(full)
    print(f"all tenants at one host: {len(datagrams)} datagrams, {sum(map(len, datagrams))} bytes")


if __name__ == "__main__":
    main()
