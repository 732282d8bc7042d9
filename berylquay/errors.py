"""Error types shared by all packages; they are returned in `returns` results, not raised."""

from attrs import frozen

from berylquay.call_verdicts import Verdict


@frozen
class TransportError:
    """A failed connection or request to another process."""

    # Human-readable description.
    detail: str
    # Whether the other process may have acted on what was sent.
    verdict: Verdict
    # Whether the connection was lost, as it is when the other process crashes.
    disconnected: bool = False


@frozen
class SettingsError:
    """One error in an INI file."""

    # Path of the file as passed by the user.
    file: str
    # Section that contains the error.
    section: str
    # Key in the section, or empty if the section itself is wrong.
    key: str
    # The text that was found.
    found: str
    # Description of the accepted values.
    allowed: str

    def __str__(self) -> str:
        """Returns the error as one human-readable line."""
        location = f"{self.file}: [{self.section}] {self.key}"
        return f"{location}: found {self.found!r}, allowed {self.allowed}"
