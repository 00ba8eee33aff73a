"""Routes, decodes and submits one chunk, and maps its final answer to a reply to the source."""

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
from brassweir.forward.decide.answers import Reply, ReplyAction
from brassweir.forward.decide.read_scheduler import ReadScheduler
from brassweir.forward.decide.rules import Body, Route, find_route
from brassweir.forward.errors import ForwardError
from brassweir.forward.message import Message
from brassweir.forward.ports import FrontLimits, FrontMetrics, Note, Source, Submits
from brassweir.interface import MessageClass
from brassweir.undelivered.item import UndeliveredItem

MAX_INLINE_BYTES = 16_384  # larger chunks are decoded in a worker thread
_UNASKED_PREFIX = "unasked"  # identity prefix of chunks without an id of their own


class ChunkDelivery:
    """Submits chunks to the engine. ``margin_ms`` is taken off each deadline, to leave time for the ack."""

    def __init__(
        self,
        classes: Mapping[str, MessageClass],
        destination_number_of: Callable[[str], int | None],
        engine: Submits,
        offload: Offload,
        note: Note,
        limits: FrontLimits,
        margin_ms: float,
        metrics: FrontMetrics,
        scheduler: ReadScheduler,
    ) -> None:
        self.classes, self.destination_number_of, self.engine, self.offload = (
            classes,
            destination_number_of,
            engine,
            offload,
        )
        self.note, self.limits, self.margin_ms, self.metrics, self.scheduler = (
            note,
            limits,
            margin_ms,
            metrics,
            scheduler,
        )
        self.key_order = KeyOrder()

    async def deliver(
        self, source: Source, received: Message, on_growth: Callable[[int], None]
    ) -> tuple[Reply, UndeliveredItem]:
        """Deliver a chunk; returns the reply to its source and the item to store if the reply says so.

        ``on_growth`` is called with the payload's size in bytes once the chunk is decoded. Raises
        ForwardError if the engine forgot a known chunk during the wait and the chunk cannot be decoded.
        """
        ack_requested = bool(received.chunk)
        identity = received.chunk or f"{_UNASKED_PREFIX}-{secrets.token_hex(12)}"
        route = find_route(source.rules, source.name, received.tag)
        destination_number = self.destination_number_of(route.destination) if route is not None else None
        unrouted_item = UndeliveredItem(
            source.name,
            identity,
            route.destination if route else "",
            route.class_name if route else "",
            received.tag,
            "",
            0.0,
            events.PACKED,
            received.data,
        )
        if not ack_requested and source.acks_required:
            return Reply(
                ReplyAction.CLOSE, "a chunk without an id, which could not be acknowledged"
            ), unrouted_item
        if route is None or destination_number is None:
            reason = f"no rule for the tag {received.tag[:200]!r}"
            if route is not None:
                reason = f"no destination {route.destination[:200]!r} is known"
            return answers.unrouted(reason, ack_requested), unrouted_item
        loop = asyncio.get_running_loop()
        message_class = self.classes[route.class_name]
        async with self.key_order.turn(route.key if message_class.in_order else "") as turn:
            payload: Payload | None = None
            # A chunk that the engine knows joins that message or gets its answer, so it is not decoded again.
            if not (ack_requested and self.engine.knows(source.name, identity)):
                try:
                    payload = await self._decode(received, route)
                except ForwardError as error:
                    return answers.unreadable(str(error)), unrouted_item
                on_growth(len(payload.content))
            await turn()
            if payload is None and not self.engine.knows(source.name, identity):
                payload = await self._decode(received, route)  # the engine forgot it during the wait
            answer_future: asyncio.Future[FinalAnswer] = loop.create_future()
            submitted_at = loop.time()
            submission = Submission(
                source.name,
                identity,
                route.class_name,
                destination_number,
                message_class.deadline - self.margin_ms,
                route.key,
                payload=payload,
            )
            self.engine.submit(submission, resolver(answer_future))
        answer = await answer_future
        reply = answers.final(answer, ack_requested)
        if reply.action is ReplyAction.ACK:
            now = loop.time()
            self.scheduler.delivered(
                source.name, (now - submitted_at) * 1000.0, message_class.aim, now * 1000.0
            )
        if reply.action is ReplyAction.STORE and payload is None:
            payload = await self._decode(received, route)
        undelivered_payload = payload or Payload(events.PACKED, received.data, received.tag)
        return reply, UndeliveredItem(
            source.name,
            identity,
            route.destination,
            route.class_name,
            received.tag,
            reply.reason,
            0.0,
            undelivered_payload.content_type,
            undelivered_payload.content,
        )

    async def _decode(self, received: Message, route: Route) -> Payload:
        """Decode and check a chunk, and return it in its route's format. Raises ForwardError."""

        def decode() -> tuple[Payload, int]:
            entries = received.entries(self.limits.unpacked_bytes)
            entry_events = events.unpack(entries, self.limits.max_entries)
            if route.body is Body.LINES:
                content, count = events.lines(received.tag, entry_events)
                payload = Payload(events.LINES, content, received.tag)
            else:
                count = sum(1 for _ in entry_events)
                payload = Payload(events.PACKED, entries, received.tag)
            if not count:
                raise ForwardError("a chunk without entries")
            return payload, count

        payload, count = await self.offload(decode) if len(received.data) > MAX_INLINE_BYTES else decode()
        if received.size is not None and received.size != count:
            self.note("forward_size", {"tag": received.tag[:200], "told": received.size, "counted": count})
        self.metrics.chunk_decoded(received.mode.value, count, len(received.data))
        return payload
