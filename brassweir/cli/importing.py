"""``brassweir import``: endpoint lists from other programs' files."""

from __future__ import annotations

import glob
import json
import os
import sys
from pathlib import Path
from typing import Any

import click

from brassweir.importers.apache import httpd, jk, meaning
from brassweir.importers.apache.places import Complaint

_json = click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")
_out = click.option(
    "--out",
    type=click.Path(path_type=Path, dir_okay=False),
    help="Write the endpoint list here (JSON lines).",
)
_kind = click.option("--kind", default="", help="The kind that the endpoints are listed as.")


@click.group("import")
def importing() -> None:
    """Make endpoint lists from other programs' files, and say what could not be carried over."""


@importing.command("apache")
@click.argument("file", type=click.Path(path_type=Path, exists=True, dir_okay=False))
@click.option("--define", "defined", multiple=True, help="A name given to httpd with -D.")
@click.option(
    "--root", type=click.Path(path_type=Path, file_okay=False), help="ServerRoot; FILE's folder if not given."
)
@_kind
@_out
@_json
def apache_command(
    file: Path, defined: tuple[str, ...], root: Path | None, kind: str, out: Path | None, as_json: bool
) -> None:
    """Read an httpd configuration FILE with all that it includes.

    Exits with 1 if something was lost that changes where traffic goes.
    """
    base = root or file.parent

    def files(pattern: str, _: str) -> list[tuple[str, str]]:
        return [
            (os.path.relpath(name, base), _text(Path(name)))
            for name in sorted(glob.glob(str(base / pattern)))
            if Path(name).is_file()
        ]

    reader = httpd.Reader(files, set(defined))
    nodes = reader.read(file.name, _text(file))
    made = meaning.of_httpd(nodes)
    made.complaints = reader.complaints + made.complaints
    _done(made, kind, out, as_json)


@importing.command("jk")
@click.argument("file", type=click.Path(path_type=Path, exists=True, dir_okay=False))
@_kind
@_out
@_json
def jk_command(file: Path, kind: str, out: Path | None, as_json: bool) -> None:
    """Read a mod_jk workers FILE. Exits with 1 if something was lost that changes where traffic goes."""
    _done(meaning.of_jk(jk.read(file.name, _text(file))), kind, out, as_json)


def _text(path: Path) -> str:
    try:
        return path.read_text(encoding="utf-8", errors="replace")
    except OSError as error:
        raise click.ClickException(f"{path}: {error.strerror or error}") from None


def _done(made: meaning.Meaning, kind: str, out: Path | None, as_json: bool) -> None:
    entries = meaning.entries(made, kind)
    complaints: list[Complaint] = sorted(set(made.complaints))
    if out is not None:
        fresh = out.with_name(out.name + ".new")
        fresh.write_text("".join(json.dumps(one) + "\n" for one in entries), encoding="utf-8")
        fresh.replace(out)
    tree: dict[str, Any] = {
        "endpoints": entries,
        "destinations": sorted({str(one["destination"]) for one in entries}),
        "complaints": [
            {
                "file": one.place.file,
                "line": one.place.line,
                "column": one.place.column,
                "via": one.place.via,
                "what": one.what,
                "lost": one.lost,
            }
            for one in complaints
        ],
    }
    if as_json:
        click.echo(json.dumps(tree))
    else:
        for one in complaints:
            click.echo(f"{'lost: ' if one.lost else 'note: '}{one}", err=True)
        click.echo(f"{len(entries)} endpoints of {len(tree['destinations'])} destinations")
    sys.exit(1 if any(one.lost for one in complaints) else 0)
