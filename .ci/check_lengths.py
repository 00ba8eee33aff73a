"""Checks that no Python file exceeds 250 lines, except those listed in `.ci/long-files`.

Each line of the list holds a path and a line count, which the file may not exceed. A listed file that is
gone or no longer too long must be removed from the list. The argument is the root of the checkout, by
default the one that contains this script. Prints one line per problem to stderr and exits with 1 if any.
"""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

MAX_LINES = 250
DIRECTORIES = ("brassweir", "tests", "benchmarks")
LIST_PATH = ".ci/long-files"


def parse_list(text: str) -> dict[str, int]:
    """Return line counts by path. Raises ValueError for a duplicate path or a malformed line."""
    limits: dict[str, int] = {}
    for number, line in enumerate(text.splitlines(), 1):
        words = line.split()
        if len(words) != 2 or not words[1].isdecimal() or words[0] in limits:
            raise ValueError(f"{LIST_PATH}:{number}: {line!r} is not one path, named once, and its lines")
        limits[words[0]] = int(words[1])
    return limits


def count_lines(root: Path) -> dict[str, int]:
    """Return line counts by path, for each tracked Python file that exists in the working tree."""
    completed = subprocess.run(
        ["git", "ls-files", "-z", "--", *DIRECTORIES], cwd=root, capture_output=True, text=True, check=True
    )
    paths = [
        path for path in completed.stdout.split("\0") if path.endswith(".py") and (root / path).is_file()
    ]
    return {path: len((root / path).read_text(encoding="utf-8").splitlines()) for path in paths}


def find_problems(lengths: dict[str, int], limits: dict[str, int]) -> list[str]:
    """Compare the line counts with those of the list and return one message per problem."""
    problems = []
    for path, count in sorted(lengths.items()):
        if count > MAX_LINES and path not in limits:
            problems.append(f"{path} has {count} lines: split it, {MAX_LINES} are the most")
        elif count > MAX_LINES and count > limits[path]:
            problems.append(f"{path} has grown from {limits[path]} to {count} lines: split it")
    for path in limits:
        if lengths.get(path, 0) <= MAX_LINES:
            problems.append(f"{path} is gone or short enough now: take it off the list {LIST_PATH}")
    return problems


def main(root: Path) -> int:
    """Check the tree, print the problems and return the exit code."""
    try:
        problems = find_problems(
            count_lines(root), parse_list((root / LIST_PATH).read_text(encoding="utf-8"))
        )
    except (OSError, ValueError) as error:
        problems = [str(error)]
    print("\n".join(problems), file=sys.stderr, end="\n" if problems else "")
    return 1 if problems else 0


if __name__ == "__main__":
    sys.exit(main(Path(sys.argv[1]) if len(sys.argv) > 1 else Path(__file__).parents[1]))
