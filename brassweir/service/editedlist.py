"""Reads and writes the list file that an operator edits, as entries of the log; problems name their line."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

from ruamel.yaml import YAML
from ruamel.yaml.comments import CommentedMap, CommentedSeq

from brassweir.config.load import ConfigError
from brassweir.configstream.catalog import Catalog
from brassweir.configstream.entries import Entry, EntryError, validate
from brassweir.service.listfile import read_entries
from brassweir.service.resolved_list import ListEntry

MAX_PROBLEMS = 20  # reported at once


def read_edited(path: Path) -> list[Entry]:
    """Read a list and check that the log can carry its entries. Raises ConfigError with file and line."""
    entries = [_entry(listed) for listed in read_entries(path)]
    problems = _problems(entries)
    if problems:
        numbers = dict(_entry_lines(path))
        raise ConfigError([f"{path}:{numbers.get(problem.name, 1)}: {problem}" for problem in problems])
    return entries


def write_list(path: Path, catalog: Catalog) -> None:
    """Write the entries in force as JSON lines, for an operator to edit. Raises OSError."""
    temporary = path.with_suffix(path.suffix + ".new")
    with temporary.open("w", encoding="utf-8") as file:
        for entry in sorted(catalog.entries(), key=lambda entry: entry.name):
            file.write(json.dumps(_fields(entry)) + "\n")
    temporary.replace(path)


def _entry(listed: ListEntry) -> Entry:
    return Entry(
        listed.name,
        listed.url,
        listed.destination or "",
        listed.partner or "",
        listed.kind,
        listed.zone,
        listed.state,
        listed.rate,
    )


def _fields(entry: Entry) -> dict[str, Any]:
    """Return the fields that differ from their defaults, by name."""
    values = {field: getattr(entry, field) for field in entry.__struct_fields__}
    return {field: value for field, value in values.items() if value and (field, value) != ("state", "ready")}


def _problems(entries: Iterable[Entry]) -> list[EntryError]:
    problems: list[EntryError] = []
    for entry in entries:
        try:
            validate(entry)
        except EntryError as error:
            problems.append(error)
            if len(problems) >= MAX_PROBLEMS:
                break
    return problems


def _entry_lines(path: Path) -> Iterator[tuple[str, int]]:
    """Yield name and line number of each entry of a valid file."""
    text = path.read_text(encoding="utf-8")
    if path.suffix == ".jsonl":
        for number, line in enumerate(text.split("\n"), 1):
            if line.strip():
                yield json.loads(line)["name"], number
        return
    tree: Any = YAML(typ="rt").load(text)
    sequence = tree["endpoints"]
    assert isinstance(sequence, CommentedSeq)
    for index, entry in enumerate(sequence):
        assert isinstance(entry, CommentedMap)
        yield str(entry["name"]), sequence.lc.item(index)[0] + 1
