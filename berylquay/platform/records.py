"""Records of the platform's log, as the rest of berylquay sees them."""

from attrs import field, frozen


@frozen
class NewRecord:
    """A record to append."""

    # Unique id, by which a reader recognises the record if the append's answer is lost.
    record_id: str
    # What the record says; names the fold that takes it.
    kind: str
    # Body; only values that JSON can carry.
    fields: dict[str, object] = field(factory=dict)


@frozen
class LogRecord:
    """A record that was read."""

    # Position in the stream; only rises.
    offset: int
    # Unique id that the writer gave.
    record_id: str
    # What the record says.
    kind: str
    # Body.
    fields: dict[str, object] = field(factory=dict)
