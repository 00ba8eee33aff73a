"""``brassweir import``: converts other programs' configuration files into endpoint lists."""

from __future__ import annotations

import glob
import json
import os
import sys
from pathlib import Path
from typing import Any

import click

from brassweir.importers.apache import conversion, httpd, jk
from brassweir.importers.apache.places import Problem

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
    imported = conversion.from_httpd(nodes)
    imported.problems = reader.problems + imported.problems
    _finish(imported, kind, out, as_json)


@importing.command("jk")
@click.argument("file", type=click.Path(path_type=Path, exists=True, dir_okay=False))
@_kind
@_out
@_json
def jk_command(file: Path, kind: str, out: Path | None, as_json: bool) -> None:
    """Read a mod_jk workers FILE. Exits with 1 if something was lost that changes where traffic goes."""
    _finish(conversion.from_jk(jk.read(file.name, _text(file))), kind, out, as_json)


def _text(path: Path) -> str:
    try:
        return path.read_text(encoding="utf-8", errors="replace")
    except OSError as error:
        raise click.ClickException(f"{path}: {error.strerror or error}") from None


def _finish(imported: conversion.Conversion, kind: str, out: Path | None, as_json: bool) -> None:
    entries = conversion.entries(imported, kind)
    problems: list[Problem] = sorted(set(imported.problems))
    if out is not None:
        temporary = out.with_name(out.name + ".new")
        temporary.write_text("".join(json.dumps(entry) + "\n" for entry in entries), encoding="utf-8")
        temporary.replace(out)
    tree: dict[str, Any] = {
        "endpoints": entries,
        "destinations": sorted({str(entry["destination"]) for entry in entries}),
        "complaints": [
            {
                "file": problem.place.file,
                "line": problem.place.line,
                "column": problem.place.column,
                "via": problem.place.via,
                "what": problem.message,
                "lost": problem.lost,
            }
            for problem in problems
        ],
    }
    if as_json:
        click.echo(json.dumps(tree))
    else:
        for problem in problems:
            click.echo(f"{'lost: ' if problem.lost else 'note: '}{problem}", err=True)
        click.echo(f"{len(entries)} endpoints of {len(tree['destinations'])} destinations")
    sys.exit(1 if any(problem.lost for problem in problems) else 0)
