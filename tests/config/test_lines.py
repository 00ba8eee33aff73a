"""The endpoint list as JSON lines: the same checks as for YAML, and every error with its line."""

from __future__ import annotations

from pathlib import Path

import pytest

from brassweir.config import lines
from brassweir.config.load import ConfigError
from brassweir.config.load import parse as parse_yaml
from brassweir.config.model import Config
from brassweir.interface import EntryState
from brassweir.service.listfile import read_list
from brassweir.service.open_file_limit import plan_soft_limit
from brassweir.service.resolved_list import DestinationNumbers
from tests.config.test_config import VALID_SETTINGS

LINE = b'{"name":"h1","url":"http://127.0.0.1:9/x","destination":"hook 1","kind":"web"}\n'


def config() -> Config:
    """Return settings with a kind of webhooks, named "web"."""
    text = VALID_SETTINGS.replace("identity:", "kinds:\n  - {name: web, carrier: webhook}\nidentity:", 1)
    return parse_yaml(text.replace("may_send_to: [bank]", "may_send_to: [bank, 'hook*']"), Config, "s.yaml")


@pytest.mark.parametrize(
    ("change", "problem"),
    [
        ((b'"name":"h1"', b'"name":"h 1"'), ":1: name: "),
        ((b"http:", b"ftp:"), ":1: url: "),
        ((b":9/", b":99999/"), ":1: url: Port out of range"),
        ((b'"kind"', b'"colour"'), "unknown field `colour`"),
        ((b',"destination":"hook 1"', b""), "either a partner or a destination"),
        ((b'"destination"', b'"partner":"bank","destination"'), "either a partner or a destination"),
        ((b'"kind":"web"', b'"kind":"web","state":"asleep"'), ":1: state: "),
        ((b'"kind":"web"', b'"kind":"web","rate":-1'), ":1: rate: "),
        ((b"}", b""), ":1: "),
        ((b"{", b"\xff{"), ":1: "),
        ((b'"h1"', b'"h1\\n"'), ":1: name: "),
    ],
)
def test_bad_lines(change: tuple[bytes, bytes], problem: str) -> None:
    assert change[0] in LINE
    with pytest.raises(ConfigError) as caught:
        lines.parse(LINE.replace(*change, 1), "l.jsonl")
    assert problem in caught.value.problems[0]


def test_every_bad_line_and_duplicate_name_is_reported() -> None:
    with pytest.raises(ConfigError) as caught:
        lines.parse(LINE + b"\n" + b"x\n" + LINE + b"[]\n", "l.jsonl")
    assert [problem.split(":")[1] for problem in caught.value.problems] == ["3", "4", "5"]
    assert "is also on line 1" in caught.value.problems[1]
    with pytest.raises(ConfigError) as caught:
        lines.parse(b"x\n" * 1000, "l.jsonl")
    assert len(caught.value.problems) == lines.MAX_PROBLEMS


def test_destination_numbers_stay_and_are_never_reused(tmp_path: Path) -> None:
    path, numbers = tmp_path / "l.jsonl", DestinationNumbers(config())
    path.write_bytes(LINE + LINE.replace(b"h1", b"h2").replace(b"hook 1", b"hook 2"))
    first = read_list(path, config(), numbers)
    assert [info.destination for info in first.infos] == [2, 3], "partners come first"
    path.write_bytes(
        LINE.replace(b"h1", b"h3").replace(b"hook 1", b"hook 3")
        + LINE.replace(b'"kind"', b'"state":"draining","kind"')
    )
    second = read_list(path, config(), numbers)
    assert [(info.destination, info.state) for info in second.infos] == [
        (4, EntryState.READY),
        (2, EntryState.DRAINING),
    ]


@pytest.mark.parametrize(
    ("line", "problem"),
    [
        (LINE.replace(b'"web"', b'"none"'), "kind 'none' is not in the settings"),
        (LINE.replace(b'"destination":"hook 1"', b'"partner":"bank"'), "kind 'web' carries by webhook"),
        (LINE.replace(b',"kind":"web"', b""), "kind '' carries by as2"),
        (LINE.replace(b"hook 1", b"bank"), "'bank' is an AS2 partner"),
        (LINE.replace(b"http:", b"https:"), "https is not served"),
    ],
)
def test_a_list_must_fit_the_settings(tmp_path: Path, line: bytes, problem: str) -> None:
    path = tmp_path / "l.jsonl"
    path.write_bytes(line)
    numbers = DestinationNumbers(config())
    with pytest.raises(ConfigError, match=problem):
        read_list(path, config(), numbers)
    assert not numbers.listed


def test_the_descriptor_limit_is_raised_or_refused_with_the_value_to_set() -> None:
    assert (plan_soft_limit(100, 200, 400), plan_soft_limit(300, 200, 400)) == (200, 300)
    with pytest.raises(ConfigError, match="ulimit -n 500"):
        plan_soft_limit(500, 200, 400)
