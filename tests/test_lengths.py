"""Tests of .ci/check_lengths.py on small generated git repositories."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

CHECK = Path(__file__).parents[1] / ".ci" / "check_lengths.py"


def make_repository(directory: Path, files: dict[str, int], listed: str) -> Path:
    """Create a git repository with files of the given line counts and return its path."""
    for name, count in files.items():
        path = directory / name
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_text("pass\n" * count)
    (directory / ".ci").mkdir()
    (directory / ".ci" / "long-files").write_text(listed)
    subprocess.run(["git", "init", "-q"], cwd=directory, check=True)
    subprocess.run(["git", "add", "."], cwd=directory, check=True)
    return directory


@pytest.mark.parametrize(
    ("files", "listed", "error"),
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
def test_new_long_files_grown_files_and_invalid_list_entries_are_reported(
    tmp_path: Path, files: dict[str, int], listed: str, error: str
) -> None:
    completed = subprocess.run(
        [sys.executable, CHECK, make_repository(tmp_path, files, listed)],
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert completed.returncode == (1 if error else 0) and completed.stdout == ""
    assert error in completed.stderr and completed.stderr.count("\n") == (1 if error else 0)
