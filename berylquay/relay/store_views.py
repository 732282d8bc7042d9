"""A relay host's cached views of the store: the configuration in force and the backend servers."""

from collections.abc import Callable
from typing import Final

import logbook
from returns.result import Failure

from berylquay.decisions.backend_registry import BackendEntry, BackendRegistry, RegistryChange
from berylquay.decisions.route_table import RouteTable
from berylquay.decisions.store_era import StoreEra
from berylquay.decisions.tenants.keys import NO_KEYS, TenantKeys
from berylquay.platform.backend_entries import decode_backend_entry
from berylquay.platform.route_configuration import decode_configuration
from berylquay.platform.store_client import KeyedRecord
from berylquay.platform.wire_names import KEY_CONFIGURATION
from berylquay.relay.follower import TopicHandler

# Time for which a host may be behind others while a change spreads.
VERSION_LAG_S: Final = 0.3
# Time after its start within which a process may find that it has begun with an older version. One
# that falls behind later keeps what it has in force.
START_WINDOW_S: Final = 8.0
# Time without a report of a newer version after which the hosts that had it are assumed to be gone.
PEER_VERSION_TTL_S: Final = 12.0
_log = logbook.Logger("beliefs")


class ConfigurationView(TopicHandler):
    """The newest configuration that this process has read; older versions are ignored."""

    # The configuration in force, or None before the first was read.
    table: RouteTable | None
    # Called with each version that comes into force.
    _on_change: Callable[[RouteTable], None]
    # Era of the store; a store that states none never comes back with an older version.
    _store_era: StoreEra
    # Monotonic time at which the first version came into force in this process, and whether a later
    # one did.
    _first_applied_s: float
    _was_updated: bool
    # Newest version that another host has in force, and monotonic times of its latest report and of
    # the first one since which this process has had an older version.
    _peer_version: int
    _peer_version_heard_s: float
    _behind_since_s: float | None
    # Monotonic time since which another host has had a newer version than this process.
    _newer_since_s: float | None
    # Hash of the content that was refused last, if nothing was applied since. It is logged once,
    # although it may be read again.
    _refused_hash: int | None

    def __init__(self, on_change: Callable[[RouteTable], None], store_era: StoreEra) -> None:
        self.table = None
        self._on_change = on_change
        self._store_era = store_era
        self._first_applied_s = float("inf")
        self._was_updated = False
        self._peer_version = 0
        self._peer_version_heard_s = float("-inf")
        self._behind_since_s = None
        self._newer_since_s = None
        self._refused_hash = None

    @property
    def has_store_eras(self) -> bool:
        """Returns whether the store states eras, so that it may come back with an older version."""
        return self._store_era.current is not None

    @property
    def reports_version(self) -> bool:
        """Returns whether other hosts must know the version in force.

        They must if the store may come back with an older one, or if a newer one may remove keys.
        """
        has_tenants = self.table is not None and self.table.tenant_keys is not None
        return self.has_store_eras or has_tenants

    def on_peer_version(self, version: int, now_s: float) -> None:
        """Takes the version that another host has in force."""
        if version >= self._peer_version:
            self._peer_version, self._peer_version_heard_s = version, now_s
        is_behind = self.table is not None and self.table.version < self._peer_version
        if not is_behind:
            self._newer_since_s = None
        elif self._newer_since_s is None:
            self._newer_since_s = now_s
        if not is_behind:
            self._behind_since_s = None
        elif self._behind_since_s is None and now_s - self._first_applied_s <= START_WINDOW_S:
            self._behind_since_s = now_s
            _log.warning(
                "other hosts have a newer configuration",
                version=version,
                in_force=None if self.table is None else self.table.version,
            )

    def is_outdated(self, now_s: float) -> bool:
        """Tells whether this process has begun with an older version than other hosts have.

        The store then shows an older copy; what it lacks is written again.
        """
        if not self.has_store_eras or self._was_updated or self._behind_since_s is None:
            return False
        is_lasting = now_s - self._behind_since_s >= VERSION_LAG_S
        return is_lasting and now_s - self._peer_version_heard_s <= PEER_VERSION_TTL_S

    def lacks_newer_version(self, max_lag_s: float, now_s: float) -> bool:
        """Tells whether another host has had a newer version for longer than `max_lag_s`.

        Not after this process has read and refused a newer one: what it has then remains.
        """
        if self._newer_since_s is None or self._refused_hash is not None:
            return False
        is_heard = now_s - self._peer_version_heard_s <= PEER_VERSION_TTL_S
        return is_heard and now_s - self._newer_since_s > max_lag_s

    def on_snapshot(self, records: dict[str, bytes], now_s: float) -> None:
        """Applies the newest configuration."""
        data = records.get(KEY_CONFIGURATION)
        if data is not None:
            self._apply(data, now_s)

    def on_record(self, record: KeyedRecord, now_s: float) -> None:
        """Applies a newer configuration."""
        if record.key == KEY_CONFIGURATION and record.value is not None:
            self._apply(record.value, now_s)

    def _apply(self, data: bytes, now_s: float) -> None:
        decoded = decode_configuration(data)
        current_version = None if self.table is None else self.table.version
        if isinstance(decoded, Failure):
            if hash(data) != self._refused_hash:
                _log.error(
                    "unreadable configuration", detail=decoded.failure(), in_force=current_version
                )
            self._refused_hash = hash(data)
            return
        self._refused_hash = None
        table = decoded.unwrap()
        if current_version is not None and table.version <= current_version:
            if table.version < current_version:
                _log.warning(
                    "outdated configuration", version=table.version, in_force=current_version
                )
            return
        previous_keys = None if self.table is None else self.table.tenant_keys
        self.table = table
        self._newer_since_s = None
        if current_version is None:
            self._first_applied_s = now_s
        else:
            self._was_updated = True
        _log.info(
            "configuration in force",
            version=table.version,
            before=current_version,
            **_describe_keys(previous_keys, table.tenant_keys),
        )
        self._on_change(table)


def _describe_keys(before: TenantKeys | None, after: TenantKeys | None) -> dict[str, int]:
    """Returns numbers of tenants and keys for logs; nothing if there are and were none."""
    if before is None and after is None:
        return {}
    before, after = before or NO_KEYS, after or NO_KEYS
    return {
        "tenants": after.tenant_count,
        "keys": after.key_count,
        "keys_added": before.count_missing(after),
        "keys_removed": after.count_missing(before),
    }


class BackendsView(TopicHandler):
    """The backend servers registered in the store."""

    _registry: BackendRegistry
    # Called with each change that the registry returns.
    _on_change: Callable[[RegistryChange], None]

    def __init__(
        self, registry: BackendRegistry, on_change: Callable[[RegistryChange], None]
    ) -> None:
        self._registry = registry
        self._on_change = on_change

    def state_hash(self) -> str:
        """Returns a hash of all entries; heartbeats alone do not change it."""
        return self._registry.state_hash()

    def on_snapshot(self, records: dict[str, bytes], now_s: float) -> None:
        """Applies the newest entries of all backend servers."""
        decoded = [self._decode(name, data) for name, data in records.items()]
        entries = [entry for entry in decoded if entry is not None]
        for change in self._registry.on_snapshot(entries, now_s):
            self._notify_change(change)

    def on_record(self, record: KeyedRecord, now_s: float) -> None:
        """Applies a newer entry, or the removal of one; an unreadable entry is ignored."""
        if record.value is None:
            change = self._registry.on_removed(record.key, now_s)
        else:
            entry = self._decode(record.key, record.value)
            change = None if entry is None else self._registry.on_entry(entry)
            if entry is not None:
                self._registry.on_leaves_ms(entry, now_s)
        if change is not None:
            self._notify_change(change)

    def expire(self, now_s: float) -> None:
        """Drops backend servers that did not register again after an outage of the store."""
        for change in self._registry.drop_expired(now_s):
            self._notify_change(change)

    def _decode(self, name: str, data: bytes) -> BackendEntry | None:
        decoded = decode_backend_entry(name, data)
        if isinstance(decoded, Failure):
            _log.warning("unreadable entry", backend=name, detail=decoded.failure())
            return None
        return decoded.unwrap()

    def _notify_change(self, change: RegistryChange) -> None:
        entry = change.after
        _log.info(
            "backend server gone" if entry is None else "backend server",
            backend=change.name,
            pool=None if entry is None else entry.pool,
            state=None if entry is None else entry.state.value,
            role=None if entry is None or entry.role is None else entry.role.value,
            address=None if entry is None else str(entry.address),
            data_centre=None if entry is None else entry.data_centre,
            software_version=None if entry is None else entry.software_version,
            started_unix_ms=None if entry is None else entry.started_unix_ms,
            beat=None if entry is None else entry.heartbeat_number,
            restarted=change.restarted or change.is_back,
        )
        self._on_change(change)
