"""What a change of the endpoint list costs a sender today: the whole list, read, checked and compared again."""

from __future__ import annotations

import tempfile
import tracemalloc
import zlib
from collections.abc import Callable, Sequence
from pathlib import Path
from random import Random

import msgspec

from benchmarks.capacity.measurement import Axis, Figure, Kind, Measurement, Point, Role
from benchmarks.capacity.probes.processor import median_of
from benchmarks.capacity.target import BYTES, CPU
from brassweir.config import lines
from brassweir.config.load import load
from brassweir.config.model import EndpointList
from brassweir.destinations.list_updates import ListUpdateQueue
from brassweir.interface import EndpointInfo, EntryState

AXES = (Axis.DESTINATIONS,)
MOST_YAML = 3_000  # entries of a YAML list that are read: some two seconds
REPEATS = 7
MISSING = "missing: whole lists, from outside the program"


def _figure(name: str, unit: str, what: str, terms: tuple[str, ...] = ("1", "D")) -> Figure:
    return Figure(name, unit, Role.SENDER, what, AXES, terms, Kind.MEASURED, mechanism=MISSING)


LINES_BYTES = _figure("list_lines_bytes", "bytes", "a list in JSON lines, one endpoint a destination")
LINES_CPU = _figure("list_lines_cpu", "s", "one change of it: read, checked, compared", ("D", "D*log D"))
LINES_MEMORY = _figure(
    "list_lines_memory", "MB", "one change of it: the most that is held besides what was known"
)
KNOWN_MEMORY = _figure(
    "list_known_memory", "MB", "what is kept of a list to compare the next with, and its URLs"
)
PACKED_BYTES = _figure("list_packed_bytes", "bytes", "a list as zlib of msgpack: what a snapshot could be")
DELTA_BYTES = _figure("list_delta_bytes", "bytes", "one changed entry, packed in the same way", ("1",))
YAML_BYTES = _figure("list_yaml_bytes", "bytes", "a list in YAML")
YAML_CPU = _figure("list_yaml_cpu", "s", "one change of it")
YAML_MEMORY = _figure(
    "list_yaml_memory", "MB", "one change of it: the most that is held besides what was known"
)


def _share(name: str, unit: str, what: str, each: str, budget: float) -> Figure:
    formula = f"{each} * changes_per_day / day"
    return Figure(
        name, unit, Role.SENDER, what, kind=Kind.DERIVED, budget=budget, formula=formula, mechanism=MISSING
    )


FIGURES: tuple[Figure, ...] = (
    LINES_BYTES,
    LINES_CPU,
    LINES_MEMORY,
    KNOWN_MEMORY,
    PACKED_BYTES,
    DELTA_BYTES,
    YAML_BYTES,
    YAML_CPU,
    YAML_MEMORY,
    _share(
        "list_lines_rate", "bytes/s", "whole lists in JSON lines at each change", "list_lines_bytes", BYTES
    ),
    _share("list_lines_share", "cores", "reading whole lists in JSON lines", "list_lines_cpu", CPU),
    _share("list_yaml_rate", "bytes/s", "whole lists in YAML at each change", "list_yaml_bytes", BYTES),
    _share("list_yaml_share", "cores", "reading whole lists in YAML", "list_yaml_cpu", CPU),
)


def entries(count: int) -> list[lines.Entry]:
    """One endpoint for each destination, with drawn names and hosts: names in sequence would pack too well."""
    rng = Random(1)
    return [
        lines.Entry(
            f"{rng.randbytes(5).hex()}-{number:05d}",
            f"http://{rng.randbytes(6).hex()}.example:{rng.randrange(1_024, 65_536)}/in",
            destination=f"destination {rng.randbytes(5).hex()}",
            kind="plain",
            zone=f"z{rng.randrange(10)}",
            rate=rng.choice((1.0, 5.0, 25.0, 100.0)),
        )
        for number in range(count)
    ]


def infos(listed: Sequence[lines.Entry]) -> list[EndpointInfo]:
    """As the decision module is told them."""
    return [
        EndpointInfo(one.name, number, one.kind, one.zone, EntryState(one.state), one.rate)
        for number, one in enumerate(listed)
    ]


def measure(point: Point, seconds: float) -> list[Measurement]:
    """One change of a list of that length in each form. Bounded by the length, not by ``seconds``."""
    known = entries(point.destinations)
    with tempfile.TemporaryDirectory() as folder:
        found = _lines(Path(folder) / "list.jsonl", known, point)
        if point.destinations <= MOST_YAML:
            found += _yaml(Path(folder) / "list.yaml", known, point)
    return found


def _lines(path: Path, known: list[lines.Entry], point: Point) -> list[Measurement]:
    path.write_bytes(b"\n".join(msgspec.json.encode(_given(entry)) for entry in known) + b"\n")
    packed, delta = _packed(known), _packed(known[-1:])
    del known
    tracemalloc.start()
    intake, urls = _known(path)
    kept = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()

    def change() -> None:
        intake.replace_all(infos(lines.read(path)))

    method = "JSON lines, read and compared, with one entry more than was known"
    return [
        Measurement(LINES_BYTES.name, point, float(path.stat().st_size), "size of the file"),
        Measurement(KNOWN_MEMORY.name, point, kept, f"tracemalloc, with {len(urls):,} URLs"),
        Measurement(PACKED_BYTES.name, point, packed, "zlib of msgpack of all entries"),
        Measurement(DELTA_BYTES.name, point, delta, "zlib of msgpack of one entry"),
        Measurement(
            LINES_CPU.name,
            point,
            median_of(change, REPEATS),
            f"{method}, scaled process time, median of {REPEATS}",
        ),
        Measurement(LINES_MEMORY.name, point, _peak(change), f"{method}, peak of tracemalloc"),
    ]


def _known(path: Path) -> tuple[ListUpdateQueue, dict[str, str]]:
    """A list that was told in full, but for its last entry."""
    listed = lines.read(path)
    intake = ListUpdateQueue()
    intake.replace_all(infos(listed[:-1]))
    while intake.next_update() is not None:
        pass
    return intake, {entry.name: entry.url for entry in listed}


def _yaml(path: Path, known: list[lines.Entry], point: Point) -> list[Measurement]:
    rows = [
        f"  - {{{', '.join(f'{key}: {value!r}' for key, value in _given(one).items())}}}" for one in known
    ]
    path.write_text("endpoints:\n" + "\n".join(rows) + "\n", encoding="utf-8")

    def change() -> None:
        load(path, EndpointList)

    method = "YAML, read and checked"
    return [
        Measurement(YAML_BYTES.name, point, float(path.stat().st_size), "size of the file"),
        Measurement(
            YAML_CPU.name,
            point,
            median_of(change, REPEATS),
            f"{method}, scaled process time, median of {REPEATS}",
        ),
        Measurement(YAML_MEMORY.name, point, _peak(change), f"{method}, peak of tracemalloc"),
    ]


def _packed(listed: Sequence[lines.Entry]) -> float:
    """Bytes of entries without the names of their fields."""
    rows = [msgspec.structs.astuple(entry) for entry in listed]
    return float(len(zlib.compress(msgspec.msgpack.encode(rows))))


def _given(entry: lines.Entry) -> dict[str, object]:
    """The fields that an operator writes."""
    return {
        name: value
        for name, value in msgspec.structs.asdict(entry).items()
        if value is not None and name != "state"
    }


def _peak(change: Callable[[], None]) -> float:
    """MB held at most while it runs, beyond what was held before."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    change()
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    return (peak - before) / 1e6
