"""Reads the file that lists all copies of the program and checks it against the settings.

Reports all problems at once, each with its line.
"""

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
    """Return all copies, in the order of the file. Raises ConfigError.

    With ``founding`` the voters of the settings must be listed: they may yet found the group. Later they may
    have been replaced.
    """
    problems: list[str] = []
    copies: tuple[CopyModel, ...] = ()
    try:
        copies = load(path, CopiesFile).copies
    except ConfigError as error:
        problems += error.problems
    names: set[str] = set()
    seen: dict[tuple[str, str], tuple[int, int]] = {}
    entries = list(_entries(path))
    for number, (line, entry) in enumerate(entries):
        for field in ("name", "address"):
            value = entry.get(field)
            if not isinstance(value, str):
                continue
            first, first_line = seen.setdefault((field, value), (number, line))
            if first != number:
                problems.append(f"{path}:{line}: copies: {field} {value[:128]} is also on line {first_line}")
            if field == "name":
                names.add(value)
    if entries:
        problems += _missing(path, config, names, founding)
    if problems:
        raise ConfigError(problems)
    return copies


def agreed_directory(config: CopyConfig, base: Path) -> Path:
    """Return the directory of the agreed log; ``base`` is that of the settings file."""
    directory = config.agreed.folder if config.agreed is not None else None
    return base / (directory or f"{config.sender.name}.agreed")


def _missing(path: Path, config: CopyConfig, names: set[str], founding: bool) -> list[str]:
    """Return one problem for each copy that must be listed and is not."""
    problems = []
    if config.sender.name not in names:
        problems.append(f"{path}:1: copies: this sender, {config.sender.name}, is not listed")
    for voter in config.agreed.voters if config.agreed is not None and founding else ():
        if voter not in names:
            problems.append(f"{path}:1: copies: {voter}, of agreed.voters, is not listed")
    return problems


def _entries(path: Path) -> Iterator[tuple[int, CommentedMap]]:
    """Yield the entries with their lines, as far as the file can be read; nothing if it is invalid YAML."""
    try:
        tree: Any = YAML(typ="rt").load(path.read_text(encoding="utf-8"))
    except (OSError, YAMLError, ValueError, RecursionError):
        return
    entries = tree.get("copies") if isinstance(tree, CommentedMap) else None
    if not isinstance(entries, CommentedSeq):
        return
    for number, entry in enumerate(entries):
        if isinstance(entry, CommentedMap):
            yield entries.lc.item(number)[0] + 1, entry


def own_entry(copies: tuple[CopyModel, ...], config: CopyConfig) -> CopyModel:
    """Return this process's own entry; read_copies has checked that there is one."""
    return next(copy for copy in copies if copy.name == config.sender.name)


def region_problems(copies: tuple[CopyModel, ...], config: CopyConfig) -> list[str]:
    """Check that the own entry and the settings name the same region; returns the problems."""
    own = own_entry(copies, config)
    if config.region is not None and config.region.name != own.region:
        return [f"region.name: {config.region.name}, but the file of copies says {own.region}"]
    return []
