"""The list of hosts in the store: each host writes its load report address and reads the others."""

import json
from collections.abc import Callable
from random import Random
from typing import Final

import logbook

from berylquay.decisions.fleet import Address
from berylquay.platform.store_client import (
    AppendResult,
    KeyedRecord,
    NewestRecordsPage,
    StoreClient,
    StoreFailure,
    encode_keyed_record,
)
from berylquay.platform.wire_names import TOPIC_HOSTS
from berylquay.relay.follower import FAILURE_BACKOFF
from berylquay.relay.report_fields import FIELD_ERRORS, decode_address
from berylquay.settings.relay_settings import RelayOptions

# Interval between reads of the list; in between, new hosts are discovered by their load reports.
# Only the first host of a group reads often, so that the reads do not grow with the fleet.
FIRST_HOST_READ_INTERVAL_S: Final = 20.0
LIST_READ_INTERVAL_S: Final = 60.0
# Fraction of the interval by which reads are spread, so that hosts that started together do not
# read together.
READ_INTERVAL_SPREAD_FRACTION: Final = 0.25
# Time from the first read to the second; by then all hosts that started together have written their
# entries.
SECOND_READ_DELAY_S: Final = 2.0
# Time over which the hosts spread the writing of their entries after the store has come back from
# an older copy, and time after which the list is complete again.
NEW_ERA_WRITE_SPREAD_S: Final = 1.5
NEW_ERA_SETTLE_S: Final = 4.0
_log = logbook.Logger("host-list")


class HostList:
    """Writes this host's entry once, reads all regularly, and removes its own at shutdown."""

    # Number of hosts in the list, this one included; 1 until the list was read.
    listed_host_count: int
    # Whether the list was read while it was complete.
    is_count_known: bool
    _store_client: StoreClient
    _options: RelayOptions
    _rng: Random
    # Called with name, address and data centre of each host in the list.
    _on_host_listed: Callable[[str, Address, str], None]
    # Tells whether this host is the first of those that exchange load reports.
    _is_first_of_group: Callable[[], bool]
    _entry_written: bool
    _read_count: int
    _removing: bool
    _next_call_s: float
    _next_read_s: float
    # Monotonic time until which entries may be missing from the list.
    _incomplete_until_s: float
    # Monotonic time of the last tick.
    _last_tick_s: float
    _consecutive_failures: int

    def __init__(
        self,
        store_client: StoreClient,
        options: RelayOptions,
        rng: Random,
        on_host_listed: Callable[[str, Address, str], None],
        is_first_of_group: Callable[[], bool],
    ) -> None:
        self.listed_host_count = 1
        self.is_count_known = False
        self._store_client = store_client
        self._options = options
        self._rng = rng
        self._on_host_listed = on_host_listed
        self._is_first_of_group = is_first_of_group
        self._entry_written = False
        self._read_count = 0
        self._removing = False
        self._next_call_s = float("-inf")
        self._next_read_s = float("-inf")
        self._incomplete_until_s = float("-inf")
        self._last_tick_s = float("-inf")
        self._consecutive_failures = 0

    def on_new_era(self, now_s: float) -> None:
        """Writes this host's entry, or its removal, again: the store came back without it."""
        self._store_client.abandon_call()
        self._entry_written = False
        self._next_call_s = now_s + self._rng.uniform(0.0, NEW_ERA_WRITE_SPREAD_S)
        self._incomplete_until_s = now_s + NEW_ERA_SETTLE_S

    def remove_entry(self) -> None:
        """Starts removing this host's entry; `on_tick` retries until the store accepts it."""
        self._removing = True
        self._entry_written = False
        self._next_call_s = float("-inf")

    def on_tick(self, now_s: float) -> None:
        """Sends the next request to the store when it is due."""
        self._last_tick_s = now_s
        self._store_client.on_tick(now_s)
        if self._store_client.busy or now_s < self._next_call_s:
            return
        if not self._entry_written:
            self._back_off(now_s)
            self._store_client.append(TOPIC_HOSTS, [self._encode_entry()], self._on_appended)
        elif not self._removing and now_s >= self._next_read_s:
            self._back_off(now_s)
            self._next_read_s = now_s + self._read_interval_s()
            self._store_client.read_newest(TOPIC_HOSTS, "", self._on_newest)

    def _back_off(self, now_s: float) -> None:
        self._next_call_s = now_s + FAILURE_BACKOFF.delay_s(
            self._consecutive_failures + 1, self._rng
        )

    def _read_interval_s(self) -> float:
        if not self._read_count:
            return SECOND_READ_DELAY_S
        interval_s = (
            FIRST_HOST_READ_INTERVAL_S if self._is_first_of_group() else LIST_READ_INTERVAL_S
        )
        return interval_s * (1.0 - READ_INTERVAL_SPREAD_FRACTION * self._rng.random())

    def _encode_entry(self) -> bytes:
        options = self._options
        if self._removing:
            return encode_keyed_record(options.host, b"")
        address = options.peers_address
        entry_fields = {
            "ip": address.ip,
            "port": address.port,
            "data_centre": options.data_centre,
        }
        return encode_keyed_record(options.host, json.dumps(entry_fields).encode())

    def _on_appended(self, result: AppendResult | StoreFailure) -> None:
        if isinstance(result, StoreFailure):
            self._on_failure(result)
            return
        self._consecutive_failures = 0
        self._entry_written = True
        self._next_call_s = float("-inf")

    def _on_newest(self, result: NewestRecordsPage | StoreFailure) -> None:
        if isinstance(result, StoreFailure):
            self._on_failure(result)
            return
        self._consecutive_failures = 0
        self._read_count += 1
        self._update_host_count(len(result.records))
        for record in result.records:
            self._apply_record(record)

    def _update_host_count(self, listed: int) -> None:
        # Hosts that have not written their entries again still spend their shares of the budgets.
        is_incomplete = self._last_tick_s < self._incomplete_until_s
        self.is_count_known = self.is_count_known or not is_incomplete
        least = self.listed_host_count if is_incomplete else 1
        self.listed_host_count = max(least, listed)

    def _apply_record(self, record: KeyedRecord) -> None:
        try:
            entry_fields = json.loads(record.value or b"")
            address = decode_address(entry_fields["ip"], entry_fields["port"])
            data_centre = str(entry_fields["data_centre"])
        except FIELD_ERRORS as error:
            _log.warning("unreadable host entry", host=record.key, detail=repr(error))
            return
        self._on_host_listed(record.key, address, data_centre)

    def _on_failure(self, failure: StoreFailure) -> None:
        self._consecutive_failures += 1
        if self._consecutive_failures == 1:
            self._next_call_s = self._next_read_s = float("-inf")
        _log.info("host list request failed", status=failure.status, detail=failure.detail)
