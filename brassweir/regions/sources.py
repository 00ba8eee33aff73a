"""The two sources of epochs, head office's file and the agreed log, and which of them may publish. Pure.

The field ``turn`` of an epoch counts hand-overs of the right to publish. When it is even, the file publishes
the next epoch; when it is odd, the log does. A hand-over is itself an epoch, the last of its source, and
changes only ``turn``. A copy that has accepted a hand-over accepts nothing more from the old source, also
after a restart, so the copy never follows both sources. This suffices because each source orders its own
epochs, and an epoch of the new source must pass ``check_follows`` against the last one of the old.
"""

from __future__ import annotations

from enum import Enum

from brassweir.regions.epochs import Epoch, EpochError


class Source(Enum):
    """A source of epochs."""

    FILE = "file"
    AGREED = "agreed"


def publisher(epoch: Epoch) -> Source:
    """The source that publishes the epoch after this one."""
    return Source.AGREED if epoch.turn % 2 else Source.FILE


def check_source(source: Source, newer: Epoch, known: Epoch | None) -> None:
    """Raise EpochError unless ``newer`` may come from this source, given the epoch known so far."""
    if known is not None and newer.turn < known.turn:
        raise EpochError(
            f"epoch {newer.number} is of turn {newer.turn}, and {known.turn} was reached: its "
            "source has handed over"
        )
    if publisher(newer) is source:
        return
    if known is None or publisher(known) is not source or newer.turn != known.turn + 1:
        raise EpochError(
            f"epoch {newer.number} is the {publisher(newer).value}'s to publish (turn "
            f"{newer.turn}), and came by the {source.value}"
        )
    if newer.grants != known.grants or newer.past != known.past:
        raise EpochError(f"epoch {newer.number} hands over and changes grants: it may do one only")
