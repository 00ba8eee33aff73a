"""``brassweir journal``: inspects a journal, in use or damaged, and compacts one that is not in use."""

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

ROWS_PER_BATCH = 50_000


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
    scanned = _scan(folder)
    tree = {
        "good": not scanned.problems,
        "records": scanned.records,
        "bytes": scanned.size,
        "torn_bytes": scanned.torn_bytes,
        "segments": scanned.segments,
        "stale": scanned.stale,
        "problems": scanned.problems,
    }
    if as_json:
        click.echo(json.dumps(tree))
    else:
        for problem in scanned.problems:
            click.echo(problem)
        click.echo(
            f"{scanned.records} records in {len(scanned.segments)} segments, {scanned.size} bytes, "
            f"{scanned.torn_bytes} torn at the end, {len(scanned.problems)} problems"
        )
    sys.exit(0 if not scanned.problems else 1)


@journal.command("stats")
@_folder
@_json
def stats_command(folder: Path, as_json: bool) -> None:
    """Count messages by class and answer, and what a snapshot would keep."""
    scanned = _scan(folder)
    counts: Counter[str] = Counter()
    for message_state in scanned.state.by_id.values():
        name = message_state.taken.class_name if message_state.taken is not None else "(lost)"
        counts[f"{name} {message_state.final.answer if message_state.final is not None else 'open'}"] += 1
    live = list(compact.live_records(scanned.state, time.time() * 1000.0, float("inf")))
    tree = {
        "messages": dict(sorted(counts.items())),
        "runs": scanned.state.runs,
        "bytes": scanned.size,
        "records": scanned.records,
        "records_kept_by_a_snapshot": len(live),
        "endpoints_with_trouble": len(scanned.state.history.recent_outcomes),
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
    scanned = _scan(folder)
    message_ids = {
        message_state.id
        for message_state in scanned.state.by_id.values()
        if str(message_state.id) == message
        or (
            message_state.taken is not None
            and message in (message_state.taken.identity, message_state.taken.identity.partition("\n")[2])
        )
    }
    lines = [line for name in scanned.segments for line in _lines(folder / name, message_ids)]
    if not lines:
        raise click.ClickException(f"{folder}: no record of {message!r}")
    if as_json:
        click.echo(json.dumps(lines))
        return
    for line in lines:
        values_text = "  ".join(
            f"{name}={value}" for name, value in line.items() if name not in ("record", "where")
        )
        click.echo(f"{line['where']:>24}  {line['record']:7} {values_text}")


def _lines(path: Path, message_ids: set[int]) -> list[dict[str, Any]]:
    lines: list[dict[str, Any]] = []
    for frame in read_frames(path.read_bytes()):
        if isinstance(frame, Damage) or getattr(frame.record, "id", 0) not in message_ids:
            continue
        record = frame.record
        values: dict[str, Any] = {name: getattr(record, name) for name in record.__struct_fields__}
        for name, value in values.items():
            if isinstance(value, bytes):
                values[name] = f"{len(value)} bytes"
        lines.append(
            {"where": f"{path.name}:{frame.offset}", "record": type(record).__name__.lower(), **values}
        )
    return lines


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
    scanned = _scan(folder)
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
    temporary = path.with_name(path.name + ".new")
    try:
        with pq.ParquetWriter(temporary, schema, compression="zstd") as writer:
            for batch in batched(table.rows(scanned.state, scanned.holes), ROWS_PER_BATCH):
                for row in batch:
                    for name, (kind, _) in table.COLUMNS.items():
                        if kind == "timestamp" and row[name] is not None:
                            row[name] = round(row[name])
                writer.write_batch(pa.RecordBatch.from_pylist(batch, schema=schema))
                count += len(batch)
        temporary.replace(path)
    except OSError as error:
        temporary.unlink(missing_ok=True)
        raise click.ClickException(f"{path}: {error.strerror or error}") from None
    tree = {"rows": count, "bytes": path.stat().st_size, "problems": scanned.problems}
    click.echo(json.dumps(tree) if as_json else f"{count} messages written to {path}")


def batched(rows: Iterable[dict[str, Any]], size: int) -> Iterator[list[dict[str, Any]]]:
    """Yield the rows in lists of up to ``size``."""
    source = iter(rows)
    while batch := list(islice(source, size)):
        yield batch


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
        scanned = scan(storage)
        if scanned.problems:
            raise click.ClickException(
                f"{folder} is damaged ({scanned.problems[0]}): a sender recovers from "
                "it as it is; rewriting it would hide what was lost"
            )
        writer = Writer(storage, scanned)
        writer.open()
        now = time.time() * 1000.0
        live = list(compact.live_records(scanned.state, now, remember_hours * 3_600_000.0))
        writer.snapshot(live, writer.close_segment())
        click.echo(f"{scanned.size} bytes rewritten as {writer.total_bytes}")
    except (OSError, FormatError, JournalBroken) as error:
        raise click.ClickException(f"{folder}: {error}") from None
    finally:
        storage.close()
