"""The AS2 front: clients' messages in, one final answer each, and partners' asynchronous receipts.

It parses, authenticates and limits; what becomes of a message is the engine's to say. How the three final
answers are told, and why so, is in docs/design-as2.md.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import replace
from typing import Any, Protocol

from brassweir.as2 import mdn, mime, partnership
from brassweir.as2.errors import As2Error, Modifier
from brassweir.as2.incoming_receipts import IncomingReceipts
from brassweir.as2.mdn import Asked, Disposition
from brassweir.as2.opening import Knows, Opener
from brassweir.as2.owed import Owed
from brassweir.as2.partnership import Client, Partnerships
from brassweir.as2.receipts import Receipts
from brassweir.as2.reply import Note, Reply, plain, turned_away
from brassweir.core.futures import resolver
from brassweir.core.key_order import KeyOrder
from brassweir.core.ledger import MessageRecord, SubmitStatus
from brassweir.core.offload import Offload
from brassweir.core.ports import Answer, FinalAnswer, Submission
from brassweir.net.headers import DuplicateHeader, Headers
from brassweir.net.server import Request, Response

MESSAGES, RECEIPTS = "/as2", "/as2/receipts"


class Submits(Knows, Protocol):
    """The engine, as far as a front sees it."""

    def submit(
        self, submission: Submission, waiter: Callable[[FinalAnswer], None]
    ) -> tuple[SubmitStatus, MessageRecord]:
        """Hand in a message."""

    def when_persisted(self, record: MessageRecord, keeper: Callable[[], None]) -> None:
        """Call ``keeper`` once a message is written down."""


class As2Front:
    """Answers HTTP requests of clients and partners.

    ``hold`` (ms) is how long an asynchronous client's post waits for an answer that comes at once: a refusal
    in that time is told by its status, and no receipt is owed. ``margin`` (ms) is kept of each message's time
    for the answer's own way. ``most`` bounds a decompressed message in bytes.
    """

    def __init__(
        self,
        book: Partnerships,
        engine: Submits,
        receipts: Receipts,
        owed: Owed,
        offload: Offload,
        note: Note,
        *,
        hold: float = 100.0,
        margin: float = 100.0,
        most: int = 50_000_000,
        told: Callable[[int], None] = lambda _: None,
    ) -> None:
        self.book, self.engine, self.owed = book, engine, owed
        self.offload, self.note, self.told = offload, note, told
        self.hold, self.margin = hold, margin
        self.lines = KeyOrder()
        self.opener = Opener(book, engine, offload, most)
        self.incoming = IncomingReceipts(book, receipts, offload, note)

    async def __call__(self, request: Request) -> Response:
        """Answer one request."""
        path = request.path.partition("?")[0]
        if path not in (MESSAGES, RECEIPTS):
            return plain(404, "nothing is served here")
        if request.method != "POST":
            return Response(405, Headers([("Allow", "POST")]), b"only POST\n")
        try:
            if path == RECEIPTS:
                return await self.incoming(request)
            return await self._message(request)
        except DuplicateHeader as error:
            return turned_away(self.note, request, 400, str(error))

    async def _message(self, request: Request) -> Response:
        headers = request.headers
        try:
            sender = mime.as2_name(headers.one("as2-from"))
            receiver = mime.as2_name(headers.one("as2-to"))
            ident = mime.message_id(headers.one("message-id"))
        except As2Error as error:
            return turned_away(self.note, request, 400, error.reason)
        try:
            client = self.book.client(sender, receiver)
        except As2Error as error:
            # No receipt: there is no agreement that says what its signature would be worth.
            return turned_away(self.note, request, 403, error.reason)
        try:
            asked = mdn.asked(
                headers.one("disposition-notification-to"),
                headers.one("disposition-notification-options"),
                headers.one("receipt-delivery-option"),
            )
        except As2Error as error:
            return await self._unacceptable(request, client, receiver, ident, Asked(True), error)
        try:
            mapped = partnership.mapped(client, self.book.classes, headers.one, time.time(), self.margin)
            # Messages of one key are handed to the engine in the order in which they came whole, however
            # long each takes to open.
            ordered = self.book.classes[mapped.class_name].in_order
            async with self.lines.turn(mapped.key if ordered else "") as turn:
                opened = await self.opener.open(request, client, asked, f"{receiver}\n{ident}")
                await turn()
                payload = replace(opened.payload, subject=headers.one("subject"))
                destination = self.book.number(receiver)
                assert destination is not None  # the partnership was found under this name
                submission = Submission(
                    sender,
                    f"{receiver}\n{ident}",
                    mapped.class_name,
                    destination,
                    mapped.left,
                    mapped.key,
                    payload=payload,
                    created_at=mapped.born,
                )
                answered: asyncio.Future[FinalAnswer] = asyncio.get_running_loop().create_future()
                receipt = Reply(
                    self.book, self.offload, client, receiver, ident, asked, opened.mic, opened.micalg
                )
                if asked.wanted and asked.delivery and client.receipt_url:
                    submission = replace(submission, reply_to=receipt.note())
                how, record = self.engine.submit(submission, resolver(answered))
        except As2Error as error:
            return await self._unacceptable(request, client, receiver, ident, asked, error)
        if asked.wanted and asked.delivery:
            return await self._later(request, receipt, answered, how, record)
        return await receipt.response(await answered)

    async def _unacceptable(
        self, request: Request, client: Client, receiver: str, ident: str, asked: Asked, error: As2Error
    ) -> Response:
        """A message that cannot be taken: the receipt says why, in the protocol's own words."""
        self.note(
            "unacceptable",
            {
                "peer": request.peer,
                "as2_from": client.as2_id,
                "message_id": ident,
                "modifier": error.modifier.value,
                "reason": error.reason,
            },
        )
        if not asked.wanted:
            return plain(400, error.reason)
        receipt = Reply(self.book, self.offload, client, receiver, ident, asked)
        disposition = Disposition("processed", "error", error.modifier.value)
        if error.modifier in (Modifier.FORMAT, Modifier.MIC):
            disposition = Disposition("failed", "failure", error.modifier.value)
        content = await receipt.build(disposition, f"Not taken: {error.reason}.")
        if asked.delivery and client.receipt_url:
            self.owed.owe(client.receipt_url, content)
            return Response(202)
        return content

    async def _later(
        self,
        request: Request,
        receipt: Reply,
        answered: asyncio.Future[FinalAnswer],
        how: SubmitStatus,
        record: MessageRecord,
    ) -> Response:
        """An asynchronous client: a refusal at once is told by status, all else by a receipt."""
        if not receipt.client.receipt_url:
            return turned_away(self.note, request, 403, "no receipt URL is agreed for this client")
        await asyncio.wait({answered}, timeout=self.hold / 1000.0)
        if answered.done() and answered.result().answer is Answer.REFUSED:
            self.told(record.id)  # by this status: no receipt is owed for it any more
            return await receipt.response(answered.result())
        if how is not SubmitStatus.JOINED:  # one that joined is answered by the receipt already owed
            self.owed.when_ready(self._owe(receipt, answered, record.id))
        # A 202 is a promise: not before the message is written down.
        kept: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.engine.when_persisted(record, lambda: None if kept.done() else kept.set_result(None))
        either: set[asyncio.Future[Any]] = {answered, kept}
        await asyncio.wait(either, return_when=asyncio.FIRST_COMPLETED)
        return Response(202)

    async def _owe(self, receipt: Reply, answered: asyncio.Future[FinalAnswer], message: int) -> None:
        content = await receipt.response(await answered, by_receipt=True)
        self.owed.owe(receipt.client.receipt_url, content, lambda: self.told(message))

    def owing(self, message: int, submission: Submission) -> Callable[[FinalAnswer], None] | None:
        """Who waits for the answer of a message from before a restart: its client's receipt URL, if it has
        one still."""
        receipt = Reply.noted(self.book, self.offload, submission)
        if receipt is None:
            self.note("receipt_dropped", {"message": message, "reason": "its client takes none any more"})
            return None
        answered: asyncio.Future[FinalAnswer] = asyncio.get_running_loop().create_future()
        self.owed.when_ready(self._owe(receipt, answered, message))
        return resolver(answered)
