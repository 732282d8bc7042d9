"""The command-line tool without hosts, and the conversions that it shares with them."""

from pathlib import Path

import pytest

from berylquay.command.exit_codes import ExitCode
from berylquay.command.main import main
from berylquay.decisions.deployment_diff import diff_deployments
from berylquay.decisions.deployment_json import deployment_from_json, deployment_to_json
from berylquay.decisions.deployment_validation import deployment_errors
from berylquay.operators.conversions import deployment_from_proto, deployment_to_proto
from berylquay.settings.deployment_file import read_deployment_file
from examples.processes import free_port
from tests.support.fleet import EXAMPLES

EXAMPLE_FILES = ("jamiat.ini", "meskel.ini")


@pytest.mark.parametrize("name", EXAMPLE_FILES)
def test_deployment_round_trips_through_protobuf_and_json(name: str) -> None:
    deployment = read_deployment_file(str(EXAMPLES / name)).unwrap()
    assert deployment_from_proto(deployment_to_proto(deployment)) == deployment
    assert deployment_from_json(deployment_to_json(deployment)) == deployment
    assert not deployment_errors(deployment)
    assert not diff_deployments(deployment, deployment)


def test_unknown_keys_of_a_newer_version_are_ignored() -> None:
    deployment = read_deployment_file(str(EXAMPLES / EXAMPLE_FILES[0])).unwrap()
    assert deployment_from_json({**deployment_to_json(deployment), "new": 1}) == deployment


def test_differences_name_their_path() -> None:
    old = read_deployment_file(str(EXAMPLES / EXAMPLE_FILES[0])).unwrap()
    new = read_deployment_file(str(EXAMPLES / EXAMPLE_FILES[1])).unwrap()
    paths = [item.path for item in diff_deployments(old, new)]
    assert "classes/quick-question/priority" in paths
    assert "role_change_weight" in paths


def test_unreachable_server(capsys: pytest.CaptureFixture[str]) -> None:
    code = main(["--server", f"127.0.0.1:{free_port()}", "get"])
    assert code == ExitCode.UNREACHABLE
    assert "no host answers" in capsys.readouterr().err


def test_missing_server_is_bad_usage(
    capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.delenv("BERYLQUAY_SERVER", raising=False)
    assert main(["get"]) == ExitCode.BAD_USAGE
    assert "BERYLQUAY_SERVER" in capsys.readouterr().err


def test_invalid_file_is_refused_before_anything_is_sent(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    file = tmp_path / "broken.ini"
    file.write_text("[deployment]\nname = x\n[class a]\npool = none\npriority = high\n")
    code = main(["--server", f"127.0.0.1:{free_port()}", "apply", str(file)])
    assert code == ExitCode.BAD_USAGE
    error_text = capsys.readouterr().err
    assert "priority" in error_text
    assert "'none'" in error_text


def test_help_lists_every_exit_code(capsys: pytest.CaptureFixture[str]) -> None:
    with pytest.raises(SystemExit):
        main(["--help"])
    help_text = capsys.readouterr().out
    for code in ExitCode:
        assert f"\n  {int(code)} " in help_text
