"""The AS2 front: clients' messages in, one final answer each, and partners' asynchronous receipts.

It parses, authenticates and limits; what becomes of a message is the engine's to say. How the three final
answers are told, and why so, is in docs/design-as2.md.
"""

from __future__ import annotations

import asyncio
import hashlib
import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import replace
from email.utils import formatdate
from math import ceil
from typing import Any, Protocol

import msgspec

from brassweir.as2 import mdn, message, mime, partnership
from brassweir.as2.errors import As2Error, Modifier
from brassweir.as2.mdn import Asked, Disposition, Mdn
from brassweir.as2.owed import Owed
from brassweir.as2.partnership import Client, Partnerships, valid_now
from brassweir.as2.receipts import Receipts, Verdict
from brassweir.core.ledger import Record, Taken
from brassweir.core.lines import Lines
from brassweir.core.offload import Offload
from brassweir.core.ports import Answer, FinalAnswer, Submission
from brassweir.net.headers import DuplicateHeader, Headers
from brassweir.net.server import Request, Response

Note = Callable[[str, dict[str, object]], None]
MESSAGES, RECEIPTS = "/as2", "/as2/receipts"
_MOST_KNOWN = 20_000  # messages whose bytes need not be opened again when they come again


class Submits(Protocol):
    """The engine, as far as a front sees it."""

    def submit(self, submission: Submission, waiter: Callable[[FinalAnswer], None]) -> tuple[Taken, Record]:
        """Hand in a message."""

    def whole(self, record: Record, keeper: Callable[[], None]) -> None:
        """Call ``keeper`` once a message is written down."""

    def knows(self, owner: str, identity: str) -> bool:
        """Would a hand-in join a message, or be told its answer, so that its content is not asked for?"""


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
        self.book, self.engine, self.receipts, self.owed = book, engine, receipts, owed
        self.offload, self.note, self.told = offload, note, told
        self.hold, self.margin, self.most = hold, margin, most
        self.lines = Lines()
        self.known: OrderedDict[tuple[str, str, bytes], message.Received] = OrderedDict()

    async def __call__(self, request: Request) -> Response:
        """Answer one request."""
        path = request.path.partition("?")[0]
        if path not in (MESSAGES, RECEIPTS):
            return _plain(404, "nothing is served here")
        if request.method != "POST":
            return Response(405, Headers([("Allow", "POST")]), b"only POST\n")
        try:
            if path == RECEIPTS:
                return await self._receipt(request)
            return await self._message(request)
        except DuplicateHeader as error:
            return self._turned_away(request, 400, str(error))

    def _turned_away(self, request: Request, status: int, reason: str) -> Response:
        self.note(
            "turned_away",
            {
                "peer": request.peer,
                "status": status,
                "reason": reason,
                "as2_from": request.headers.first("as2-from")[:128],
            },
        )
        return _plain(status, reason)

    # ---- messages

    async def _message(self, request: Request) -> Response:
        headers = request.headers
        try:
            sender = mime.as2_name(headers.one("as2-from"))
            receiver = mime.as2_name(headers.one("as2-to"))
            ident = mime.message_id(headers.one("message-id"))
        except As2Error as error:
            return self._turned_away(request, 400, error.reason)
        try:
            client = self.book.client(sender, receiver)
        except As2Error as error:
            # No receipt: there is no agreement that says what its signature would be worth.
            return self._turned_away(request, 403, error.reason)
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
                opened = await self._open(request, client, asked, f"{receiver}\n{ident}")
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
                    born=mapped.born,
                )
                answered: asyncio.Future[FinalAnswer] = asyncio.get_running_loop().create_future()
                receipt = _Receipt(self, client, receiver, ident, asked, opened.mic, opened.micalg)
                if asked.wanted and asked.delivery and client.receipt_url:
                    submission = replace(submission, reply=receipt.note())
                how, record = self.engine.submit(submission, _setter(answered))
        except As2Error as error:
            return await self._unacceptable(request, client, receiver, ident, asked, error)
        if asked.wanted and asked.delivery:
            return await self._later(request, receipt, answered, how, record)
        return await receipt.response(await answered)

    async def _open(self, request: Request, client: Client, asked: Asked, identity: str) -> message.Received:
        """Unwrap and check a message; bytes that were opened before are not opened again for an answer."""
        headers = request.headers
        digest = hashlib.sha256(request.body).digest()
        name = (client.as2_id, headers.one("content-type"), digest)
        known = self.known.get(name)
        if known is not None and self.engine.knows(client.as2_id, identity):
            self.known.move_to_end(name)
            return known

        def work() -> message.Received:
            trusted = valid_now(client.certificates, time.time())
            if client.signed and not trusted:
                raise As2Error(Modifier.AUTHENTICATION, f"no certificate of {client.as2_id} is valid now")
            entity = mime.of_http(
                headers.one("content-type"), headers.one("content-transfer-encoding"), request.body
            )
            got = message.read(
                entity, self.book.ours, trusted, most=self.most, legacy=client.legacy, digest=asked.micalg
            )
            partnership.secure_enough(client, got)
            return got

        received = await self.offload(work)
        # The document is the ledger's to hold, and taken from the request again where a refused message
        # is handed in anew: here only what a repeated receipt needs.
        kept = replace(received, payload=replace(received.payload, content=b""))
        self.known[name] = kept
        while len(self.known) > _MOST_KNOWN:
            self.known.popitem(last=False)
        return received

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
            return _plain(400, error.reason)
        receipt = _Receipt(self, client, receiver, ident, asked)
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
        receipt: _Receipt,
        answered: asyncio.Future[FinalAnswer],
        how: Taken,
        record: Record,
    ) -> Response:
        """An asynchronous client: a refusal at once is told by status, all else by a receipt."""
        if not receipt.client.receipt_url:
            return self._turned_away(request, 403, "no receipt URL is agreed for this client")
        await asyncio.wait({answered}, timeout=self.hold / 1000.0)
        if answered.done() and answered.result().answer is Answer.REFUSED:
            self.told(record.id)  # by this status: no receipt is owed for it any more
            return await receipt.response(answered.result())
        if how is not Taken.JOINED:  # one that joined is answered by the receipt already owed
            self.owed.when_ready(self._owe(receipt, answered, record.id))
        # A 202 is a promise: not before the message is written down.
        kept: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.engine.whole(record, lambda: None if kept.done() else kept.set_result(None))
        either: set[asyncio.Future[Any]] = {answered, kept}
        await asyncio.wait(either, return_when=asyncio.FIRST_COMPLETED)
        return Response(202)

    async def _owe(self, receipt: _Receipt, answered: asyncio.Future[FinalAnswer], message: int) -> None:
        content = await receipt.response(await answered, by_receipt=True)
        self.owed.owe(receipt.client.receipt_url, content, lambda: self.told(message))

    def owing(self, message: int, submission: Submission) -> Callable[[FinalAnswer], None] | None:
        """Who waits for the answer of a message from before a restart: its client's receipt URL, if it has
        one still."""
        receipt = _Receipt.noted(self, submission)
        if receipt is None:
            self.note("receipt_dropped", {"message": message, "reason": "its client takes none any more"})
            return None
        answered: asyncio.Future[FinalAnswer] = asyncio.get_running_loop().create_future()
        self.owed.when_ready(self._owe(receipt, answered, message))
        return _setter(answered)

    # ---- receipts from partners

    async def _receipt(self, request: Request) -> Response:
        headers = request.headers
        try:
            sender = mime.as2_name(headers.one("as2-from"))
            partner = self.book.partners.get(sender)
            if partner is None:
                return self._turned_away(request, 403, f"no partnership with {sender!r}")
            entity = mime.of_http(
                headers.one("content-type"), headers.one("content-transfer-encoding"), request.body
            )
            trusted = valid_now(partner.certificates, time.time())
            got = await self.offload(lambda: mdn.parse(entity, trusted, legacy=partner.legacy))
        except As2Error as error:
            return self._turned_away(request, 400, error.reason)
        if partner.signed_receipt and got.signer is None:
            return self._turned_away(request, 403, "the receipt is not signed")
        verdict = self.receipts.came(sender, got)
        if verdict is not Verdict.DUE:
            self.note(
                "stray_receipt",
                {
                    "verdict": verdict.name.lower(),
                    "partner": sender,
                    "original": got.original_message_id[:200],
                    "disposition": str(got.disposition),
                },
            )
        if verdict is Verdict.WRONG_PARTNER:
            return _plain(403, "this receipt is not yours to give")
        return Response(200)  # also for stray ones: bringing them again would change nothing


class _Receipt:
    """Builds what one client is told of one message."""

    def __init__(
        self,
        front: As2Front,
        client: Client,
        receiver: str,
        ident: str,
        asked: Asked,
        mic: str = "",
        micalg: str = "",
    ) -> None:
        self.front, self.client, self.receiver = front, client, receiver
        self.ident, self.asked, self.mic, self.micalg = ident, asked, mic, micalg

    def note(self) -> bytes:
        """What is needed to make it again after a restart."""
        return msgspec.msgpack.encode(
            (self.receiver, self.ident, self.asked.signed, self.asked.micalgs, self.mic, self.micalg)
        )

    @staticmethod
    def noted(front: As2Front, submission: Submission) -> _Receipt | None:
        """The receipt of a message from before a restart; None if its client has no URL for it any more."""
        client = front.book.clients.get(submission.owner)
        if client is None or not client.receipt_url:
            return None
        receiver, ident, signed, micalgs, mic, micalg = msgspec.msgpack.decode(
            submission.reply, type=tuple[str, str, bool, tuple[str, ...], str, str]
        )
        return _Receipt(front, client, receiver, ident, Asked(True, signed, micalgs, "noted"), mic, micalg)

    async def response(self, answer: FinalAnswer, by_receipt: bool = False) -> Response:
        """The answer as HTTP; ``by_receipt`` where it goes alone, without the post to carry a status."""
        seconds = max(1, ceil(answer.retry_after / 1000.0))
        if answer.answer is Answer.DELIVERED:
            if not self.asked.wanted:
                return Response(200)
            return await self.build(Disposition(), "The message was delivered.")
        if answer.answer is Answer.REFUSED:
            words = f"Refused: {answer.reason}. A later try is harmless. Send it again after {seconds} s."
            if by_receipt:
                return await self.build(Disposition("processed", "error", Modifier.UNEXPECTED.value), words)
            return Response(
                503,
                Headers([("Retry-After", str(seconds)), ("Content-Type", "text/plain")]),
                words.encode("ascii", "replace") + b"\n",
            )
        words = (
            f"Failed: {answer.reason}. Whether it took effect is not known. Do not send it as a new message."
        )
        if not self.asked.wanted:
            return _plain(422, words)
        return await self.build(Disposition("processed", "error", Modifier.UNEXPECTED.value), words)

    async def build(self, disposition: Disposition, words: str) -> Response:
        """A receipt as an HTTP message, signed if that was asked."""
        ours = self.front.book.ours
        receipt = Mdn(self.ident, disposition, self.mic, self.micalg, self.receiver, self.receiver, words)
        sign = self.asked.micalg if self.asked.signed else ""
        content_type, body = await self.front.offload(lambda: mdn.build(receipt, ours, sign))
        headers = Headers()
        headers.add("AS2-Version", "1.2")
        headers.add("AS2-From", mime.shown_name(self.receiver))
        headers.add("AS2-To", mime.shown_name(self.client.as2_id))
        headers.add(
            "Message-ID", partnership.onward_id("receipt", f"{self.client.as2_id}\n{self.ident}", ours.as2_id)
        )
        headers.add("Date", formatdate(usegmt=True))
        headers.add("MIME-Version", "1.0")
        headers.add("Content-Type", content_type)
        return Response(200, Headers([pair for pair in headers if pair[0] != "Date"]), body)


def _setter(answered: asyncio.Future[FinalAnswer]) -> Callable[[FinalAnswer], None]:
    def waiter(answer: FinalAnswer) -> None:
        if not answered.done():
            answered.set_result(answer)

    return waiter


def _plain(status: int, reason: str) -> Response:
    return Response(
        status, Headers([("Content-Type", "text/plain")]), (reason + "\n").encode("ascii", "replace")
    )
