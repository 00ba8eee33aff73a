"""The baseline of the configuration proof: whole lists sent to each sender, beside differences."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from time import process_time

import msgspec

from brassweir.agreed.commands import decode_result
from brassweir.configstream import delta
from brassweir.configstream.catalog import Catalog
from brassweir.configstream.entries import Entry
from brassweir.configstream.machine import ConfiguredMachine
from brassweir.configstream.publish_plan import make_plan
from brassweir.lab.models.configfounding import Founding
from brassweir.lab.models.configjudge import List

CHANGES_A_DAY = 1_200
DAY = 86_400.0  # s


class Way(msgspec.Struct, frozen=True):
    """What one way of telling a sender of changes costs it, for each change and at 1,200 changes a day."""

    name: str
    bytes: float  # a change
    cpu: float  # ms a change
    bytes_s: float
    core: float  # share of a core


def way(name: str, size: float, cpu: float) -> Way:
    """From bytes and ms a change."""
    return Way(name, size, cpu, size * CHANGES_A_DAY / DAY, cpu / 1_000.0 * CHANGES_A_DAY / DAY)


class _Line(msgspec.Struct):
    """An entry as a line of a list file states it."""

    name: str
    url: str
    destination: str = ""
    partner: str = ""
    kind: str = ""
    zone: str = ""
    state: str = "ready"
    rate: float = 0.0


def json_lines(entries: List) -> bytes:
    """The list as a file of JSON lines, with all that is not a default."""
    lines = (
        {
            key: value
            for key, value in zip(Entry.__struct_fields__, msgspec.structs.astuple(one), strict=True)
            if value
        }
        for one in entries.values()
    )
    return msgspec.json.Encoder().encode_lines(lines)


_lines = msgspec.json.Decoder(_Line)


def read_lines(data: bytes) -> list[Entry]:
    """Entries of such a file."""
    return [Entry(*msgspec.structs.astuple(line)) for line in _lines.decode_lines(data)]


def timed(work: Callable[[], object]) -> float:
    """Ms of CPU that it takes."""
    begun = process_time()
    work()
    return (process_time() - begun) * 1_000.0


def compare(founding: Founding, lists: Sequence[List]) -> list[Way]:
    """The ways, over the same changes: each sender gets each list, or the commands of its differences."""
    machine = ConfiguredMachine()
    machine.restore(msgspec.msgpack.decode(founding.snapshot.state, type=tuple[object, bytes])[1])
    lines_size = lines_cpu = packed_size = packed_cpu = delta_size = delta_cpu = 0.0
    index = founding.index
    for entries in lists:
        before = machine.configuration.catalog
        lines = json_lines(entries)
        lines_size += len(lines)
        lines_cpu += timed(lambda data=lines, old=before: delta.diff_entries(old, read_lines(data)))  # type: ignore[misc]
        version = machine.configuration.version
        made = make_plan(version, before, entries.values(), "c4")
        assert made is not None
        for command in (*made.stage_commands, made.final_command):
            index += 1
            delta_size += len(command)
            delta_cpu += timed(lambda at=index, one=command: apply(machine, at, one))  # type: ignore[misc]
        delta_cpu += timed(lambda since=version: machine.changes_since(since))  # type: ignore[misc]
        packed = machine.configuration.catalog.pack()
        packed_size += len(packed)
        packed_cpu += timed(lambda data=packed, old=before: delta.diff_catalogs(old, Catalog.unpack(data)))  # type: ignore[misc]
    count = len(lists)
    return [
        way("whole list, JSON lines", lines_size / count, lines_cpu / count),
        way("whole list, packed", packed_size / count, packed_cpu / count),
        way("differences", delta_size / count, delta_cpu / count),
    ]


def apply(machine: ConfiguredMachine, index: int, command: bytes) -> None:
    """Carry a command out, which must be accepted."""
    came = decode_result(machine.apply(index, command))
    if not came.ok:
        raise AssertionError(f"{came.field}: {came.why}")
