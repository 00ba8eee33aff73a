"""Settings of a group of copies: one error for each mistake, with its line, and all at once."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from brassweir.config.copies import read_copies
from brassweir.config.load import ConfigError, load
from brassweir.config.model import Config
from brassweir.regions import planning
from brassweir.service.checking import check
from tests.config.test_forward import VALID_SETTINGS, problems, write_settings

SETTINGS = (
    VALID_SETTINGS
    + """\
region: {name: east, source: agreed}
peers: {copies: copies.yaml, keys: [peers.key]}
agreed: {voters: [s1, s2, s3], first_epoch: first.json}
"""
)
COPIES = """\
copies:
  - {name: s1, site: e1, region: east, address: "127.0.0.1:7201"}
  - {name: s2, site: w1, region: west, address: "127.0.0.1:7202"}
  - {name: s3, site: w2, region: west, address: "127.0.0.1:7203"}
"""


def write_copies_settings(tmp_path: Path, text: str = SETTINGS, copies: str = COPIES) -> Path:
    """Write settings with ``agreed`` and the files that they name; return the settings file's path."""
    path = write_settings(tmp_path, text)
    (tmp_path / "copies.yaml").write_text(copies)
    (tmp_path / "peers.key").write_text("a key of the fleet\n")
    (tmp_path / "short.key").write_text("short\n")
    (tmp_path / "first.json").write_bytes(
        msgspec.json.encode(planning.first_epoch({"east": "http://e", "west": "http://w"}, 0.0, 1.0))
    )
    return path


def test_a_valid_file_is_accepted(tmp_path: Path) -> None:
    config = check(write_copies_settings(tmp_path))
    assert (
        config.agreed is not None
        and config.agreed.voters == ("s1", "s2", "s3")
        and config.agreed.lease_ms == 30_000.0
    )
    assert [copy.site for copy in read_copies(tmp_path / "copies.yaml", config)] == ["e1", "w1", "w2"]


@pytest.mark.parametrize(
    ("old", "new", "problem"),
    [
        (
            "peers: {copies: copies.yaml, keys: [peers.key]}\n",
            "",
            ":1: Value error, peers is needed: agreed uses the connections between copies",
        ),
        (
            "source: agreed",
            "source: agreed, epochs: e.json",
            ":16: region: Value error, epochs and source: agreed do not go together",
        ),
        (
            ", source: agreed",
            "",
            ":16: region: Value error, epochs is needed: the file that head office publishes",
        ),
        (", source: agreed", ", epochs: e.json", "agreed.first_epoch needs region.source: agreed"),
        (
            "agreed: {voters: [s1, s2, s3], first_epoch: first.json}\n",
            "",
            "agreed is needed: region.source is agreed",
        ),
        ("[s1, s2, s3]", "[s1, s2]", ":18: agreed: Value error, voters: an odd number is needed"),
        ("[s1, s2, s3]", "[s1, s2, s2]", "voters: s2 is listed more than once"),
        ("[s1, s2, s3]", "[]", ":18: agreed.voters"),
        ("[s1, s2, s3]", "[s1, s2, s9]", "copies.yaml:1: copies: s9, of agreed.voters, is not listed"),
        ("[peers.key]", "[]", ":17: peers.keys"),
        ("[peers.key]", "[none.key]", "peers.keys[0]: "),
        ("[peers.key]", "[peers.key, short.key]", "short.key: a key has 16 bytes or more"),
        ("copies.yaml", "none.yaml", "none.yaml: No such file"),
        ("first.json", "edge.key", "agreed.first_epoch: "),
        ("name: east", "name: west", "region.name: west, but the file of copies says east"),
        ("voters: [", "colour: red, voters: [", "agreed.colour: is no known field"),
    ],
)
def test_bad_settings(tmp_path: Path, old: str, new: str, problem: str) -> None:
    assert old in SETTINGS
    found = problems(write_copies_settings(tmp_path, SETTINGS.replace(old, new, 1)))
    assert len(found) == 1 and problem in found[0], found


@pytest.mark.parametrize(
    ("old", "new", "line", "problem"),
    [
        ("name: s1", "name: s9", 1, "this sender, s1, is not listed"),
        ("name: s2", "name: s3", 4, "name s3 is also on line 3"),
        ("7202", "7201", 3, "address 127.0.0.1:7201 is also on line 2"),
        ("7202", "0", 3, "copies[1].address: Value error, an address has the form HOST:PORT, with a port"),
        ("site: w1, ", "", 3, "copies[1].site: is missing"),
        ("site: w1", "site: W 1", 3, "copies[1].site"),
        ("region: west", "region: west, colour: red", 3, "copies[1].colour: is no known field"),
        ("copies:", "copy:", 1, "is"),
        ("  - {name: s2", "  - [name: s2", 3, ""),
    ],
)
def test_bad_copies(tmp_path: Path, old: str, new: str, line: int, problem: str) -> None:
    assert old in COPIES
    found = problems(write_copies_settings(tmp_path, copies=COPIES.replace(old, new, 1)))
    assert any(f"copies.yaml:{line}: " in text and problem in text for text in found), found


def test_all_problems_are_reported_at_once(tmp_path: Path) -> None:
    invalid = COPIES.replace("name: s1", "name: s3").replace("7202", "7203").replace("site: w2", "site: w 2")
    found = problems(write_copies_settings(tmp_path, SETTINGS.replace("peers.key", "short.key"), invalid))
    assert [problem.partition("copies.yaml:")[2].partition(":")[0] for problem in found] == [
        "4",
        "4",
        "4",
        "1",
        "1",
        "",
    ], found


def test_a_reloaded_file_without_the_own_entry_is_refused(tmp_path: Path) -> None:
    path = write_copies_settings(tmp_path)
    config = load(path, Config)
    (tmp_path / "copies.yaml").write_text("copies:\n" + COPIES.splitlines(keepends=True)[2])
    with pytest.raises(ConfigError) as caught:
        read_copies(tmp_path / "copies.yaml", config)
    assert ["s1" in problem for problem in caught.value.problems] == [True, True, False]
    with pytest.raises(ConfigError) as caught:
        read_copies(tmp_path / "copies.yaml", config, founding=False)
    assert len(caught.value.problems) == 1, "the founding voters may have been replaced since"
