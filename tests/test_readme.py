"""The README's example prints what the page says, so that the page cannot go stale."""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent


def test_the_example_prints_what_the_readme_says() -> None:
    page = (ROOT / "README.md").read_text(encoding="utf-8")
    found = re.search(r"```python\n(.*?)```\n\nIt prints\n\n```\n(.*?)```", page, re.DOTALL)
    assert found is not None
    done = subprocess.run(
        [sys.executable, "-c", found[1]], capture_output=True, text=True, timeout=60, cwd=ROOT, check=False
    )
    assert (done.returncode, done.stderr) == (0, "")
    assert done.stdout == found[2]


def test_ci_runs_the_test_command_of_the_readme() -> None:
    page = (ROOT / "README.md").read_text(encoding="utf-8")
    found = re.search(r"## Test\n\n    (.*)\n", page)
    assert found is not None
    assert found[1] in (ROOT / ".ci" / "run").read_text(encoding="utf-8").splitlines()
