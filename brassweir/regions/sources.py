"""The two sources of epochs, head office's file and the agreed log, and which of them publishes. Pure.

An epoch's publication term, its field ``turn``, counts hand-overs: even, and the file publishes the next
epoch; odd, and the log does. A hand-over is itself an epoch, the last of its source: it changes no grant,
only the term. Whoever has taken it takes nothing from the old source any more, across restarts too, so that
never both are followed. Why that is enough: each source has one order of its epochs, and what a copy took
of the old one binds the new one by ``follows``, as any older epoch does.
"""

from __future__ import annotations

from enum import Enum

from brassweir.regions.epochs import Epoch, EpochError


class Source(Enum):
    """Where epochs come from."""

    FILE = "file"
    AGREED = "agreed"


def publisher(epoch: Epoch) -> Source:
    """Who publishes what comes after this epoch."""
    return Source.AGREED if epoch.turn % 2 else Source.FILE


def check_source(source: Source, newer: Epoch, known: Epoch | None) -> None:
    """Raise EpochError unless ``newer`` may come from this source, after what is known."""
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
