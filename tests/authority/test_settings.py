"""The settings of the authority, checked before anything starts."""

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


def write(directory: Path, authority: str) -> str:
    file = directory / "host.ini"
    file.write_text(f"{HOST}\n[authority]\n{authority}\n", encoding="utf-8")
    return str(file)


def test_times_have_defaults(tmp_path: Path) -> None:
    read = read_host_settings(write(tmp_path, "sender = 127.0.0.1:9"))
    assert isinstance(read, Success)
    assert read.unwrap().authority == AuthorityOptions(Address("127.0.0.1", 9), 10.0, 3.0, 3.0)


@pytest.mark.parametrize(
    ("line", "key"),
    [
        ("sender = 10.0.0.1:9", "sender"),
        ("sender = 127.0.0.1:9\nlease_s = 1\nrenewal_interval_s = 0.3", "lease_s"),
        ("sender = 127.0.0.1:9\nrenewal_interval_s = 6", "renewal_interval_s"),
        ("sender = 127.0.0.1:9\norder_margin_s = 0", "order_margin_s"),
    ],
)
def test_unsound_times_and_addresses_are_refused(tmp_path: Path, line: str, key: str) -> None:
    read = read_host_settings(write(tmp_path, line))
    assert isinstance(read, Failure)
    assert [(fault.section, fault.key) for fault in read.failure()] == [("authority", key)]
