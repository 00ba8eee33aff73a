"""``brassweir journal``: look into a journal, live or damaged, and rewrite one that nobody uses."""

from __future__ import annotations

import json
import sys
import time
from collections import Counter
from collections.abc import Iterable, Iterator
from itertools import islice
from pathlib import Path
from typing import Any

import click

from brassweir.journal import compact, table
from brassweir.journal.frame import Damage, FormatError, read_frames
from brassweir.journal.group import JournalBroken
from brassweir.journal.scan import Scan, scan
from brassweir.journal.storage import DirectoryStorage, StorageLocked
from brassweir.journal.writer import Writer

ROWS = 50_000  # written at a time


@click.group()
def journal() -> None:
    """Look into a journal, live or damaged, and rewrite one that nobody uses."""


_folder = click.argument("folder", type=click.Path(path_type=Path, exists=True, file_okay=False))
_json = click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")


def _scan(folder: Path) -> Scan:
    try:
        return scan(DirectoryStorage(folder, write=False))
    except FormatError as error:
        raise click.ClickException(f"{folder}: {error}") from None
    except OSError as error:
        raise click.ClickException(f"{folder}: {error.strerror or error}") from None


@journal.command("verify")
@_folder
@_json
def verify_command(folder: Path, as_json: bool) -> None:
    """Read every record and name what is damaged. Exits with 1 if anything is."""
    found = _scan(folder)
    tree = {
        "good": not found.problems,
        "records": found.records,
        "bytes": found.size,
        "torn_bytes": found.torn_bytes,
        "segments": found.segments,
        "stale": found.stale,
        "problems": found.problems,
    }
    if as_json:
        click.echo(json.dumps(tree))
    else:
        for problem in found.problems:
            click.echo(problem)
        click.echo(
            f"{found.records} records in {len(found.segments)} segments, {found.size} bytes, "
            f"{found.torn_bytes} torn at the end, {len(found.problems)} problems"
        )
    sys.exit(0 if not found.problems else 1)


@journal.command("stats")
@_folder
@_json
def stats_command(folder: Path, as_json: bool) -> None:
    """Count messages by class and answer, and what a snapshot would keep."""
    found = _scan(folder)
    counts: Counter[str] = Counter()
    for life in found.state.by_id.values():
        name = life.taken.class_name if life.taken is not None else "(lost)"
        counts[f"{name} {life.final.answer if life.final is not None else 'open'}"] += 1
    kept = list(compact.live_records(found.state, time.time() * 1000.0, float("inf")))
    tree = {
        "messages": dict(sorted(counts.items())),
        "runs": found.state.runs,
        "bytes": found.size,
        "records": found.records,
        "records_kept_by_a_snapshot": len(kept),
        "endpoints_with_trouble": len(found.state.recent_outcomes),
    }
    if as_json:
        click.echo(json.dumps(tree))
    else:
        for name, value in tree.items():
            click.echo(f"{name}: {value}")


@journal.command("show")
@_folder
@click.argument("message")
@_json
def show_command(folder: Path, message: str, as_json: bool) -> None:
    """Show one message's whole life, by its number or its Message-ID.

    Ended messages that a snapshot has passed over keep their name and answer only.
    """
    found = _scan(folder)
    wanted = {
        life.id
        for life in found.state.by_id.values()
        if str(life.id) == message
        or (
            life.taken is not None
            and message in (life.taken.identity, life.taken.identity.partition("\n")[2])
        )
    }
    lines = [line for name in found.segments for line in _lines(folder / name, wanted)]
    if not lines:
        raise click.ClickException(f"{folder}: no record of {message!r}")
    if as_json:
        click.echo(json.dumps(lines))
        return
    for line in lines:
        rest = "  ".join(f"{name}={value}" for name, value in line.items() if name not in ("record", "where"))
        click.echo(f"{line['where']:>24}  {line['record']:7} {rest}")


def _lines(path: Path, wanted: set[int]) -> list[dict[str, Any]]:
    found: list[dict[str, Any]] = []
    for part in read_frames(path.read_bytes()):
        if isinstance(part, Damage) or getattr(part.record, "id", 0) not in wanted:
            continue
        record = part.record
        values: dict[str, Any] = {name: getattr(record, name) for name in record.__struct_fields__}
        for name, value in values.items():
            if isinstance(value, bytes):
                values[name] = f"{len(value)} bytes"
        found.append(
            {"where": f"{path.name}:{part.offset}", "record": type(record).__name__.lower(), **values}
        )
    return found


@journal.command("export")
@_folder
@click.option(
    "--parquet",
    "path",
    required=True,
    type=click.Path(path_type=Path, dir_okay=False),
    help="The file to write.",
)
@_json
def export_command(folder: Path, path: Path, as_json: bool) -> None:
    """Write one row for each message to a Parquet file; columns are in docs/journal-format.md.

    Safe beside a running sender. Of ended messages that a snapshot has passed over, attempts are not known.
    """
    try:
        import pyarrow as pa
        import pyarrow.parquet as pq
    except ImportError:
        raise click.ClickException("Parquet needs the extra: pip install 'brassweir[analysis]'") from None
    found = _scan(folder)
    types = {
        "int64": pa.int64(),
        "int32": pa.int32(),
        "string": pa.string(),
        "bool": pa.bool_(),
        "timestamp": pa.timestamp("ms", tz="UTC"),
        "list": pa.list_(pa.string()),
    }
    schema = pa.schema(
        [
            pa.field(name, types[kind], metadata={"meaning": meaning})
            for name, (kind, meaning) in table.COLUMNS.items()
        ]
    )
    count = 0
    fresh = path.with_name(path.name + ".new")
    try:
        with pq.ParquetWriter(fresh, schema, compression="zstd") as writer:
            for part in batched(table.rows(found.state, found.holes), ROWS):
                for row in part:
                    for name, (kind, _) in table.COLUMNS.items():
                        if kind == "timestamp" and row[name] is not None:
                            row[name] = round(row[name])
                writer.write_batch(pa.RecordBatch.from_pylist(part, schema=schema))
                count += len(part)
        fresh.replace(path)
    except OSError as error:
        fresh.unlink(missing_ok=True)
        raise click.ClickException(f"{path}: {error.strerror or error}") from None
    tree = {"rows": count, "bytes": path.stat().st_size, "problems": found.problems}
    click.echo(json.dumps(tree) if as_json else f"{count} messages written to {path}")


def batched(rows: Iterable[dict[str, Any]], size: int) -> Iterator[list[dict[str, Any]]]:
    """Rows by so many."""
    source = iter(rows)
    while part := list(islice(source, size)):
        yield part


@journal.command("compact")
@_folder
@click.option(
    "--remember-hours",
    default=1.0,
    show_default=True,
    type=click.FloatRange(0.0, 10_000.0),
    help="Keep answers that are younger.",
)
def compact_command(folder: Path, remember_hours: float) -> None:
    """Rewrite a journal with what still matters. Refused while a process uses it, and on a damaged one."""
    try:
        storage = DirectoryStorage(folder)
    except StorageLocked as error:
        raise click.ClickException(str(error)) from None
    except OSError as error:
        raise click.ClickException(f"{folder}: {error.strerror or error}") from None
    try:
        found = scan(storage)
        if found.problems:
            raise click.ClickException(
                f"{folder} is damaged ({found.problems[0]}): a sender recovers from "
                "it as it is; rewriting it would hide what was lost"
            )
        writer = Writer(storage, found)
        writer.open()
        now = time.time() * 1000.0
        kept = list(compact.live_records(found.state, now, remember_hours * 3_600_000.0))
        writer.snapshot(kept, writer.close_segment())
        click.echo(f"{found.size} bytes rewritten as {writer.total_bytes}")
    except (OSError, FormatError, JournalBroken) as error:
        raise click.ClickException(f"{folder}: {error}") from None
    finally:
        storage.close()
