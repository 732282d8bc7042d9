"""The `[authority]` section of the host settings, validated before anything starts."""

from pathlib import Path

import pytest
from returns.result import Failure, Success

from berylquay.decisions.fleet import Address
from berylquay.settings.host_options import AuthorityOptions
from berylquay.settings.host_settings import read_host_settings

HOST = """
[host]
name = h
region = r
data_centre = dc
[callers]
address = 127.0.0.1:1
[platform]
membership = 127.0.0.1:2
"""


def write_settings(directory: Path, authority: str) -> str:
    file = directory / "host.ini"
    file.write_text(f"{HOST}\n[authority]\n{authority}\n", encoding="utf-8")
    return str(file)


def test_times_have_defaults(tmp_path: Path) -> None:
    result = read_host_settings(write_settings(tmp_path, "sender = 127.0.0.1:9"))
    assert isinstance(result, Success)
    assert result.unwrap().authority == AuthorityOptions(Address("127.0.0.1", 9), 10.0, 3.0, 3.0)


@pytest.mark.parametrize(
    ("settings", "key"),
    [
        ("sender = 10.0.0.1:9", "sender"),
        ("sender = 127.0.0.1:9\nlease_s = 1\nrenewal_interval_s = 0.3", "lease_s"),
        ("sender = 127.0.0.1:9\nrenewal_interval_s = 6", "renewal_interval_s"),
        ("sender = 127.0.0.1:9\norder_margin_s = 0", "order_margin_s"),
    ],
)
def test_invalid_times_and_addresses_are_rejected(tmp_path: Path, settings: str, key: str) -> None:
    result = read_host_settings(write_settings(tmp_path, settings))
    assert isinstance(result, Failure)
    assert [(error.section, error.key) for error in result.failure()] == [("authority", key)]
