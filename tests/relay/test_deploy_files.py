"""The deploy files: settings template, role of the relay, and requirements of the build."""

import re
import tomllib
from pathlib import Path

from berylquay.decisions.fleet import Address
from berylquay.settings.relay_settings import DutyOptions, RelayOptions, read_relay_settings

DEPLOY = Path(__file__).parents[2] / "deploy"
VALUES = {
    "node": "front-1",
    "zone": "fes-a",
    "region": "fes",
    "bootstrap": "true",
    "ip": "10.0.0.1",
    "listen.front": "10.0.0.1:8149",
    "listen.readyAddr": "10.0.0.1:8141",
    "portRange.0": "7380",
    "platform.address": "10.200.1.7:8142",
}
# Lists and maps of the platform: the key and the value of each item.
SECTIONS = {
    "zones": {"fes-a": "fes", "tanja-a": "tanja"},
    "cloud.duties": {"0": "usage_report", "1": "autoscale"},
}
DUTY_API = {"cloud.address": "10.200.0.13:8128"}


def render(template: str, values: dict[str, str]) -> str:
    """Renders the template as the platform does, with 5 for values that are not listed."""
    for name, items in SECTIONS.items():
        section = re.search(_section_pattern(name), template, flags=re.DOTALL)
        assert section is not None
        lines = [
            section[1].replace("{{@}}", key).replace("{{.}}", value) for key, value in items.items()
        ]
        template = template.replace(section[0], "".join(lines))
    kept = r"\1" if "cloud.address" in values else ""
    template = re.sub(_section_pattern("cloud.address"), kept, template, flags=re.DOTALL)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: values.get(match[1], "5"), template)


def _section_pattern(name: str) -> str:
    return rf"\{{\{{#{name}\}}\}}\n(.*)\{{\{{/{name}\}}\}}\n"


def read_template(tmp_path: Path, values: dict[str, str]) -> RelayOptions:
    file = tmp_path / "host.ini"
    template = (DEPLOY / "host.ini").read_text(encoding="utf-8")
    file.write_text(render(template, values), encoding="utf-8")
    return read_relay_settings(str(file)).unwrap()


def test_the_template_renders_valid_settings(tmp_path: Path) -> None:
    options = read_template(tmp_path, VALUES)
    assert options.host == "front-1"
    assert options.is_first_start
    assert options.regions == {"fes-a": "fes", "tanja-a": "tanja"}
    assert str(options.peers_address) == "10.0.0.1:7380"
    assert options.duties is None


def test_the_template_names_the_duties_where_the_platform_has_an_api(tmp_path: Path) -> None:
    """Guards against a host that carries out no duty because its settings name none."""
    options = read_template(tmp_path, VALUES | DUTY_API)
    assert options.duties == DutyOptions(
        Address("10.200.0.13", 8128),
        reports_usage=True,
        orders_servers=True,
        calls_per_s=5.0,
        usage_window_s=5.0,
        usage_due_s=5.0,
    )


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
