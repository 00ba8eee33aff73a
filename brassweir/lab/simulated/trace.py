"""A record of decisions: facts in, actions out, turn by turn; and the same facts given to another module.

Needs the decision module and its interface alone, so that an older checkout's module can be fed by this
file. A trace is a stream of msgpack values: a header (version, settings, seed, start), then one value a turn
(time, events, actions).
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, fields, is_dataclass
from enum import Enum
from pathlib import Path
from typing import Any

import msgspec
from msgpack import Unpacker

from brassweir import interface as api
from brassweir.control import Sender

VERSION = 1
_encode = msgspec.msgpack.Encoder().encode

# Names in trace files of classes that the interface now calls otherwise.
_FILE_NAMES = {
    "EntryState": "State",
    "DestinationKind": "Kind",
    "ListUpdate": "ListNews",
    "PastAttempt": "Past",
    "StopScheduled": "Leaving",
}
_CLASS_NAMES = {old: new for new, old in _FILE_NAMES.items()}


def flat(value: Any) -> Any:
    """A value of the interface as plain lists: ["Name", fields in order], ["=Enum", value], ["()", items]."""
    if is_dataclass(value) and not isinstance(value, type):
        name = type(value).__name__
        return [_FILE_NAMES.get(name, name), *(flat(getattr(value, one.name)) for one in fields(value))]
    if isinstance(value, Enum):
        name = type(value).__name__
        return ["=" + _FILE_NAMES.get(name, name), value.value]
    if isinstance(value, tuple | list):
        return ["()", *(flat(one) for one in value)]
    return value


def whole(tree: Any) -> Any:
    """Back from :func:`flat`. Raises ValueError for what the interface does not know.

    Fields that this interface has and the trace lacks keep their defaults; more than it knows is an error.
    """
    if not isinstance(tree, list):
        return tree
    name, *values = tree
    if name == "()":
        return tuple(whole(one) for one in values)
    bare = name.removeprefix("=")
    known = getattr(api, _CLASS_NAMES.get(bare, bare), None) or getattr(api, bare, None)  # older checkouts
    if known is None:
        raise ValueError(f"this interface knows no {name!r}")
    if name.startswith("="):
        return known(values[0])
    if len(values) > len(fields(known)):
        raise ValueError(f"{name} has {len(values)} fields, this interface knows {len(fields(known))}")
    return known(*(whole(one) for one in values))


class Recorder:
    """Writes a trace of one engine's life. ``most`` bounds the file in bytes; what is over is not written."""

    def __init__(
        self, path: Path, settings: api.Settings, seed: int, now: float, most: int = 1 << 30
    ) -> None:
        self.file = path.open("wb")
        self.size, self.most = 0, most
        self._write([VERSION, flat(settings), seed, now])

    def turn(self, now: float, events: Iterable[api.Event], actions: Iterable[api.Action]) -> None:
        """One call of the module."""
        if self.size < self.most:
            self._write([now, [flat(one) for one in events], [flat(one) for one in actions]])

    def _write(self, tree: Any) -> None:
        data = _encode(tree)
        self.size += len(data)
        self.file.write(data)

    def close(self) -> None:
        """End it."""
        self.file.close()


@dataclass(frozen=True, slots=True)
class Turn:
    """One call."""

    now: float
    events: list[api.Event]
    actions: list[Any]  # flat


def read(path: Path) -> tuple[api.Settings, int, float, Iterator[Turn]]:
    """A trace: settings, seed, start, and its turns as they are read. Raises ValueError, OSError."""
    file = path.open("rb")
    values = iter(Unpacker(file, max_buffer_size=1 << 31, strict_map_key=False))
    try:
        version, settings, seed, start = next(values)
    except (StopIteration, ValueError, TypeError):
        raise ValueError(f"{path}: no trace") from None
    if version != VERSION:
        raise ValueError(f"{path}: a trace of version {version}, this reads {VERSION}")

    def turns() -> Iterator[Turn]:
        with file:
            for now, events, actions in values:
                yield Turn(now, [whole(one) for one in events], actions)

    return whole(settings), seed, start, turns()


@dataclass(frozen=True, slots=True)
class Difference:
    """The first turn whose actions differ."""

    turn: int
    now: float
    events: list[Any]
    recorded: list[Any]
    retraced: list[Any]


@dataclass(frozen=True, slots=True)
class Retraced:
    """What feeding a trace came to."""

    turns: int
    events: int
    difference: Difference | None

    def tree(self) -> dict[str, Any]:
        """It as plain values, for JSON."""
        one = self.difference
        return {
            "turns": self.turns,
            "events": self.events,
            "difference": None
            if one is None
            else {
                "turn": one.turn,
                "now_ms": one.now,
                "events": one.events,
                "recorded": one.recorded,
                "retraced": one.retraced,
            },
        }


def retrace(path: Path, make: Callable[[api.Settings, int, float], Any] = Sender) -> Retraced:
    """Feed a trace to a module until its actions differ. Raises ValueError, OSError."""
    settings, seed, start, turns = read(path)
    sender = make(settings, seed, start)
    count = total = 0
    for turn in turns:
        actions = [flat(one) for one in sender.handle(turn.now, turn.events)]
        if actions != turn.actions:
            return Retraced(
                count,
                total,
                Difference(count, turn.now, [flat(one) for one in turn.events], turn.actions, actions),
            )
        count += 1
        total += len(turn.events)
    return Retraced(count, total, None)
