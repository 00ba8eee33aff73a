"""The list of tests that are passed over: only those, at most three, each a test, and printed."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from tests import known_red
from tests.known_red import KnownRedError, Red, missing, read

ROOT = Path(__file__).parents[1]
LINE = "tests/test_a.py::test_red | the sky falls | 7\n"


@pytest.mark.parametrize(
    ("text", "what"),
    [
        ("tests/test_a.py::test_red | the sky falls\n", "KNOWN-RED.txt:1: a line is: test"),
        ("a |  | 7\n", ":1: a line is"),
        ("# why\n" + LINE + LINE, ":3: tests/test_a.py::test_red stands twice"),
        ("".join(f"a::t{i} | c | 1\n" for i in range(4)), ":4: more than 3"),
    ],
)
def test_a_list_that_cannot_be_used_is_one_error_that_names_the_line(text: str, what: str) -> None:
    with pytest.raises(KnownRedError, match=what):
        read(text)


def test_a_name_that_is_no_test_is_told_once_its_file_was_looked_at(tmp_path: Path) -> None:
    (tmp_path / "a.py").touch()
    known = [Red("a.py::t", "c", "1"), Red("b.py::t", "c", "1")]
    assert missing(known, ["a.py::t[1]"], tmp_path) == ["b.py::t"]
    assert missing(known[:1], ["a.py::other", "a.py::tt"], tmp_path) == ["a.py::t"]
    assert missing(known[:1], ["c.py::t"], tmp_path) == []


@pytest.mark.parametrize(
    ("listed", "code", "told"),
    [
        ("", 1, "1 failed, 1 passed"),
        (LINE, 0, "1 passed, 1 deselected"),
        (LINE.replace("red", "rad"), 4, "no such test: tests/test_a.py::test_rad"),
        (LINE.replace("red", "green"), 1, "1 failed, 1 deselected"),
    ],
)
def test_just_these_are_passed_over_and_printed(tmp_path: Path, listed: str, code: int, told: str) -> None:
    (tmp_path / "tests").mkdir()
    for name in ("__init__.py", "conftest.py", "known_red.py"):
        shutil.copy(ROOT / "tests" / name, tmp_path / "tests")
    (tmp_path / "tests" / "test_a.py").write_text("def test_green(): pass\ndef test_red(): assert False\n")
    (tmp_path / known_red.NAME).write_text(listed)
    ran = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "tests"],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        env={"PYTHONPATH": f"{tmp_path}:{ROOT}", "PATH": "/usr/bin:/bin"},
    )
    assert ran.returncode == code and told in ran.stdout + ran.stderr, ran.stdout + ran.stderr
    assert ("known red, passed over" in ran.stdout) == bool(listed)
