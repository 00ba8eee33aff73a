"""Tests of the list of known failing tests: parsing, missing tests, and which tests a run deselects."""

from __future__ import annotations

import shutil
import subprocess
import sys
from pathlib import Path

import pytest

from tests import known_red
from tests.known_red import KnownFailure, KnownRedError, missing_tests, parse

ROOT = Path(__file__).parents[1]
LINE = "tests/test_a.py::test_red | the sky falls | 7\n"


@pytest.mark.parametrize(
    ("text", "error"),
    [
        ("tests/test_a.py::test_red | the sky falls\n", "KNOWN-RED.txt:1: a line is: test"),
        ("a |  | 7\n", ":1: a line is"),
        ("# why\n" + LINE + LINE, ":3: tests/test_a.py::test_red stands twice"),
        ("".join(f"a::t{i} | c | 1\n" for i in range(4)), ":4: more than 3"),
    ],
)
def test_an_invalid_list_raises_an_error_that_names_the_line(text: str, error: str) -> None:
    with pytest.raises(KnownRedError, match=error):
        parse(text)


def test_a_listed_test_is_missing_if_its_file_is_or_was_collected_without_it(tmp_path: Path) -> None:
    (tmp_path / "a.py").touch()
    known = [KnownFailure("a.py::t", "c", "1"), KnownFailure("b.py::t", "c", "1")]
    assert missing_tests(known, ["a.py::t[1]"], tmp_path) == ["b.py::t"]
    assert missing_tests(known[:1], ["a.py::other", "a.py::tt"], tmp_path) == ["a.py::t"]
    assert missing_tests(known[:1], ["c.py::t"], tmp_path) == []


@pytest.mark.parametrize(
    ("listed", "code", "output"),
    [
        ("", 1, "1 failed, 1 passed"),
        (LINE, 0, "1 passed, 1 deselected"),
        (LINE.replace("red", "rad"), 4, "no such test: tests/test_a.py::test_rad"),
        (LINE.replace("red", "green"), 1, "1 failed, 1 deselected"),
    ],
)
def test_only_listed_tests_are_deselected_and_printed(
    tmp_path: Path, listed: str, code: int, output: str
) -> None:
    (tmp_path / "tests").mkdir()
    for name in ("__init__.py", "conftest.py", "known_red.py"):
        shutil.copy(ROOT / "tests" / name, tmp_path / "tests")
    (tmp_path / "tests" / "test_a.py").write_text("def test_green(): pass\ndef test_red(): assert False\n")
    (tmp_path / known_red.FILE_NAME).write_text(listed)
    completed = subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", "tests"],
        cwd=tmp_path,
        capture_output=True,
        text=True,
        env={"PYTHONPATH": f"{tmp_path}:{ROOT}", "PATH": "/usr/bin:/bin"},
    )
    assert completed.returncode == code and output in completed.stdout + completed.stderr, (
        completed.stdout + completed.stderr
    )
    assert ("known red, passed over" in completed.stdout) == bool(listed)
