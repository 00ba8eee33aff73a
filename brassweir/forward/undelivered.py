"""Stores chunks that cannot be delivered, or leaves them with their source if that fails."""

from __future__ import annotations

import time

from brassweir.forward.decide import answers
from brassweir.forward.decide.answers import Reply, ReplyAction
from brassweir.forward.ports import FrontMetrics, Note, SaveUndelivered
from brassweir.undelivered.item import UndeliveredItem


class UndeliveredChunks:
    """Stores chunks by ``save_undelivered``, and logs and counts each."""

    def __init__(self, save_undelivered: SaveUndelivered, note: Note, metrics: FrontMetrics) -> None:
        self.save_undelivered, self.note, self.metrics = save_undelivered, note, metrics

    async def keep(self, reply: Reply, item: UndeliveredItem, ack_requested: bool) -> Reply:
        """Store a chunk for the operator; returns the reply to the source.

        If storing fails, the reply closes the connection, so that a source that wants acks sends the chunk
        again; without ``ack_requested`` the chunk is lost.
        """
        stored_item = UndeliveredItem(
            item.owner,
            item.identity,
            item.destination,
            item.class_name,
            item.label,
            reply.reason,
            time.time() * 1000.0,
            item.content_type,
            item.content,
        )
        try:
            await self.save_undelivered(stored_item)
        except OSError as error:
            self.note(
                "not_kept",
                {
                    "source": item.owner,
                    "chunk": item.identity,
                    "reason": reply.reason,
                    "error": str(error),
                    "lost": not ack_requested,
                },
            )
            return Reply(
                ReplyAction.CLOSE, f"{reply.reason}; and not kept: {error}", answers.UNROUTED_PAUSE_MS
            )
        self.note(
            "kept",
            {
                "source": item.owner,
                "chunk": item.identity,
                "destination": item.destination,
                "reason": reply.reason,
            },
        )
        self.metrics.replied("kept")
        return reply
