"""The committed measurements: JSON lines, one file for each probe."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from pathlib import Path

import msgspec

from benchmarks.capacity.measurement import Measurement

FOLDER = Path(__file__).parent / "data"


class DataError(ValueError):
    """A line that is not a measurement; names file and line."""


def read_file(path: Path, known: Collection[str] | None = None) -> list[Measurement]:
    """The measurements of one file; ``known``: the figures that may occur in it."""
    found = []
    for number, line in enumerate(path.read_text(encoding="utf-8").splitlines(), 1):
        try:
            measurement = msgspec.json.decode(line, type=Measurement)
        except msgspec.DecodeError as error:  # a validation error is one as well
            raise DataError(f"{path.name}:{number}: {error}") from None
        if known is not None and measurement.figure not in known:
            raise DataError(f"{path.name}:{number}: no probe has a figure {measurement.figure!r}")
        found.append(measurement)
    return found


def read_all(folder: Path = FOLDER, known: Collection[str] | None = None) -> list[Measurement]:
    """The measurements of all files, in the order of their names."""
    return [found for path in sorted(folder.glob("*.jsonl")) for found in read_file(path, known)]


def append(probe: str, measurements: Iterable[Measurement], folder: Path = FOLDER) -> None:
    """Add measurements to the file of a probe."""
    with (folder / f"{probe}.jsonl").open("ab") as file:
        for measurement in measurements:
            file.write(msgspec.json.encode(measurement) + b"\n")
