"""The command: one clear error for what it cannot do, and a short run of real processes."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from click.testing import CliRunner

from brassweir.cli.between import between_command

SHORT = """faults:
- {at: 0, what: weather, for: 5, lose: 0.2, double: 0.1, swap: 0.1, delay: 0.2, delay_ms: 100}
- {at: 2, what: kill, who: leader, for: 1}
- {at: 3.5, what: oneway, between: [s2, s3], for: 1.5}
"""


@pytest.mark.parametrize(
    ("args", "words"),
    [
        (["--plan", "site"], "'site' is not one of 'peers', 'configuration', 'all'"),
        (["--copies", "3"], "not in the range 5<=x<=9"),
        (["--schedule", "s.yaml"], "s.yaml:2: faults[0].what"),
        (["--schedule", "t.yaml"], "t.yaml: faults[0].who: s9 is none of"),
    ],
)
def test_what_cannot_be_done_is_one_clear_error(args: list[str], words: str, tmp_path: Path) -> None:
    (tmp_path / "s.yaml").write_text("faults:\n- {at: 1, what: fire}\n")
    (tmp_path / "t.yaml").write_text("faults:\n- {at: 1, what: stall, who: s9}\n")
    found = CliRunner().invoke(
        between_command, [str(tmp_path / one) if one.endswith(".yaml") else one for one in args]
    )
    assert found.exit_code and words in found.output and "Traceback" not in found.output


def test_a_short_run_is_clean(tmp_path: Path) -> None:
    (tmp_path / "s.yaml").write_text(SHORT)
    found = CliRunner().invoke(
        between_command,
        ["--schedule", str(tmp_path / "s.yaml"), "--seconds", "15", "--copies", "5", "--rate", "4", "--json"],
    )
    tree = json.loads(found.stdout)
    assert tree["clean"] and found.exit_code == 0, tree
    tested = {name: one["tested"] for name, one in tree["properties"].items()}
    untested = {name for name, count in tested.items() if not count}
    assert untested <= {f"rule {i}" for i in range(2, 7)} | {"no false death"}, tested
