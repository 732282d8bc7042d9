"""Settings of a relay host: parsing, rejection of invalid files, and reload while it runs."""

import signal
import subprocess
import sys
from pathlib import Path

import pytest
from returns.result import Failure

from berylquay.decisions.fleet import Address
from berylquay.settings.relay_settings import SettingsFileWatcher, read_relay_settings
from tests.support.relay_fleet import RelayFleet, make_host_file, wait_until

PORTS = [7001, 7002, 7003, 7004]


def write_settings(directory: Path, text: str) -> str:
    file = directory / "host.ini"
    file.write_text(text, encoding="utf-8")
    return str(file)


def test_a_valid_file_is_read(tmp_path: Path) -> None:
    options = read_relay_settings(
        write_settings(tmp_path, make_host_file("h", PORTS, 7005))
    ).unwrap()
    assert options.callers_address == Address("127.0.0.1", 7001)
    assert options.store_address == Address("127.0.0.1", 7005)
    assert options.regions == {"fes-a": "fes"}
    assert options.bounds.configuration_apply_s == 2.5


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ("grace_s = 8", "grace_s = soon", "grace_s"),
        ("grace_s = 8", "", "grace_s"),
        ("name = h", "name = h\ncolour = red", "colour"),
        ("readiness = 127.0.0.1:7002", "readiness = here", "readiness"),
        ("[store]", "[stores]", "store"),
    ],
)
def test_an_error_names_the_invalid_setting(
    tmp_path: Path, old: str, new: str, expected: str
) -> None:
    text = make_host_file("h", PORTS, 7005)
    assert old in text
    result = read_relay_settings(write_settings(tmp_path, text.replace(old, new, 1)))
    assert isinstance(result, Failure)
    assert any(expected in str(error) for error in result.failure())


@pytest.mark.parametrize("text", ["no sections", "\x00\xff", ""])
def test_a_file_without_settings_is_refused(tmp_path: Path, text: str) -> None:
    assert isinstance(read_relay_settings(write_settings(tmp_path, text)), Failure)
    assert isinstance(read_relay_settings(str(tmp_path / "missing.ini")), Failure)


def test_the_command_line_checks_settings(tmp_path: Path) -> None:
    valid = write_settings(tmp_path, make_host_file("h", PORTS, 7005))
    command = [sys.executable, "-m", "berylquay.relay"]
    assert subprocess.run([*command, "--check", valid], check=False).returncode == 0
    missing = subprocess.run(
        [*command, str(tmp_path / "none.ini")], check=False, capture_output=True
    )
    assert missing.returncode == 2
    assert b"none.ini" in missing.stderr


def test_a_change_of_the_file_is_reported_once(tmp_path: Path) -> None:
    path = write_settings(tmp_path, "a")
    file = SettingsFileWatcher(path)
    assert not file.has_changed(1.0)
    write_settings(tmp_path, "b")
    assert file.has_changed(3.0)
    assert not file.has_changed(5.0)


def test_a_hangup_signal_applies_valid_limits_and_refuses_invalid_ones(
    app_fleet: RelayFleet,
) -> None:
    path = app_fleet.processes.directory / "host-0.ini"
    valid = path.read_text(encoding="utf-8")

    def messages() -> list[object]:
        return [line["message"] for line in app_fleet.log_lines() if line["logger"] == "host"]

    path.write_text(valid.replace("retry_extra = 58", "retry_extra = 5"), encoding="utf-8")
    app_fleet.hosts[0].popen.send_signal(signal.SIGHUP)
    wait_until(lambda: "reload" in messages())
    path.write_text(valid.replace("retry_extra = 58", "retry_extra = many"), encoding="utf-8")
    wait_until(lambda: any("refused" in str(message) for message in messages()))
    assert app_fleet.send_request("/once/", "id-1").status == 200
