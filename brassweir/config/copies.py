"""Reads the file that names all copies and checks it against the settings: every problem at once, with its
line."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any

from ruamel.yaml import YAML
from ruamel.yaml.comments import CommentedMap, CommentedSeq
from ruamel.yaml.error import YAMLError

from brassweir.config.load import ConfigError, load
from brassweir.config.model import CopiesFile, CopyConfig, CopyModel


def read_copies(path: Path, config: CopyConfig, founding: bool = True) -> tuple[CopyModel, ...]:
    """All copies, in the order of the file. Raises ConfigError.

    ``founding``: the group may be founded by these settings, so its founders must be among them; later they
    may have been replaced.
    """
    problems: list[str] = []
    found: tuple[CopyModel, ...] = ()
    try:
        found = load(path, CopiesFile).copies
    except ConfigError as error:
        problems += error.problems
    named: set[str] = set()
    seen: dict[tuple[str, str], tuple[int, int]] = {}
    entries = list(_entries(path))
    for number, (line, entry) in enumerate(entries):
        for field in ("name", "address"):
            value = entry.get(field)
            if not isinstance(value, str):
                continue
            first, before = seen.setdefault((field, value), (number, line))
            if first != number:
                problems.append(f"{path}:{line}: copies: {field} {value[:128]} stands on line {before} too")
            if field == "name":
                named.add(value)
    if entries:
        problems += _missing(path, config, named, founding)
    if problems:
        raise ConfigError(problems)
    return found


def agreed_directory(config: CopyConfig, base: Path) -> Path:
    """Where the agreed log is kept."""
    given = config.agreed.folder if config.agreed is not None else None
    return base / (given or f"{config.sender.name}.agreed")


def _missing(path: Path, config: CopyConfig, named: set[str], founding: bool) -> list[str]:
    """Who must stand in the file and does not."""
    problems = []
    if config.sender.name not in named:
        problems.append(f"{path}:1: copies: this sender, {config.sender.name}, is not among them")
    for voter in config.agreed.voters if config.agreed is not None and founding else ():
        if voter not in named:
            problems.append(f"{path}:1: copies: {voter}, of agreed.voters, is not among them")
    return problems


def _entries(path: Path) -> Iterator[tuple[int, CommentedMap]]:
    """What there is of entries, with their lines; a file that is no YAML has none."""
    try:
        tree: Any = YAML(typ="rt").load(path.read_text(encoding="utf-8"))
    except (OSError, YAMLError, ValueError, RecursionError):
        return
    listed = tree.get("copies") if isinstance(tree, CommentedMap) else None
    if not isinstance(listed, CommentedSeq):
        return
    for number, entry in enumerate(listed):
        if isinstance(entry, CommentedMap):
            yield listed.lc.item(number)[0] + 1, entry


def own_entry(copies: tuple[CopyModel, ...], config: CopyConfig) -> CopyModel:
    """This process's own entry; the file has been checked to hold it."""
    return next(one for one in copies if one.name == config.sender.name)


def region_problems(copies: tuple[CopyModel, ...], config: CopyConfig) -> list[str]:
    """The own entry and the settings must name one region."""
    mine = own_entry(copies, config)
    if config.region is not None and config.region.name != mine.region:
        return [f"region.name: {config.region.name}, and the copies' file says {mine.region}"]
    return []
