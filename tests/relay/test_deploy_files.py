"""The deploy files: settings template, role of the relay, and requirements of the build."""

import re
import tomllib
from pathlib import Path

from berylquay.settings.relay_settings import read_relay_settings

DEPLOY = Path(__file__).parents[2] / "deploy"
VALUES = {
    "node": "front-1",
    "zone": "fes-a",
    "region": "fes",
    "ip": "10.0.0.1",
    "listen.front": "10.0.0.1:8149",
    "listen.readyAddr": "10.0.0.1:8141",
    "portRange.0": "7380",
    "platform.address": "10.200.1.7:8142",
}
REGIONS = "fes-a = fes\ntanja-a = tanja"


def render(template: str) -> str:
    """Renders the template as the platform does, with 5 for values not listed in `VALUES`."""
    with_regions = re.sub(r"\{\{#zones\}\}.*\{\{/zones\}\}", REGIONS, template, flags=re.DOTALL)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: VALUES.get(match[1], "5"), with_regions)


def test_the_template_renders_valid_settings(tmp_path: Path) -> None:
    file = tmp_path / "host.ini"
    file.write_text(render((DEPLOY / "host.ini").read_text(encoding="utf-8")), encoding="utf-8")
    options = read_relay_settings(str(file)).unwrap()
    assert options.host == "front-1"
    assert options.regions == {"fes-a": "fes", "tanja-a": "tanja"}
    assert str(options.peers_address) == "10.0.0.1:7380"


def test_the_role_names_the_metrics_port_of_the_settings() -> None:
    role = tomllib.loads((DEPLOY / "system.toml").read_text(encoding="utf-8"))["roles"]["relay"]
    port, _, path = role["metrics"].partition("/")
    assert path == "metrics"
    assert f":{port}\n" in (DEPLOY / "host.ini").read_text(encoding="utf-8")
    assert (DEPLOY.parent / role["template"]).exists()


def test_the_build_installs_only_declared_dependencies() -> None:
    project = tomllib.loads((DEPLOY.parent / "pyproject.toml").read_text(encoding="utf-8"))
    declared = {
        re.split(r"[=<>]", requirement)[0] for requirement in project["project"]["dependencies"]
    }
    lines = (DEPLOY / "requirements.txt").read_text(encoding="utf-8").split()
    assert {re.split(r"[=<>]", line)[0] for line in lines} <= declared
