"""``brassweir kept``: lists, shows and removes undelivered messages."""

from __future__ import annotations

import json
import sys
import time
from pathlib import Path
from typing import Any

import click

from brassweir.undelivered.item import UndeliveredItem
from brassweir.undelivered.store import read_all

_folder = click.argument("folder", type=click.Path(path_type=Path, exists=True, file_okay=False))
_json = click.option("--json", "as_json", is_flag=True, help="Print JSON.")


@click.group()
def kept() -> None:
    """List, read and take out undelivered messages; safe beside a running sender."""


def _tree(path: Path, item: UndeliveredItem) -> dict[str, Any]:
    return {
        "name": path.stem,
        "owner": item.owner,
        "identity": item.identity,
        "destination": item.destination,
        "class": item.class_name,
        "label": item.label,
        "reason": item.reason,
        "kept_at": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(item.at / 1000.0)),
        "content_type": item.content_type,
        "bytes": len(item.content),
    }


@kept.command("list")
@_folder
@click.option("--destination", help="Only those for this one.")
@_json
def list_command(folder: Path, destination: str | None, as_json: bool) -> None:
    """List what is kept, oldest first. Exits with 1 if a file is damaged."""
    damaged = 0
    for path, item in read_all(folder):
        if isinstance(item, str):
            damaged += 1
            click.echo(f"{path}: {item}", err=True)
        elif destination is None or item.destination == destination:
            tree = _tree(path, item)
            line = (
                f"{tree['name'][:12]} {tree['kept_at']} {item.owner} {item.identity} -> {item.destination} "
                f"({tree['bytes']} bytes): {item.reason}"
            )
            click.echo(json.dumps(tree) if as_json else line)
    sys.exit(1 if damaged else 0)


def _find(folder: Path, name: str) -> tuple[Path, UndeliveredItem]:
    matches = [
        (path, item)
        for path, item in read_all(folder)
        if path.name.startswith(name) or (isinstance(item, UndeliveredItem) and name == item.identity)
    ]
    if len(matches) != 1:
        raise click.ClickException(
            f"{name!r} names {len(matches)} kept messages: use the name that list "
            "prints, or an identity that stands once"
        )
    path, item = matches[0]
    if isinstance(item, str):
        raise click.ClickException(f"{path}: {item}")
    return path, item


@kept.command("show")
@_folder
@click.argument("name")
@click.option("--content", is_flag=True, help="Write its content to standard output, and nothing else.")
@_json
def show_command(folder: Path, name: str, content: bool, as_json: bool) -> None:
    """Show one, by the beginning of its name or by its identity."""
    path, item = _find(folder, name)
    if content:
        sys.stdout.buffer.write(item.content)
        return
    tree = _tree(path, item)
    click.echo(json.dumps(tree) if as_json else "\n".join(f"{key}: {value}" for key, value in tree.items()))


@kept.command("drop")
@_folder
@click.argument("name")
@_json
def drop_command(folder: Path, name: str, as_json: bool) -> None:
    """Take one out for good. Its source was told that it need not send it again."""
    path, item = _find(folder, name)
    path.unlink()
    tree = {"dropped": path.stem, "identity": item.identity}
    click.echo(json.dumps(tree) if as_json else f"dropped {item.identity} of {item.owner}")
