"""The settings of scaling."""

from pathlib import Path

from returns.result import Failure

from berylquay.settings.relay_settings import ScalingOptions, ScalingPin, read_relay_settings
from tests.support.relay_fleet import make_host_file


def read(tmp_path: Path, section: str) -> object:
    file = tmp_path / "host.ini"
    file.write_text(make_host_file("host-0", [1, 2, 3, 4], 5) + section, encoding="utf-8")
    result = read_relay_settings(str(file))
    return result.failure() if isinstance(result, Failure) else result.unwrap().scaling


def test_pins_are_read(tmp_path: Path) -> None:
    assert read(tmp_path, "") == ScalingOptions()
    pins = "[scaling]\nenabled = no\npins = lm@fes-a=2+4, app@fes-b=0+1\n"
    assert read(tmp_path, pins) == ScalingOptions(
        False, (ScalingPin("lm", "fes-a", 2, 4), ScalingPin("app", "fes-b", 0, 1))
    )


def test_a_malformed_pin_is_an_error(tmp_path: Path) -> None:
    """Guards against a pin that is silently ignored."""
    for text in ("lm=2+4", "lm@fes-a=2", "lm@fes-a=-2+4", "lm@fes-a=2+4+6"):
        errors = read(tmp_path, f"[scaling]\npins = {text}\n")
        assert isinstance(errors, tuple)
        assert errors[0].key == "pins"
