"""One chunk from its source to the final answer: where it goes, what it holds, what its source is told."""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable, Mapping

from brassweir.core.futures import resolver
from brassweir.core.key_order import KeyOrder
from brassweir.core.offload import Offload
from brassweir.core.ports import FinalAnswer, Payload, Submission
from brassweir.forward import events
from brassweir.forward.decide import answers
from brassweir.forward.decide.answers import Tell, Told
from brassweir.forward.decide.rules import Body, Placed, place
from brassweir.forward.decide.turns import Turns
from brassweir.forward.errors import ForwardError
from brassweir.forward.message import Message
from brassweir.forward.ports import Bounds, Counts, Note, Source, Submits
from brassweir.interface import MessageClass
from brassweir.undelivered.item import UndeliveredItem

INLINE = 16_384  # bytes: what is unpacked in less time than a thread takes to hear of it
_OWN = "unasked"  # names of chunks whose sources ask for no ack


class ChunkDelivery:
    """Hands chunks to the engine. ``margin`` (ms) is kept of each one's time for the ack's own way."""

    def __init__(
        self,
        classes: Mapping[str, MessageClass],
        number_of: Callable[[str], int | None],
        engine: Submits,
        offload: Offload,
        note: Note,
        bounds: Bounds,
        margin: float,
        counts: Counts,
        turns: Turns,
    ) -> None:
        self.classes, self.number_of, self.engine, self.offload = classes, number_of, engine, offload
        self.note, self.bounds, self.margin, self.counts, self.turns = note, bounds, margin, counts, turns
        self.lines = KeyOrder()

    async def deliver(
        self, source: Source, given: Message, grew: Callable[[int], None]
    ) -> tuple[Told, UndeliveredItem]:
        """What its source is to be told, and what is kept if need be. ``grew`` hears its size once open."""
        asked = bool(given.chunk)
        identity = given.chunk or f"{_OWN}-{secrets.token_hex(12)}"
        placed = place(source.rules, source.name, given.tag)
        number = self.number_of(placed.destination) if placed is not None else None
        nowhere = UndeliveredItem(
            source.name,
            identity,
            placed.destination if placed else "",
            placed.class_name if placed else "",
            given.tag,
            "",
            0.0,
            events.PACKED,
            given.data,
        )
        if not asked and source.acks_required:
            return Told(Tell.CLOSE, "a chunk without an id, which could not be acknowledged"), nowhere
        if placed is None or number is None:
            reason = f"no rule for the tag {given.tag[:200]!r}"
            if placed is not None:
                reason = f"no destination {placed.destination[:200]!r} is known"
            return answers.misplaced(reason, asked), nowhere
        loop = asyncio.get_running_loop()
        cls = self.classes[placed.class_name]
        async with self.lines.turn(placed.key if cls.in_order else "") as turn:
            payload: Payload | None = None
            # What is known already joins, or is told its answer: its entries are not looked at again.
            if not (asked and self.engine.knows(source.name, identity)):
                try:
                    payload = await self._opened(given, placed)
                except ForwardError as error:
                    return answers.unreadable(str(error)), nowhere
                grew(len(payload.content))
            await turn()
            if payload is None and not self.engine.knows(source.name, identity):
                payload = await self._opened(given, placed)  # forgotten while it stood in line
            answered: asyncio.Future[FinalAnswer] = loop.create_future()
            taken = loop.time()
            submission = Submission(
                source.name,
                identity,
                placed.class_name,
                number,
                cls.deadline - self.margin,
                placed.key,
                payload=payload,
            )
            self.engine.submit(submission, resolver(answered))
        answer = await answered
        told = answers.final(answer, asked)
        if told.tell is Tell.ACK:
            now = loop.time()
            self.turns.delivered(source.name, (now - taken) * 1000.0, cls.aim, now * 1000.0)
        if told.tell is Tell.KEEP and payload is None:
            payload = await self._opened(given, placed)
        kept = payload or Payload(events.PACKED, given.data, given.tag)
        return told, UndeliveredItem(
            source.name,
            identity,
            placed.destination,
            placed.class_name,
            given.tag,
            told.reason,
            0.0,
            kept.content_type,
            kept.content,
        )

    async def _opened(self, given: Message, placed: Placed) -> Payload:
        """The chunk in the form that it goes on in. Raises ForwardError."""

        def work() -> tuple[Payload, int]:
            entries = given.entries(self.bounds.unpacked)
            found = events.unpack(entries, self.bounds.entries)
            if placed.body is Body.LINES:
                content, count = events.lines(given.tag, found)
                payload = Payload(events.LINES, content, given.tag)
            else:
                count = sum(1 for _ in found)
                payload = Payload(events.PACKED, entries, given.tag)
            if not count:
                raise ForwardError("a chunk without entries")
            return payload, count

        payload, count = await self.offload(work) if len(given.data) > INLINE else work()
        if given.size is not None and given.size != count:
            self.note("forward_size", {"tag": given.tag[:200], "told": given.size, "counted": count})
        self.counts.chunk(given.mode.value, count, len(given.data))
        return payload
