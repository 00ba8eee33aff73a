"""The script that writes variants of the bench's sites, on a small kit made up here."""

from __future__ import annotations

import subprocess
import sys
import tomllib
from pathlib import Path
from typing import Any

import pytest

SITES = Path(__file__).parents[2] / "deploy" / "sites"
BESIDE = {"real.json": "{}\n", "wire.json": "{ }\n", "unlock.txt": "unlock hang 0\n"}
SITE = """\
name = "harbour"
stock = "1f"

[net]
zones = ["a"]
same_ms = [5, 1.5]

[[tier]]
name = "partners"

[tier.report]
fields = ["x0", "x1"]

[[tier.kind]]
name = "big"
cancel = ["none", "queued"]
drops = false

[[class]]
name = "note"
aim_ms = 900
worth = 0.3

[[class]]
name = "order"
effect = "keyed"
window_ms = 900

[fam]
rate = 5.5
"""
HEAD = 'folder = "some/site"\nsite = "harbour.toml"\n'


def kit(folder: Path, site: str = SITE) -> Path:
    """A kit with one site."""
    place = folder / "kit" / "some" / "site"
    place.mkdir(parents=True)
    for name, text in {**BESIDE, "harbour.toml": site}.items():
        (place / name).write_text(text)
    return folder / "kit"


def play(folder: Path, overrides: str, *words: str) -> subprocess.CompletedProcess[str]:
    """Run the script, as a copy in a folder of its own, with one overrides file."""
    place = folder / "deploy" / "sites"
    place.mkdir(parents=True)
    (place / "make.py").write_bytes((SITES / "make.py").read_bytes())
    (place / "ours.toml").write_text(overrides)
    return subprocess.run(
        [sys.executable, place / "make.py", *words], capture_output=True, text=True, timeout=60
    )


def made(folder: Path, overrides: str) -> dict[str, Any]:
    """The site that an overrides file gives."""
    done = play(folder, HEAD + overrides, "--kit", str(kit(folder)))
    assert (done.returncode, done.stderr) == (0, "")
    out = folder / "deploy" / "sites" / "out" / "ours"
    assert done.stdout == f"{out / 'ours.toml'}\n"
    assert {one.name: one.read_text() for one in out.iterdir() if one.name != "ours.toml"} == BESIDE
    return tomllib.loads((out / "ours.toml").read_text())


@pytest.mark.parametrize(
    ("overrides", "path", "value"),
    [
        ("", ("name",), "harbour"),
        ('[set]\nname = "quay"\n', ("name",), "quay"),
        ("[set]\nclass.0.aim_ms = 300\n", ("class", 0, "aim_ms"), 300),
        ("[set.fam]\nrate = [1.5, 2]\n", ("fam", "rate"), [1.5, 2]),
        ('[set]\nnet.zones = ["up", "down"]\n', ("net", "zones"), ["up", "down"]),
        ("[set]\ntier.0.kind.0.drops = true\n", ("tier", 0, "kind", 0, "drops"), True),
        ('[set]\ntier.0.kind.0.cancel = "none"\n', ("tier", 0, "kind", 0, "cancel"), "none"),
        ('[set]\nclass.0.name = "a \\"b\\" \\\\"\n', ("class", 0, "name"), 'a "b" \\'),
        ('drop = ["class.1.window_ms"]\n', ("class", 1), {"name": "order", "effect": "keyed"}),
        ('drop = ["class.0"]\n', ("class", 0, "name"), "order"),
        ("[add.class.0]\nwindow_ms = 5\n", ("class", 0, "window_ms"), 5),
        ('[[add.class]]\nname = "more"\n', ("class", 2), {"name": "more"}),
        ('[[add.tenant]]\nname = "t"\nshare = 1\n', ("tenant",), [{"name": "t", "share": 1}]),
        ("[[add.fam.class]]\nkinds = []\n", ("fam", "class"), [{"kinds": []}]),
    ],
)
def test_an_override_changes_what_it_names(
    tmp_path: Path, overrides: str, path: tuple[Any, ...], value: object
) -> None:
    found: Any = made(tmp_path, overrides)
    for step in path:
        found = found[step]
    assert found == value and type(found) is type(value)


def test_what_is_not_named_stays_and_so_does_the_layout(tmp_path: Path) -> None:
    made(tmp_path, "[set]\nfam.rate = 6\n")
    text = (tmp_path / "deploy" / "sites" / "out" / "ours" / "ours.toml").read_text()
    assert text == SITE.replace("rate = 5.5", "rate = 6")


@pytest.mark.parametrize(
    ("overrides", "told"),
    [
        (HEAD + "[set]\nnett.same_ms = 4\n", "ours.toml: nett.same_ms: the site has no such field"),
        (HEAD + "[set]\nclass.0.aim = 4\n", "ours.toml: class.0.aim: the site has no such field"),
        (HEAD + "[set]\nclass.2.aim_ms = 4\n", "ours.toml: class.2.aim_ms: the site has no such field"),
        (HEAD + "[set]\nclass.last.aim_ms = 4\n", "ours.toml: class.last.aim_ms: the site has no such field"),
        (HEAD + "[set]\nname.first = 4\n", "ours.toml: name.first: the site has no such field"),
        (HEAD + "[set]\nname = 4\n", "ours.toml: set.name: 4 cannot stand where 'harbour' stands"),
        (
            HEAD + '[set]\nclass.0.aim_ms = "4"\n',
            "ours.toml: set.class.0.aim_ms: '4' cannot stand where 900 stands",
        ),
        (HEAD + "[set]\nfam = 4\n", "ours.toml: set.fam: 4 cannot stand where {'rate': 5.5} stands"),
        (HEAD + 'drop = ["class.0.window_ms"]\n', "ours.toml: class.0.window_ms: the site has no such field"),
        (
            HEAD + "[add]\nfam.rate = 4\n",
            "ours.toml: add.fam.rate: the site has this field; it is changed by set",
        ),
        (
            HEAD + "[[add.net]]\nname = 4\n",
            "ours.toml: add.net: the site has this field; it is changed by set",
        ),
        (HEAD + "[add.class.2]\nname = 4\n", "ours.toml: add.class.2: the site has no such field"),
        (
            HEAD + "[add.name]\nfirst = 4\n",
            "ours.toml: add.name: the site has this field; it is changed by set",
        ),
        (HEAD + "[sets]\nname = 4\n", "ours.toml: sets: no such field, only add, drop, folder, set, site"),
        ('site = "harbour.toml"\n', "ours.toml: folder: has to name where the site stands in the kit"),
        ('folder = "some/site"\n', "ours.toml: site: has to name where the site stands in the kit"),
        ('folder = "some"\nsite = "harbour.toml"\n', "kit/some/harbour.toml: No such file or directory"),
        (HEAD + "[set\n", "ours.toml: Expected"),
    ],
)
def test_what_cannot_be_made_is_one_line_that_names_file_and_field(
    tmp_path: Path, overrides: str, told: str
) -> None:
    done = play(tmp_path, overrides, "--kit", str(kit(tmp_path)))
    assert (done.returncode, done.stdout) == (1, "")
    assert told in done.stderr and done.stderr.count("\n") == 1
    assert not (tmp_path / "deploy" / "sites" / "out").exists(), (
        "nothing is written of a variant that cannot be made"
    )


def test_a_kit_that_is_not_there_or_not_whole(tmp_path: Path) -> None:
    done = play(tmp_path / "one", HEAD)
    assert (
        done.returncode == 1
        and done.stderr == f"{tmp_path / 'given' / 'kit'}: no kit is there; --kit says where it is\n"
    )
    (kit(tmp_path) / "some" / "site" / "wire.json").unlink()
    done = play(tmp_path / "two", HEAD, "--kit", str(tmp_path / "kit"))
    assert (
        done.returncode == 1
        and done.stderr == f"{tmp_path / 'kit' / 'some' / 'site' / 'wire.json'}: No such file or directory\n"
    )


def test_ours_name_only_what_the_script_knows() -> None:
    found = sorted(SITES.glob("*.toml"))
    assert len(found) >= 2
    for one in found:
        given = tomllib.loads(one.read_text())
        assert set(given) <= {"folder", "site", "drop", "set", "add"} and given["set"]["name"] == one.stem
