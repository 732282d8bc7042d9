"""Typed reader of INI files that collects all errors instead of stopping at the first."""

from collections.abc import Callable
from configparser import ConfigParser, Error
from ipaddress import IPv4Address
from pathlib import Path
from typing import Final, TypeVar

from berylquay.decisions.fleet import Address
from berylquay.errors import SettingsError

T = TypeVar("T")
MAX_PORT: Final = 65535


class IniReader:
    """Reads values from one INI file and collects all errors that it finds."""

    # Path of the file as passed by the user.
    file: str
    # Errors found so far.
    errors: list[SettingsError]
    _parser: ConfigParser
    # Keys that were requested, by section.
    _requested_keys: dict[str, set[str]]

    def __init__(self, file: str, parser: ConfigParser) -> None:
        self.file = file
        self.errors = []
        self._parser = parser
        self._requested_keys = {}

    def sections(self, prefix: str) -> list[str]:
        """Returns the names of the sections that start with the prefix and a space."""
        return [name for name in self._parser.sections() if name.startswith(prefix + " ")]

    def text(self, section: str, key: str, default: str | None = None) -> str:
        """Returns a string; without a default the key is required, here and in other methods."""
        return self._read(section, key, default, "a text", lambda found: found)

    def number(self, section: str, key: str, default: float | None = None) -> float:
        """Returns a finite number that is at least 0."""
        return self._read(section, key, default, "a number of at least 0", _parse_number)

    def positive_number(self, section: str, key: str, default: float | None = None) -> float:
        """Returns a finite number above 0."""
        return self._read(section, key, default, "a number above 0", _parse_positive_number)

    def count(self, section: str, key: str, default: int | None = None) -> int:
        """Returns an integer that is at least 0."""
        return self._read(section, key, default, "a whole number of at least 0", _parse_count)

    def flag(self, section: str, key: str, default: bool | None = None) -> bool:
        """Returns True for "yes" and False for "no"."""
        return self._read(section, key, default, "yes or no", _parse_flag)

    def text_list(
        self, section: str, key: str, default: tuple[str, ...] | None = None
    ) -> tuple[str, ...]:
        """Returns the non-empty items of a comma-separated list."""
        return self._read(section, key, default, "texts separated by commas", _parse_text_list)

    def address(self, section: str, key: str, default: Address | None = None) -> Address:
        """Returns an address of the form ip:port."""
        return self._read(section, key, default, "an address like 127.0.0.1:8080", _parse_address)

    def optional_address(self, section: str, key: str) -> Address | None:
        """Returns an address of the form ip:port, or None if the key is absent."""
        absent = Address("", 0)
        found = self.address(section, key, absent)
        return None if found == absent else found

    def choice(
        self, section: str, key: str, allowed: tuple[str, ...], default: str | None = None
    ) -> str:
        """Returns one of the allowed values."""

        def parse(found: str) -> str:
            if found not in allowed:
                raise ValueError(found)
            return found

        return self._read(section, key, default, "one of " + ", ".join(allowed), parse)

    def check_for_unknown_keys(self) -> None:
        """Adds an error for each section and key in the file that was never requested."""
        for section in self._parser.sections():
            requested = self._requested_keys.get(section)
            if requested is None:
                self._add_error(section, "", section, "a section named in docs/SETTINGS.md")
                continue
            for key in self._parser[section]:
                if key not in requested:
                    self._add_error(section, key, key, "one of " + ", ".join(sorted(requested)))

    def _read(
        self,
        section: str,
        key: str,
        default: T | None,
        allowed: str,
        parse: Callable[[str], T],
    ) -> T:
        self._requested_keys.setdefault(section, set()).add(key)
        found = self._parser.get(section, key, fallback=None)
        if found is None:
            if default is not None:
                return default
            self._add_error(section, key, "nothing", allowed)
            return parse_placeholder(parse)
        try:
            return parse(found.strip())
        except ValueError:
            self._add_error(section, key, found, allowed)
            return default if default is not None else parse_placeholder(parse)

    def _add_error(self, section: str, key: str, found: str, allowed: str) -> None:
        self.errors.append(SettingsError(self.file, section, key, found, allowed))


def read_ini_file(path: str, parser: ConfigParser) -> SettingsError | None:
    """Reads a file into the parser; returns an error if it can't be read, else None."""
    try:
        parser.read_string(Path(path).read_text(encoding="utf-8"), path)
    except (OSError, UnicodeDecodeError, Error) as error:
        return SettingsError(path, "", "", str(error), "a readable INI file")
    return None


def parse_placeholder(parse: Callable[[str], T]) -> T:
    """Returns any value of `parse`'s type, so that reading continues after an error."""
    for text in ("", "0", "1", "no", "0.0.0.0:0"):
        try:
            return parse(text)
        except ValueError:
            continue
    return parse("")


def _parse_number(found: str) -> float:
    value = float(found)
    if not 0 <= value < float("inf"):
        raise ValueError(found)
    return value


def _parse_positive_number(found: str) -> float:
    value = _parse_number(found)
    if not value:
        raise ValueError(found)
    return value


def _parse_count(found: str) -> int:
    value = int(found)
    if value < 0:
        raise ValueError(found)
    return value


def _parse_flag(found: str) -> bool:
    return {"yes": True, "no": False}[found] if found in {"yes", "no"} else _reject_flag(found)


def _reject_flag(found: str) -> bool:
    raise ValueError(found)


def _parse_text_list(found: str) -> tuple[str, ...]:
    return tuple(item.strip() for item in found.split(",") if item.strip())


def _parse_address(found: str) -> Address:
    ip, _, port = found.rpartition(":")
    if not port.isdigit() or int(port) > MAX_PORT:
        raise ValueError(found)
    return Address(str(IPv4Address(ip)), int(port))
