"""The `[peers]` section of the host settings."""

from pathlib import Path
from typing import Final

import pytest

from berylquay.settings.host_settings import read_host_settings

HOST: Final = """
[host]
name = a
region = fes
data_centre = fes-1
[callers]
address = 127.0.0.1:8080
[platform]
membership = 127.0.0.1:8081
"""
ADDRESS: Final = "[peers]\naddress = 127.0.0.1:8082\n"
CERTIFICATE: Final = "certificate = a.pem\n"
KEY: Final = "key = a.key\n"
CA: Final = "ca = ca.pem\n"


def test_section_is_optional(tmp_path: Path) -> None:
    assert read_host_settings(_write_settings(tmp_path, "")).unwrap().peers is None


@pytest.mark.parametrize(("keys", "encrypted"), [("", False), (CERTIFICATE + KEY + CA, True)])
def test_tls_needs_all_keys_or_none(tmp_path: Path, keys: str, encrypted: bool) -> None:
    peers = read_host_settings(_write_settings(tmp_path, ADDRESS + keys)).unwrap().peers
    assert peers is not None
    assert (peers.tls is not None) == encrypted


@pytest.mark.parametrize(
    ("keys", "missing"),
    [
        (CERTIFICATE, ["key", "ca"]),
        (CERTIFICATE + KEY, ["ca"]),
        (KEY + CA, ["certificate"]),
        (CA, ["certificate", "key"]),
    ],
)
def test_incomplete_tls_keys_are_rejected(tmp_path: Path, keys: str, missing: list[str]) -> None:
    errors = read_host_settings(_write_settings(tmp_path, ADDRESS + keys)).failure()
    assert [(error.section, error.key) for error in errors] == [("peers", key) for key in missing]


def _write_settings(directory: Path, peers: str) -> str:
    path = directory / "host.ini"
    path.write_text(HOST + peers, encoding="utf-8")
    return str(path)
