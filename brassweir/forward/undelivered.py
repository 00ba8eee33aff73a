"""What a source is told of a chunk that nobody took: kept for the operator, or left with its source."""

from __future__ import annotations

import time

from brassweir.forward.decide import answers
from brassweir.forward.decide.answers import Tell, Told
from brassweir.forward.ports import Counts, Keeps, Note
from brassweir.undelivered.item import UndeliveredItem


class UndeliveredChunks:
    """Keeps chunks by ``keeps``, and says so."""

    def __init__(self, keeps: Keeps, note: Note, counts: Counts) -> None:
        self.keeps, self.note, self.counts = keeps, note, counts

    async def keep(self, told: Told, item: UndeliveredItem, asked: bool) -> Told:
        """Keep a chunk for the operator; where that fails its source keeps it, if it can."""
        kept = UndeliveredItem(
            item.owner,
            item.identity,
            item.destination,
            item.class_name,
            item.label,
            told.reason,
            time.time() * 1000.0,
            item.content_type,
            item.content,
        )
        try:
            await self.keeps(kept)
        except OSError as error:
            self.note(
                "not_kept",
                {
                    "source": item.owner,
                    "chunk": item.identity,
                    "reason": told.reason,
                    "error": str(error),
                    "lost": not asked,
                },
            )
            return Told(Tell.CLOSE, f"{told.reason}; and not kept: {error}", answers.MISPLACED)
        self.note(
            "kept",
            {
                "source": item.owner,
                "chunk": item.identity,
                "destination": item.destination,
                "reason": told.reason,
            },
        )
        self.counts.told("kept")
        return told
