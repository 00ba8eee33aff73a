"""``node`` as a program: its imports and the configurations it refuses; and the check of the platform's rules."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from brassweir.lab.judges.platform_rules import RecordedTraffic, find_violations
from brassweir.lab.standins.platform import Call
from tests.relay.world import UNSAFE, configuration


def test_a_node_imports_nothing_heavy() -> None:
    heavy = [
        "cryptography",
        "pydantic",
        "numpy",
        "rich",
        "pyarrow",
        "ruamel",
        "structlog",
        "prometheus_client",
        "asn1crypto",
        "matplotlib",
        "brassweir.as2",
        "brassweir.forward",
        "brassweir.webhook",
        "brassweir.lab",
        "brassweir.regions",
        "brassweir.config",
    ]
    code = "import sys; import brassweir.cli.main, brassweir.cli.node; print('\\n'.join(sys.modules))"
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    ).stdout.split()
    assert "brassweir.service.node" in result and not set(heavy) & set(result)


@pytest.mark.parametrize(
    ("text", "field"),
    [
        ('{"name": "n1"}', "listen"),
        (json.dumps({**configuration(), "limits": {"disk_mb": 0.1}}), "disk_mb"),
    ],
)
def test_an_invalid_configuration_exits_with_one_line(tmp_path: Path, text: str, field: str) -> None:
    path = tmp_path / "config.json"
    path.write_text(text)
    result = subprocess.run(
        [sys.executable, "-m", "brassweir", "node"],
        capture_output=True,
        text=True,
        env={"RELAY_CONFIG": str(path), "RELAY_STATE": str(tmp_path)},
        cwd=Path(__file__).parents[2],
    )
    assert result.returncode == 1 and field in result.stderr and result.stderr.count("\n") == 1


def test_the_rules_check_finds_violations() -> None:
    from brassweir.lab.standins.relay_client import HandIn

    submission = HandIn(0.0, "m", "pay", 1, 1000.0, "", b"x", b"+OK\r\n")
    call = Call(5.0, "a", "m", "", "1m", b"x", 1)
    assert find_violations(RecordedTraffic([submission], [(1, call)], ["m"]), UNSAFE, 9999.0) == []
    assert find_violations(RecordedTraffic([submission]), UNSAFE, 9999.0) == ["m was taken on and lost"]
    assert find_violations(
        RecordedTraffic([submission], notices=[(2000.0, {"ref": "m"})]), UNSAFE, 9999.0
    ) == ["m was taken on and lost"]
    assert len(find_violations(RecordedTraffic([submission], [(1, call)], ["m", "m"]), UNSAFE, 9999.0)) == 1
    assert len(find_violations(RecordedTraffic([submission], [(2, call)], ["m"]), UNSAFE, 9999.0)) == 1
    assert find_violations(RecordedTraffic([], [(1, call)]), UNSAFE, 9999.0) == ["m was never handed in"]
