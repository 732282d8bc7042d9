"""Reader of the `peers` section of a host's settings file."""

from typing import Final

from berylquay.errors import SettingsError
from berylquay.settings.host_options import PeerOptions, PeerTls
from berylquay.settings.ini_reader import IniReader

_SECTION: Final = "peers"
_TLS_KEYS: Final = ("certificate", "key", "ca")


def read_peer_section(reader: IniReader, section_exists: bool) -> PeerOptions | None:
    """Returns the section's options, or None if the file has no such section.

    It is an error to set only some of the TLS keys, so that links do not silently run without TLS.
    """
    if not section_exists:
        return None
    address = reader.address(_SECTION, "address")
    paths = {key: reader.text(_SECTION, key, "") for key in _TLS_KEYS}
    missing = [key for key in _TLS_KEYS if not paths[key]]
    if len(missing) == len(_TLS_KEYS):
        return PeerOptions(address)
    for key in missing:
        allowed = "a path, since other keys of mutual TLS are set"
        reader.errors.append(SettingsError(reader.file, _SECTION, key, "nothing", allowed))
    return PeerOptions(address, PeerTls(**paths))
