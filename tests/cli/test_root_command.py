"""Exit codes of the commands, and modules that the front must not import."""

import subprocess
import sys

import pytest

from tests.harness.programs import run_program

TIMEOUT_S = 20
MODULES_NOT_IMPORTED_BY_FRONTS = (
    "click",
    "structlog",
    "google",
    "marbleglade.gateway",
    "marbleglade.deployment",
    "marbleglade.cli",
    "marbleglade.testing",
    "marbleglade.transport.cache_server",
)


@pytest.mark.parametrize(
    "arguments, exit_code, printed",
    [
        (["version"], 0, "marbleglade 0."),
        (["--help"], 0, "gateway"),
        (["gateway", "--help"], 0, "--deployment"),
        (["completion", "bash"], 0, "_MARBLEGLADE_COMPLETE"),
        (["odd"], 2, ""),
        (["check", "nowhere"], 1, ""),
        (["gateway", "--deployment", "nowhere"], 2, ""),
        (["front"], 2, ""),
        ([], 2, ""),
    ],
)
def test_a_command_exits_with_its_code_and_without_a_traceback(monkeypatch, arguments, exit_code, printed):
    monkeypatch.delenv("GW_CONFIG", raising=False)
    result = run_program(*arguments, seconds=TIMEOUT_S)
    assert result.returncode == exit_code
    assert printed in result.stdout
    assert "Traceback" not in result.stderr


def test_the_front_does_not_import_gateways_or_the_command_line():
    code = (
        "import sys, marbleglade.__main__, marbleglade.service.front_process\n"
        f"print([name for name in sys.modules if name.startswith({MODULES_NOT_IMPORTED_BY_FRONTS!r})])"
    )
    result = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True)
    assert result.stdout.strip() == "[]"
