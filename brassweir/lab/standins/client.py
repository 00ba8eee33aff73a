"""Stand-in clients: offices that hand in AS2 messages, keep deadlines and ask again as their class allows."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, replace

from cryptography import x509

from brassweir.as2 import mdn, mime
from brassweir.as2.errors import As2Error
from brassweir.as2.message import Identity
from brassweir.as2.sending import ClientAnswer, PreparedMessage, post, prepare_message, read_receipt
from brassweir.core.offload import Offload
from brassweir.core.ports import Payload
from brassweir.lab.judges.tape import Answered, HandIn, Tape
from brassweir.net.client import Address, CallFailed, HttpPool
from brassweir.net.limits import Limits
from brassweir.net.server import Request, Response, Server

GRACE = 2.0  # seconds that a client listens beyond the time it gave a message


@dataclass(frozen=True, slots=True)
class Order:
    """One message to hand in: when (seconds from the start), what, to whom, through which sender."""

    at: float
    payment: str
    class_name: str
    effect: str
    partner: str
    key: str
    left: float
    sender: int
    drops: bool = False  # the client drops its connection and asks again
    patience: float = 0.0  # seconds beyond its time for which it asks again after lost connections
    elsewhere: int | None = None  # a sender of another region, asked as well after no or a refusing answer


class Client:
    """One office. With ``receipt_port`` set by :meth:`listen` it takes asynchronous receipts."""

    def __init__(
        self,
        identity: Identity,
        hub: x509.Certificate,
        tape: Tape,
        offload: Offload,
        url_of: Callable[[int], str],
        name_of: Callable[[int], str],
    ) -> None:
        self.identity, self.hub, self.tape, self.offload = identity, hub, tape, offload
        self.url_of, self.name_of = url_of, name_of
        self.name = identity.as2_id
        self.pools: dict[str, HttpPool] = {}
        self.server: Server | None = None
        self.receipt_url = ""
        self.letters: dict[str, tuple[PreparedMessage, str]] = {}
        self.waiting: dict[str, asyncio.Future[ClientAnswer]] = {}

    async def listen(self) -> None:
        """Take asynchronous receipts."""
        self.server = Server(self._receipt, Limits())
        port = await self.server.listen("127.0.0.1", 0)
        self.receipt_url = f"http://127.0.0.1:{port}/receipts"

    def stop(self) -> None:
        """Close all."""
        for pool in self.pools.values():
            pool.close_idle()
        if self.server is not None:
            self.server.abort()

    async def hand_in(self, order: Order, start: float) -> str:
        """See one message through to its answer; ``start`` is the day's start in wall seconds."""
        await asyncio.sleep(max(0.0, start + order.at - time.time()))
        ident = f"<{order.payment}@{self.name.replace(' ', '-')}>"
        document = json.dumps({"payment": order.payment, "effect": order.effect}).encode()
        subject = f"{order.class_name} {order.payment}" + (f" key-{order.key}" if order.key else "")
        payload = Payload("application/json", document, subject)
        sent = await self.offload(
            lambda: prepare_message(
                self.identity,
                order.partner,
                self.hub,
                payload,
                ident,
                wait=order.left,
                receipt_url=self.receipt_url,
            )
        )
        self.letters[ident] = (sent, order.payment)
        begun = time.time()
        last = ""
        for attempt in range(8 if not order.patience else 100):
            left = begun + order.left - time.time()
            if attempt and left <= 1.0 and (last != "lost" or left <= -order.patience):
                break
            if attempt:  # each try gives only what is left of the message's own time
                sent = sent.with_time_left(left)
            until = begun + order.left + order.patience + GRACE
            last = await self._try(order, sent, ident, attempt, until)
            if last in ("lost", "refused", "dropped") and order.elsewhere is not None:
                there = await self._try(replace(order, sender=order.elsewhere), sent, ident, attempt, until)
                last = there if there != "refused" else last
            if last in ("delivered", "failed", "rejected"):
                return last
            if last == "refused" and time.time() > begun + order.left - 1.0:
                return last
        return last

    async def _try(self, order: Order, sent: PreparedMessage, ident: str, attempt: int, until: float) -> str:
        loop = asyncio.get_running_loop()
        url = self.url_of(order.sender)
        pool = self.pools.get(url)
        if pool is None:
            pool = self.pools[url] = HttpPool(Address.parse(url), Limits(), 400, 10_000.0, 1000.0)
        self.tape.add(
            HandIn(
                time.time(),
                self.name,
                self.name_of(order.sender),
                ident,
                order.payment,
                order.class_name,
                order.key,
                order.partner,
                attempt,
                order.left,
            )
        )

        def answered(told: ClientAnswer) -> str:
            self.tape.add(
                Answered(
                    time.time(),
                    self.name,
                    ident,
                    order.payment,
                    told.answer,
                    attempt,
                    told.retry_after,
                    False,
                    told.reason,
                )
            )
            return told.answer

        future: asyncio.Future[ClientAnswer] = loop.create_future()
        self.waiting[ident] = future
        deadline = loop.time() + until - time.time()
        try:
            if order.drops and attempt == 0:
                try:
                    async with asyncio.timeout(0.15):
                        return answered(await post(pool, sent, self.hub, deadline, self.offload))
                except TimeoutError:
                    answered(ClientAnswer("dropped"))
                    return "dropped"
            told = await post(pool, sent, self.hub, deadline, self.offload)
        except CallFailed as failed:
            answered(ClientAnswer("lost", str(failed)))
            await asyncio.sleep(0.3)
            return "lost"
        if told.answer == "accepted":
            answered(told)
            await asyncio.wait({future}, timeout=max(0.0, until - time.time()))
            return future.result().answer if future.done() else "unanswered"
        answered(told)
        if told.answer == "refused":
            await asyncio.sleep(min(told.retry_after + 0.05, max(0.0, until - GRACE - time.time())))
        return told.answer

    async def _receipt(self, request: Request) -> Response:
        entity = mime.of_http(request.headers.first("content-type"), "", request.body)
        try:
            got = await self.offload(lambda: mdn.parse(entity, [self.hub]))
        except As2Error:
            return Response(400)
        known = self.letters.get(got.original_message_id)
        if known is None:
            return Response(200)
        told = read_receipt(got, known[0])
        self.tape.add(
            Answered(
                time.time(),
                self.name,
                got.original_message_id,
                known[1],
                told.answer,
                -1,
                0.0,
                True,
                told.reason,
            )
        )
        future = self.waiting.get(got.original_message_id)
        if future is not None and not future.done():
            future.set_result(told)
        return Response(200)
