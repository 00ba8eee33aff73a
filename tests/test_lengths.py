"""The check on long files, on a small tree of its own."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

CHECK = Path(__file__).parents[1] / ".ci" / "check_lengths.py"


def tree(folder: Path, files: dict[str, int], listed: str) -> Path:
    """A checkout with files of so many lines."""
    for name, count in files.items():
        path = folder / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text("pass\n" * count)
    (folder / ".ci").mkdir()
    (folder / ".ci" / "long-files").write_text(listed)
    subprocess.run(["git", "init", "-q"], cwd=folder, check=True)
    subprocess.run(["git", "add", "."], cwd=folder, check=True)
    return folder


@pytest.mark.parametrize(
    ("files", "listed", "told"),
    [
        (
            {"brassweir/a.py": 250, "brassweir/b.py": 300, "journal/c.py": 900, "docs/d.md": 900},
            "brassweir/b.py 300\n",
            "",
        ),
        ({"brassweir/a.py": 251}, "", "brassweir/a.py has 251 lines"),
        ({"tests/deep/a.py": 251}, "", "tests/deep/a.py has 251 lines"),
        ({"benchmarks/b.py": 301}, "benchmarks/b.py 300\n", "benchmarks/b.py has grown from 300 to 301"),
        (
            {"brassweir/b.py": 250},
            "brassweir/b.py 300\n",
            "brassweir/b.py is gone or short enough now: take it off the list",
        ),
        (
            {"brassweir/a.py": 1},
            "brassweir/b.py 300\n",
            "brassweir/b.py is gone or short enough now: take it off the list",
        ),
        ({"brassweir/b.py": 300}, "brassweir/b.py many\n", "long-files:1:"),
        ({"brassweir/b.py": 300}, "brassweir/b.py 300\nbrassweir/b.py 400\n", "long-files:2:"),
    ],
)
def test_a_long_file_is_refused_and_the_list_only_shrinks(
    tmp_path: Path, files: dict[str, int], listed: str, told: str
) -> None:
    done = subprocess.run(
        [sys.executable, CHECK, tree(tmp_path, files, listed)], capture_output=True, text=True, timeout=60
    )
    assert done.returncode == (1 if told else 0) and done.stdout == ""
    assert told in done.stderr and done.stderr.count("\n") == (1 if told else 0)
