"""HTTP server side of AS2: takes clients' messages and partners' asynchronous receipts.

It parses, authenticates and limits requests and submits messages to the engine, which decides each message's
final answer. How the three final answers are sent to clients is described in docs/design-as2.md.
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
from brassweir.as2.mdn import Disposition, ReceiptRequest
from brassweir.as2.opening import KnownMessages, Opener
from brassweir.as2.partnership import Client, Partnerships
from brassweir.as2.pending_receipts import PendingReceipts
from brassweir.as2.receipts import Receipts
from brassweir.as2.reply import Note, Reply, plain, reject
from brassweir.core.futures import resolver
from brassweir.core.key_order import KeyOrder
from brassweir.core.ledger import MessageRecord, SubmitStatus
from brassweir.core.offload import Offload
from brassweir.core.ports import Answer, FinalAnswer, Submission
from brassweir.net.headers import DuplicateHeader, Headers
from brassweir.net.server import Request, Response

MESSAGE_PATH, RECEIPT_PATH = "/as2", "/as2/receipts"


class SubmissionEngine(KnownMessages, Protocol):
    """The part of the engine that the front calls."""

    def submit(
        self, submission: Submission, waiter: Callable[[FinalAnswer], None]
    ) -> tuple[SubmitStatus, MessageRecord]:
        """Submits a message; ``waiter`` is called with its final answer."""

    def when_persisted(self, record: MessageRecord, callback: Callable[[], None]) -> None:
        """Calls ``callback`` once the message is on disk."""


class As2Front:
    """Answers HTTP requests of clients and partners.

    ``refusal_hold_ms`` is how long the response to an asynchronous client is delayed: a message that is
    refused within that time is answered with a status, and no receipt is sent.
    ``answer_margin_ms`` is subtracted from each message's deadline so that the answer can reach the client.
    ``max_layer_bytes`` limits the bytes of each decompressed layer.
    ``receipt_delivered`` is called with the record's id once an asynchronous client has its answer.
    """

    def __init__(
        self,
        partnerships: Partnerships,
        engine: SubmissionEngine,
        receipts: Receipts,
        pending_receipts: PendingReceipts,
        offload: Offload,
        note: Note,
        *,
        refusal_hold_ms: float = 100.0,
        answer_margin_ms: float = 100.0,
        max_layer_bytes: int = 50_000_000,
        receipt_delivered: Callable[[int], None] = lambda _: None,
    ) -> None:
        self.partnerships, self.engine, self.pending_receipts = partnerships, engine, pending_receipts
        self.offload, self.note, self.receipt_delivered = offload, note, receipt_delivered
        self.refusal_hold_ms, self.answer_margin_ms = refusal_hold_ms, answer_margin_ms
        self.key_order = KeyOrder()
        self.opener = Opener(partnerships, engine, offload, max_layer_bytes)
        self.incoming = IncomingReceipts(partnerships, receipts, offload, note)

    async def __call__(self, request: Request) -> Response:
        """Answers one request."""
        path = request.path.partition("?")[0]
        if path not in (MESSAGE_PATH, RECEIPT_PATH):
            return plain(404, "nothing is served here")
        if request.method != "POST":
            return Response(405, Headers([("Allow", "POST")]), b"only POST\n")
        try:
            if path == RECEIPT_PATH:
                return await self.incoming(request)
            return await self._handle_message(request)
        except DuplicateHeader as error:
            return reject(self.note, request, 400, str(error))

    async def _handle_message(self, request: Request) -> Response:
        headers = request.headers
        try:
            sender = mime.as2_name(headers.one("as2-from"))
            receiver = mime.as2_name(headers.one("as2-to"))
            message_id = mime.message_id(headers.one("message-id"))
        except As2Error as error:
            return reject(self.note, request, 400, error.reason)
        try:
            client = self.partnerships.client(sender, receiver)
        except As2Error as error:
            # No receipt: without a partnership there is no agreed certificate to verify its signature with.
            return reject(self.note, request, 403, error.reason)
        try:
            receipt_request = mdn.parse_receipt_request(
                headers.one("disposition-notification-to"),
                headers.one("disposition-notification-options"),
                headers.one("receipt-delivery-option"),
            )
        except As2Error as error:
            return await self._reject_message(
                request, client, receiver, message_id, ReceiptRequest(True), error
            )
        try:
            terms = partnership.map_headers(
                client, self.partnerships.classes, headers.one, time.time(), self.answer_margin_ms
            )
            # Messages of one key are submitted in the order in which they were received completely, however
            # long each takes to decrypt and verify.
            ordered = self.partnerships.classes[terms.class_name].in_order
            async with self.key_order.turn(terms.key if ordered else "") as wait_turn:
                opened = await self.opener.open(request, client, receipt_request, f"{receiver}\n{message_id}")
                await wait_turn()
                payload = replace(opened.payload, subject=headers.one("subject"))
                destination = self.partnerships.number(receiver)
                assert destination is not None  # checked by client() above
                submission = Submission(
                    sender,
                    f"{receiver}\n{message_id}",
                    terms.class_name,
                    destination,
                    terms.left_ms,
                    terms.key,
                    payload=payload,
                    created_at=terms.created_at_ms,
                )
                final_answer: asyncio.Future[FinalAnswer] = asyncio.get_running_loop().create_future()
                receipt = Reply(
                    self.partnerships,
                    self.offload,
                    client,
                    receiver,
                    message_id,
                    receipt_request,
                    opened.mic,
                    opened.micalg,
                )
                if receipt_request.wanted and receipt_request.delivery and client.receipt_url:
                    submission = replace(submission, reply_to=receipt.encode())
                submit_status, record = self.engine.submit(submission, resolver(final_answer))
        except As2Error as error:
            return await self._reject_message(request, client, receiver, message_id, receipt_request, error)
        if receipt_request.wanted and receipt_request.delivery:
            return await self._answer_asynchronously(request, receipt, final_answer, submit_status, record)
        return await receipt.response(await final_answer)

    async def _reject_message(
        self,
        request: Request,
        client: Client,
        receiver: str,
        message_id: str,
        receipt_request: ReceiptRequest,
        error: As2Error,
    ) -> Response:
        """Rejects a message that cannot be submitted: by a receipt if requested, else by status 400."""
        self.note(
            "unacceptable",
            {
                "peer": request.peer,
                "as2_from": client.as2_id,
                "message_id": message_id,
                "modifier": error.modifier.value,
                "reason": error.reason,
            },
        )
        if not receipt_request.wanted:
            return plain(400, error.reason)
        receipt = Reply(self.partnerships, self.offload, client, receiver, message_id, receipt_request)
        disposition = Disposition("processed", "error", error.modifier.value)
        if error.modifier in (Modifier.FORMAT, Modifier.MIC):
            disposition = Disposition("failed", "failure", error.modifier.value)
        content = await receipt.build(disposition, f"Not taken: {error.reason}.")
        if receipt_request.delivery and client.receipt_url:
            self.pending_receipts.send(client.receipt_url, content)
            return Response(202)
        return content

    async def _answer_asynchronously(
        self,
        request: Request,
        receipt: Reply,
        final_answer: asyncio.Future[FinalAnswer],
        submit_status: SubmitStatus,
        record: MessageRecord,
    ) -> Response:
        """Answers a client that requested an asynchronous receipt.

        A message refused within ``refusal_hold_ms`` gets a status; any other gets 202 and later a receipt.
        """
        if not receipt.client.receipt_url:
            return reject(self.note, request, 403, "no receipt URL is agreed for this client")
        await asyncio.wait({final_answer}, timeout=self.refusal_hold_ms / 1000.0)
        if final_answer.done() and final_answer.result().answer is Answer.REFUSED:
            self.receipt_delivered(record.id)  # the status is the answer: no receipt follows
            return await receipt.response(final_answer.result())
        if submit_status is not SubmitStatus.JOINED:  # a joined duplicate shares the first one's receipt
            self.pending_receipts.run(self._send_receipt(receipt, final_answer, record.id))
        # A 202 commits to the message, so it is not sent before the message is persisted.
        persisted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.engine.when_persisted(record, lambda: None if persisted.done() else persisted.set_result(None))
        futures: set[asyncio.Future[Any]] = {final_answer, persisted}
        await asyncio.wait(futures, return_when=asyncio.FIRST_COMPLETED)
        return Response(202)

    async def _send_receipt(
        self, receipt: Reply, final_answer: asyncio.Future[FinalAnswer], message: int
    ) -> None:
        """Waits for the final answer of a message and sends its receipt to the client's URL."""
        content = await receipt.response(await final_answer, by_receipt=True)
        self.pending_receipts.send(
            receipt.client.receipt_url, content, lambda: self.receipt_delivered(message)
        )

    def restored_waiter(self, message: int, submission: Submission) -> Callable[[FinalAnswer], None] | None:
        """Returns the waiter that sends the receipt of a message recovered after a restart.

        Returns None if its client is no longer configured or has no receipt URL any more.
        """
        receipt = Reply.restore(self.partnerships, self.offload, submission)
        if receipt is None:
            self.note("receipt_dropped", {"message": message, "reason": "its client takes none any more"})
            return None
        final_answer: asyncio.Future[FinalAnswer] = asyncio.get_running_loop().create_future()
        self.pending_receipts.run(self._send_receipt(receipt, final_answer, message))
        return resolver(final_answer)
