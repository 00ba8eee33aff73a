"""Guards against a README whose example output or test command is out of date."""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_the_example_prints_the_output_shown_in_the_readme() -> None:
    readme = (ROOT / "README.md").read_text(encoding="utf-8")
    match = re.search(r"```python\n(.*?)```\n\nIt prints\n\n```\n(.*?)```", readme, re.DOTALL)
    assert match is not None
    completed = subprocess.run(
        [sys.executable, "-c", match[1]], capture_output=True, text=True, timeout=60, cwd=ROOT, check=False
    )
    assert (completed.returncode, completed.stderr) == (0, "")
    assert completed.stdout == match[2]


def test_ci_runs_the_test_command_of_the_readme() -> None:
    readme = (ROOT / "README.md").read_text(encoding="utf-8")
    match = re.search(r"## Test\n\n    (.*)\n", readme)
    assert match is not None
    assert match[1] in (ROOT / ".ci" / "run").read_text(encoding="utf-8").splitlines()
