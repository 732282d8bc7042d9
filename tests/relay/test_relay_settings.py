"""Settings of a relay host: what is read, refused, and taken anew while it runs."""

import signal
import subprocess
import sys
from pathlib import Path

import pytest
from returns.result import Failure

from berylquay.decisions.fleet import Address
from berylquay.settings.relay_file import SettingsFile, read_relay_file
from tests.support.relay_fleet import RelayFleet, make_host_file, wait_until

PORTS = [7001, 7002, 7003, 7004]


def write(directory: Path, text: str) -> str:
    file = directory / "host.ini"
    file.write_text(text, encoding="utf-8")
    return str(file)


def test_a_good_file_is_read(tmp_path: Path) -> None:
    options = read_relay_file(write(tmp_path, make_host_file("h", PORTS, 7005))).unwrap()
    assert options.callers_address == Address("127.0.0.1", 7001)
    assert options.store_address == Address("127.0.0.1", 7005)
    assert options.regions == {"fes-a": "fes"}
    assert options.bounds.configuration_apply_s == 2.5


@pytest.mark.parametrize(
    ("old", "new", "named"),
    [
        ("grace_s = 8", "grace_s = soon", "grace_s"),
        ("grace_s = 8", "", "grace_s"),
        ("name = h", "name = h\ncolour = red", "colour"),
        ("readiness = 127.0.0.1:7002", "readiness = here", "readiness"),
        ("[store]", "[stores]", "store"),
    ],
)
def test_each_fault_is_named(tmp_path: Path, old: str, new: str, named: str) -> None:
    text = make_host_file("h", PORTS, 7005)
    assert old in text
    read = read_relay_file(write(tmp_path, text.replace(old, new, 1)))
    assert isinstance(read, Failure)
    assert any(named in str(fault) for fault in read.failure())


@pytest.mark.parametrize("text", ["no sections", "\x00\xff", ""])
def test_a_file_that_is_none_is_refused(tmp_path: Path, text: str) -> None:
    assert isinstance(read_relay_file(write(tmp_path, text)), Failure)
    assert isinstance(read_relay_file(str(tmp_path / "missing.ini")), Failure)


def test_the_command_line_checks_settings(tmp_path: Path) -> None:
    good = write(tmp_path, make_host_file("h", PORTS, 7005))
    command = [sys.executable, "-m", "berylquay.relay"]
    assert subprocess.run([*command, "--check", good], check=False).returncode == 0
    bad = subprocess.run([*command, str(tmp_path / "none.ini")], check=False, capture_output=True)
    assert bad.returncode == 2
    assert b"none.ini" in bad.stderr


def test_a_change_of_the_file_is_noticed_once(tmp_path: Path) -> None:
    path = write(tmp_path, "a")
    file = SettingsFile(path)
    assert not file.has_changed(1.0)
    write(tmp_path, "b")
    assert file.has_changed(3.0)
    assert not file.has_changed(5.0)


def test_a_hangup_takes_new_bounds_and_refuses_bad_ones(plain: RelayFleet) -> None:
    path = plain.processes.directory / "host-0.ini"
    good = path.read_text(encoding="utf-8")

    def messages() -> list[object]:
        return [line["message"] for line in plain.log_lines() if line["logger"] == "host"]

    path.write_text(good.replace("retry_extra = 58", "retry_extra = 5"), encoding="utf-8")
    plain.hosts[0].popen.send_signal(signal.SIGHUP)
    wait_until(lambda: "reload" in messages())
    path.write_text(good.replace("retry_extra = 58", "retry_extra = many"), encoding="utf-8")
    wait_until(lambda: any("refused" in str(message) for message in messages()))
    assert plain.ask("/once/", "id-1").status == 200
