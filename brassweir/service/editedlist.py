"""The list file that an operator edits, as entries of the log; problems name their line."""

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

MOST_PROBLEMS = 20  # told at once


def read_edited(path: Path) -> list[Entry]:
    """Read a list whose every entry the log may carry. Raises ConfigError."""
    entries = [_entry(one) for one in read_entries(path)]
    problems = _problems(entries)
    if problems:
        numbers = dict(_lines(path))
        raise ConfigError([f"{path}:{numbers.get(one.name, 1)}: {one}" for one in problems])
    return entries


def write_list(path: Path, catalog: Catalog) -> None:
    """Write what is in force as JSON lines, for an operator to go on from. Raises OSError."""
    fresh = path.with_suffix(path.suffix + ".new")
    with fresh.open("w", encoding="utf-8") as file:
        for entry in sorted(catalog.entries(), key=lambda one: one.name):
            file.write(json.dumps(_fields(entry)) + "\n")
    fresh.replace(path)


def _entry(one: ListEntry) -> Entry:
    return Entry(
        one.name, one.url, one.destination or "", one.partner or "", one.kind, one.zone, one.state, one.rate
    )


def _fields(entry: Entry) -> dict[str, Any]:
    """The fields that differ from their defaults, by name."""
    values = {field: getattr(entry, field) for field in entry.__struct_fields__}
    return {field: value for field, value in values.items() if value and (field, value) != ("state", "ready")}


def _problems(entries: Iterable[Entry]) -> list[EntryError]:
    found: list[EntryError] = []
    for entry in entries:
        try:
            validate(entry)
        except EntryError as error:
            found.append(error)
            if len(found) >= MOST_PROBLEMS:
                break
    return found


def _lines(path: Path) -> Iterator[tuple[str, int]]:
    """The line of each entry of a file that could be read."""
    text = path.read_text(encoding="utf-8")
    if path.suffix == ".jsonl":
        for number, line in enumerate(text.split("\n"), 1):
            if line.strip():
                yield json.loads(line)["name"], number
        return
    tree: Any = YAML(typ="rt").load(text)
    listed = tree["endpoints"]
    assert isinstance(listed, CommentedSeq)
    for at, entry in enumerate(listed):
        assert isinstance(entry, CommentedMap)
        yield str(entry["name"]), listed.lc.item(at)[0] + 1
