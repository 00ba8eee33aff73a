"""Writes the folders of our own variants of the bench's sites: ``python deploy/sites/make.py [--kit PATH]``.

Each overrides file beside this script names a site file of the kit and what is other there: ``[set]`` gives
fields that stand in it a new value, ``[add]`` gives it fields and tables that it has not, ``drop`` takes
fields or tables out. A path is names and places in lists, set apart by dots (``class.0.aim_ms``). The folder
made, ``out/NAME``, has the changed site file and the kit's other files as they are; git passes it over. What
cannot be done is one line naming file and field, and exit code 1.
"""

from __future__ import annotations

import argparse
import json
import re
import shutil
import sys
import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Any

HERE = Path(__file__).parent
BESIDE = ("real.json", "wire.json", "unlock.txt")  # files of a site's folder that are taken as they are
KNOWN = {"folder", "site", "drop", "set", "add"}
_BARE = re.compile(r"[A-Za-z0-9_-]+")

Tree = dict[str, Any]


class VariantError(ValueError):
    """A variant cannot be made; says which file and field."""


def varied(site: Tree, overrides: Tree) -> Tree:
    """The site with the overrides put in. Pure; raises VariantError naming the field."""
    if unknown := sorted(set(overrides) - KNOWN):
        raise VariantError(f"{unknown[0]}: no such field, only {', '.join(sorted(KNOWN))}")
    made: Tree = json.loads(json.dumps(site))
    for path, value in _leaves(overrides.get("set", {})):
        inside, last = _place(made, path)
        was = inside[last]
        alike = isinstance(value, str) == isinstance(was, str) or isinstance(was, list)
        if isinstance(was, dict) or not alike:
            raise VariantError(f"set.{path}: {value!r} cannot stand where {was!r} stands")
        inside[last] = value
    for path in overrides.get("drop", []):
        inside, last = _place(made, path)
        del inside[last]
    _add(made, overrides.get("add", {}), "add")
    return made


def _leaves(tree: Any, at: str = "") -> Iterator[tuple[str, Any]]:
    for name, value in tree.items():
        if isinstance(value, dict):
            yield from _leaves(value, f"{at}{name}.")
        else:
            yield at + name, value


def _place(tree: Any, path: str) -> tuple[Any, Any]:
    """Where a path leads: what holds the value, and its name or place there."""
    *above, last = path.split(".")
    for name in above:
        tree = tree[_key(tree, name, path)]
    return tree, _key(tree, last, path)


def _key(tree: Any, name: str, path: str) -> Any:
    if isinstance(tree, dict) and name in tree:
        return name
    if isinstance(tree, list) and name.isdecimal() and int(name) < len(tree):
        return int(name)
    raise VariantError(f"{path}: the site has no such field")


def _add(tree: Any, more: Tree, at: str) -> None:
    """Put in what is not there. Lists of tables become longer; nothing that stands is changed."""
    for name, value in more.items():
        path = f"{at}.{name}"
        if isinstance(tree, dict) and name not in tree:
            tree[name] = value
            continue
        stands = tree[_key(tree, name, path)]
        if isinstance(value, dict) and isinstance(stands, dict | list):
            _add(stands, value, path)
        elif _tables(value) and _tables(stands):
            stands += value
        else:
            raise VariantError(f"{path}: the site has this field; it is changed by set")


def _tables(value: Any) -> bool:
    return isinstance(value, list) and bool(value) and all(isinstance(one, dict) for one in value)


def written(tree: Tree, at: str = "") -> str:
    """A tree as TOML, laid out as the bench's site files: a table's fields, then the tables in it. Pure."""
    lines = [
        f"{_name(name)} = {_value(value)}\n"
        for name, value in tree.items()
        if not isinstance(value, dict) and not _tables(value)
    ]
    parts = ["".join(lines)] if lines else []
    for name, value in tree.items():
        path = at + _name(name)
        if isinstance(value, dict):
            parts.append(f"[{path}]\n{written(value, path + '.')}")
        elif _tables(value):
            parts += [f"[[{path}]]\n{written(one, path + '.')}" for one in value]
    return "\n".join(parts)


def _name(name: str) -> str:
    return name if _BARE.fullmatch(name) else json.dumps(name)


def _value(value: Any) -> str:
    if isinstance(value, list):
        return "[" + ", ".join(_value(one) for one in value) + "]"
    if isinstance(value, str | bool):
        return json.dumps(value)
    return repr(value)


def make(overrides: Path, kit: Path, out: Path) -> Path:
    """Write one variant's folder and return its site file. Raises VariantError."""
    given = _parsed(overrides)
    for field in ("folder", "site"):
        if not isinstance(given.get(field), str):
            raise VariantError(f"{overrides}: {field}: has to name where the site stands in the kit")
    folder, name = kit / given["folder"], overrides.stem
    source = folder / given["site"]
    if not kit.is_dir():
        raise VariantError(f"{kit}: no kit is there; --kit says where it is")
    try:
        text = written(varied(_parsed(source), given))
    except VariantError as error:
        raise error if str(source) in str(error) else VariantError(f"{overrides}: {error}") from None
    target = out / name
    try:
        target.mkdir(parents=True, exist_ok=True)
        for one in BESIDE:
            shutil.copyfile(folder / one, target / one)
        (target / f"{name}.toml").write_text(text, encoding="utf-8")
    except OSError as error:
        raise VariantError(f"{error.filename}: {error.strerror}") from None
    return target / f"{name}.toml"


def _parsed(path: Path) -> Tree:
    try:
        return tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise VariantError(f"{path}: {error.strerror}") from None
    except ValueError as error:
        raise VariantError(f"{path}: {error}") from None


def main(words: list[str] | None = None, here: Path = HERE) -> int:
    """Write every variant, tell its site file, and return the exit code."""
    parser = argparse.ArgumentParser(description="Write our own variants of the bench's sites.")
    beside = here.parents[2] / "given" / "kit"
    parser.add_argument("--kit", type=Path, default=beside, help="where the kit is")
    kit = parser.parse_args(words).kit
    try:
        for overrides in sorted(here.glob("*.toml")):
            print(make(overrides, kit, here / "out"))
    except VariantError as error:
        print(error, file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
