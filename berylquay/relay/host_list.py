"""The list of hosts in the store: each host writes where it takes reports and reads the others."""

import json
from collections.abc import Callable
from random import Random
from typing import Final

import logbook

from berylquay.decisions.fleet import Address
from berylquay.platform.names import TOPIC_HOSTS
from berylquay.platform.store import (
    Appended,
    KeyedRecord,
    NewestPage,
    StoreClient,
    StoreFailure,
    encode_keyed,
)
from berylquay.relay.follower import FAILURE_BACKOFF
from berylquay.settings.relay_file import RelayOptions

# Interval between readings of the list; new hosts make themselves known by their reports.
LIST_READ_INTERVAL_S: Final = 20.0
# Time after the start of the first reading again, by when all that started together have written.
SECOND_READ_DELAY_S: Final = 2.0
_log = logbook.Logger("host-list")


class HostList:
    """Writes this host's entry once, reads all entries now and then, removes its own at the end."""

    # Hosts in the list, this one included once it has read it.
    count: int
    _store_client: StoreClient
    _options: RelayOptions
    _rng: Random
    # Told of each other host in the list.
    _on_host_listed: Callable[[str, Address, str], None]
    _entry_written: bool
    _reads: int
    _removing: bool
    _next_call_s: float
    _consecutive_failures: int

    def __init__(
        self,
        store_client: StoreClient,
        options: RelayOptions,
        rng: Random,
        on_host_listed: Callable[[str, Address, str], None],
    ) -> None:
        self.count = 1
        self._store_client = store_client
        self._options = options
        self._rng = rng
        self._on_host_listed = on_host_listed
        self._entry_written = False
        self._reads = 0
        self._removing = False
        self._next_call_s = float("-inf")
        self._consecutive_failures = 0

    def remove_entry(self) -> None:
        """Removes this host's entry as soon as the store takes it."""
        self._removing = True
        self._entry_written = False
        self._next_call_s = float("-inf")

    def on_tick(self, now_s: float) -> None:
        """Makes the next call when it is due."""
        self._store_client.on_tick(now_s)
        if self._store_client.busy or now_s < self._next_call_s:
            return
        self._next_call_s = now_s + FAILURE_BACKOFF.delay_s(
            self._consecutive_failures + 1, self._rng
        )
        if not self._entry_written:
            self._store_client.append(TOPIC_HOSTS, [self._entry()], self._on_appended)
        elif not self._removing:
            self._store_client.newest(TOPIC_HOSTS, "", self._on_newest)
            self._next_call_s = now_s + (
                LIST_READ_INTERVAL_S if self._reads else SECOND_READ_DELAY_S
            )

    def _entry(self) -> bytes:
        options = self._options
        if self._removing:
            return encode_keyed(options.host, b"")
        address = options.peers_address
        fields = {"ip": address.ip, "port": address.port, "data_centre": options.data_centre}
        return encode_keyed(options.host, json.dumps(fields).encode())

    def _on_appended(self, result: Appended | StoreFailure) -> None:
        if isinstance(result, StoreFailure):
            self._on_failure(result)
            return
        self._consecutive_failures = 0
        self._entry_written = True
        self._next_call_s = float("-inf")

    def _on_newest(self, result: NewestPage | StoreFailure) -> None:
        if isinstance(result, StoreFailure):
            self._on_failure(result)
            return
        self._consecutive_failures = 0
        self._reads += 1
        self.count = max(1, len(result.records))
        for record in result.records:
            self._apply_record(record)

    def _apply_record(self, record: KeyedRecord) -> None:
        try:
            fields = json.loads(record.value or b"")
            address = Address(str(fields["ip"]), int(fields["port"]))
            self._on_host_listed(record.key, address, str(fields["data_centre"]))
        except (ValueError, KeyError, TypeError) as error:
            _log.warning("unreadable host entry", host=record.key, detail=repr(error))

    def _on_failure(self, failure: StoreFailure) -> None:
        self._consecutive_failures += 1
        self._next_call_s = float("-inf") if self._consecutive_failures == 1 else self._next_call_s
        _log.info("host list not reached", status=failure.status, detail=failure.detail)
