"""Versions of streams that are collected for the store, and of those that were read in it.

Streams are named by a hash of the id of the attempt that began them. With 8 bytes, two of a million
streams have the same hash with a probability below 1 in 10 million.
"""

from collections import deque
from collections.abc import Iterable
from hashlib import blake2b
from typing import Final

from attrs import define, field

from berylquay.decisions.stream_versions import PENDING_VERSION, STREAM_RETENTION_S, choose_version

HASH_BYTES: Final = 8
# Most streams that wait to be written, and whose versions are known; the oldest are dropped first.
MAX_UNSAVED_STREAMS: Final = 20_000
MAX_KNOWN_STREAMS: Final = 100_000
# Most streams of each pool that this host has begun of late and can still pass on.
MAX_BEGUN_STREAMS: Final = 5_000


def hash_stream(call_id: str) -> bytes:
    """Returns the hash that stands for a stream, from the id of the attempt that began it."""
    return blake2b(call_id.encode("utf-8", "surrogatepass"), digest_size=HASH_BYTES).digest()


@define
class StreamLedger:
    """Versions by stream, and the streams that wait to be written to the store."""

    # Version, and monotonic time at which it became known, by hash; the oldest is first.
    _known: dict[bytes, tuple[str, float]] = field(factory=dict, init=False)
    # Streams to write, and all that were collected within the retention time: time, hash, version.
    _unsaved: dict[bytes, str] = field(factory=dict, init=False)
    _collected: deque[tuple[float, bytes, str]] = field(factory=deque, init=False)
    # Streams that this host has begun, by pool: time, hash, version.
    _begun: dict[str, deque[tuple[float, bytes, str]]] = field(factory=dict, init=False)

    @property
    def has_unsaved(self) -> bool:
        """Returns whether streams wait to be written."""
        return bool(self._unsaved)

    def record_begun(self, pool: str, stream: bytes, software_version: str, now_s: float) -> None:
        """Records a stream that this host has begun."""
        begun = self._begun.setdefault(pool, deque(maxlen=MAX_BEGUN_STREAMS))
        begun.append((now_s, stream, software_version))

    def begun_streams(self, pool: str, now_s: float) -> dict[str, list[bytes]]:
        """Returns the streams that this host has begun of late, by version."""
        versions: dict[bytes, str] = {}
        for begun_s, stream, version in self._begun.get(pool, ()):
            if now_s - begun_s < STREAM_RETENTION_S:
                versions[stream] = choose_version(versions.get(stream, PENDING_VERSION), version)
        streams: dict[str, list[bytes]] = {}
        for stream, version in versions.items():
            streams.setdefault(version, []).append(stream)
        return streams

    @property
    def pools(self) -> list[str]:
        """Returns the pools of the streams that this host has begun."""
        return list(self._begun)

    def collect(self, software_version: str, streams: Iterable[bytes], now_s: float) -> None:
        """Adds streams to those that are written to the store."""
        for stream in streams:
            version = self._know(stream, software_version, now_s)
            self._unsaved[stream] = version
            self._collected.append((now_s, stream, version))
        while len(self._unsaved) > MAX_UNSAVED_STREAMS:
            del self._unsaved[next(iter(self._unsaved))]
        while len(self._collected) > MAX_KNOWN_STREAMS:
            self._collected.popleft()

    def take_unsaved(self) -> dict[bytes, str]:
        """Returns the streams to write, which no longer wait."""
        taken, self._unsaved = self._unsaved, {}
        return taken

    def put_back(self, taken: dict[bytes, str]) -> None:
        """Adds streams again that could not be written."""
        self._unsaved = {**taken, **self._unsaved}
        while len(self._unsaved) > MAX_UNSAVED_STREAMS:
            del self._unsaved[next(iter(self._unsaved))]

    def on_store_restored(self, now_s: float) -> None:
        """Writes again what was collected of late: the store may have lost it."""
        for collected_s, stream, version in self._collected:
            if now_s - collected_s < STREAM_RETENTION_S:
                self._unsaved[stream] = version

    def on_read(self, software_version: str, streams: Iterable[bytes], now_s: float) -> None:
        """Records streams that were read in the store."""
        for stream in streams:
            self._know(stream, software_version, now_s)

    def find(self, call_id: str) -> str | None:
        """Returns the version at which a stream began, or None if it is not known."""
        found = self._known.get(hash_stream(call_id)) if call_id else None
        return None if found is None else found[0]

    def expire(self, now_s: float) -> None:
        """Forgets streams that callers do not continue any more."""
        since_s = now_s - STREAM_RETENTION_S
        while self._known:
            stream, (_version, known_s) = next(iter(self._known.items()))
            if known_s > since_s:
                break
            del self._known[stream]
        for streams in (self._collected, *self._begun.values()):
            while streams and streams[0][0] <= since_s:
                streams.popleft()

    def _know(self, stream: bytes, software_version: str, now_s: float) -> str:
        """Records the version of a stream, and returns the one that counts."""
        known = self._known.pop(stream, (PENDING_VERSION, now_s))[0]
        version = choose_version(known, software_version)
        self._known[stream] = version, now_s
        while len(self._known) > MAX_KNOWN_STREAMS:
            del self._known[next(iter(self._known))]
        return version


@define
class LedgerReading:
    """Chooses the offsets from which a topic's newest part is read, within bounds.

    Offsets before the newest `max_records` are skipped, and so is what would exceed `max_bytes`.
    """

    _max_records: int
    _max_bytes: int
    # Offset of the next record to read, or None before the first read.
    next_offset: int | None = field(default=None, init=False)
    _read_bytes: int = field(default=0, init=False)

    def on_page(self, next_offset: int, end_offset: int, records: int, size_bytes: int) -> bool:
        """Takes a page that was read; returns whether the end of the topic is reached."""
        self._read_bytes += size_bytes
        self.next_offset = next_offset
        if next_offset >= end_offset:
            self._read_bytes = 0
            return True
        self.next_offset = max(next_offset, end_offset - self._max_records)
        if records:
            left_bytes = max(0, self._max_bytes - self._read_bytes)
            fitting = int(left_bytes / max(1.0, size_bytes / records))
            self.next_offset = max(self.next_offset, end_offset - fitting)
        if self.next_offset >= end_offset:
            self._read_bytes = 0
            return True
        return False

    def on_records_gone(self, first_offset: int) -> None:
        """Continues at the oldest record that is retained."""
        self.next_offset = first_offset

    def restart(self) -> None:
        """Forgets the offset: the store came back older."""
        self.next_offset, self._read_bytes = None, 0
