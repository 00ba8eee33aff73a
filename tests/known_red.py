"""Parses ``KNOWN-RED.txt``, the list of tests that are deselected because of a known fault."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

FILE_NAME = "KNOWN-RED.txt"
MAX_TESTS = 3


class KnownRedError(ValueError):
    """The list is invalid; the message names the line."""


@dataclass(frozen=True, slots=True)
class KnownFailure:
    """A test that is known to fail, the cause, and the issue that tracks the fix.

    ``test`` is a pytest node id; without parameters it stands for all of them.
    """

    test: str
    cause: str
    issue: str


def parse(text: str) -> list[KnownFailure]:
    """Parse the text of the list. Raises KnownRedError for an invalid line, a duplicate or too many tests."""
    failures: list[KnownFailure] = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split(" | ")]
        if len(parts) != 3 or not all(parts):
            raise KnownRedError(f"{FILE_NAME}:{number}: a line is: test | cause | issue")
        if parts[0] in {failure.test for failure in failures}:
            raise KnownRedError(f"{FILE_NAME}:{number}: {parts[0]} stands twice")
        if len(failures) == MAX_TESTS:
            raise KnownRedError(f"{FILE_NAME}:{number}: more than {MAX_TESTS} tests: mend one first")
        failures.append(KnownFailure(*parts))
    return failures


def missing_tests(known: Iterable[KnownFailure], collected: Iterable[str], root: Path) -> list[str]:
    """Return the listed tests that do not exist.

    A test does not exist if its file does not, or if the file was collected without it. A file that was
    not collected in this run proves nothing about its tests.
    """
    names = set(collected)
    files = {name.partition("::")[0] for name in names}
    return [
        failure.test
        for failure in known
        if not (root / failure.test.partition("::")[0]).is_file()
        or (failure.test.partition("::")[0] in files and not any(matches(failure, name) for name in names))
    ]


def matches(failure: KnownFailure, name: str) -> bool:
    """Tell whether ``name`` is the node id of the listed test or of one of its parametrized cases."""
    return name == failure.test or name.startswith(failure.test + "[")
