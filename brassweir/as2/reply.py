"""Builds the answer to an AS2 client: a receipt, or an HTTP status if it requested no receipt."""

from __future__ import annotations

from collections.abc import Callable
from email.utils import formatdate
from math import ceil

import msgspec

from brassweir.as2 import mdn, mime, partnership
from brassweir.as2.errors import Modifier
from brassweir.as2.mdn import Disposition, Mdn, ReceiptRequest
from brassweir.as2.partnership import Client, Partnerships
from brassweir.core.offload import Offload
from brassweir.core.ports import Answer, FinalAnswer, Submission
from brassweir.net.headers import Headers
from brassweir.net.server import Request, Response

Note = Callable[[str, dict[str, object]], None]


class Reply:
    """Builds the answer to one message of one client."""

    def __init__(
        self,
        partnerships: Partnerships,
        offload: Offload,
        client: Client,
        receiver: str,
        message_id: str,
        receipt_request: ReceiptRequest,
        mic: str = "",
        micalg: str = "",
    ) -> None:
        self.partnerships, self.offload = partnerships, offload
        self.client, self.receiver = client, receiver
        self.message_id, self.receipt_request, self.mic, self.micalg = (
            message_id,
            receipt_request,
            mic,
            micalg,
        )

    def encode(self) -> bytes:
        """Serializes what ``restore`` needs to build the receipt after a restart."""
        return msgspec.msgpack.encode(
            (
                self.receiver,
                self.message_id,
                self.receipt_request.signed,
                self.receipt_request.micalgs,
                self.mic,
                self.micalg,
            )
        )

    @staticmethod
    def restore(partnerships: Partnerships, offload: Offload, submission: Submission) -> Reply | None:
        """Rebuilds the reply to a recovered message; None if its client has no receipt URL any more."""
        client = partnerships.clients.get(submission.owner)
        if client is None or not client.receipt_url:
            return None
        receiver, message_id, signed, micalgs, mic, micalg = msgspec.msgpack.decode(
            submission.reply_to, type=tuple[str, str, bool, tuple[str, ...], str, str]
        )
        return Reply(
            partnerships,
            offload,
            client,
            receiver,
            message_id,
            ReceiptRequest(True, signed, micalgs, "noted"),
            mic,
            micalg,
        )

    async def response(self, answer: FinalAnswer, by_receipt: bool = False) -> Response:
        """Returns the final answer as an HTTP message.

        ``by_receipt`` is for asynchronous receipts: a refusal is then a receipt too, not a 503.
        """
        seconds = max(1, ceil(answer.retry_after / 1000.0))
        if answer.answer is Answer.DELIVERED:
            if not self.receipt_request.wanted:
                return Response(200)
            return await self.build(Disposition(), "The message was delivered.")
        if answer.answer is Answer.REFUSED:
            text = f"Refused: {answer.reason}. A later try is harmless. Send it again after {seconds} s."
            if by_receipt:
                return await self.build(Disposition("processed", "error", Modifier.UNEXPECTED.value), text)
            return Response(
                503,
                Headers([("Retry-After", str(seconds)), ("Content-Type", "text/plain")]),
                text.encode("ascii", "replace") + b"\n",
            )
        text = (
            f"Failed: {answer.reason}. Whether it took effect is not known. Do not send it as a new message."
        )
        if not self.receipt_request.wanted:
            return plain(422, text)
        return await self.build(Disposition("processed", "error", Modifier.UNEXPECTED.value), text)

    async def build(self, disposition: Disposition, text: str) -> Response:
        """Returns a receipt as an HTTP message, signed if the client requested that."""
        ours = self.partnerships.ours
        receipt = Mdn(self.message_id, disposition, self.mic, self.micalg, self.receiver, self.receiver, text)
        sign = self.receipt_request.micalg if self.receipt_request.signed else ""
        content_type, body = await self.offload(lambda: mdn.build(receipt, ours, sign))
        headers = Headers()
        headers.add("AS2-Version", "1.2")
        headers.add("AS2-From", mime.encode_as2_name(self.receiver))
        headers.add("AS2-To", mime.encode_as2_name(self.client.as2_id))
        headers.add(
            "Message-ID",
            partnership.onward_id("receipt", f"{self.client.as2_id}\n{self.message_id}", ours.as2_id),
        )
        headers.add("Date", formatdate(usegmt=True))
        headers.add("MIME-Version", "1.0")
        headers.add("Content-Type", content_type)
        return Response(200, Headers([pair for pair in headers if pair[0] != "Date"]), body)


def plain(status: int, reason: str) -> Response:
    """Returns a response with the reason as its text."""
    return Response(
        status, Headers([("Content-Type", "text/plain")]), (reason + "\n").encode("ascii", "replace")
    )


def reject(note: Note, request: Request, status: int, reason: str) -> Response:
    """Logs the reason why a post is rejected and returns it as the response."""
    note(
        "turned_away",
        {
            "peer": request.peer,
            "status": status,
            "reason": reason,
            "as2_from": request.headers.first("as2-from")[:128],
        },
    )
    return plain(status, reason)
