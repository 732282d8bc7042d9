"""Typed errors shared by all packages; `returns` carries them in place of exceptions."""

from attrs import frozen

from berylquay.call_verdicts import Verdict


@frozen
class TransportError:
    """A failed exchange with another process."""

    # What a person should read.
    detail: str
    # Whether the other process may have acted on what was sent.
    verdict: Verdict
    # Whether the connection broke off, as it does when the other process crashes.
    disconnected: bool = False


@frozen
class SettingsError:
    """One fault in an INI file."""

    # Path of the file as it was given.
    file: str
    # Section in which the fault stands.
    section: str
    # Key in the section, or empty if the section itself is at fault.
    key: str
    # The text that was found.
    found: str
    # What would have been accepted.
    allowed: str

    def __str__(self) -> str:
        """Returns the fault on one line, for a person."""
        location = f"{self.file}: [{self.section}] {self.key}"
        return f"{location}: found {self.found!r}, allowed {self.allowed}"
