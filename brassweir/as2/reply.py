"""What an AS2 client is told of one message: a receipt, or a status where it asked for none."""

from __future__ import annotations

from collections.abc import Callable
from email.utils import formatdate
from math import ceil

import msgspec

from brassweir.as2 import mdn, mime, partnership
from brassweir.as2.errors import Modifier
from brassweir.as2.mdn import Asked, Disposition, Mdn
from brassweir.as2.partnership import Client, Partnerships
from brassweir.core.offload import Offload
from brassweir.core.ports import Answer, FinalAnswer, Submission
from brassweir.net.headers import Headers
from brassweir.net.server import Request, Response

Note = Callable[[str, dict[str, object]], None]


class Reply:
    """Builds what one client is told of one message."""

    def __init__(
        self,
        book: Partnerships,
        offload: Offload,
        client: Client,
        receiver: str,
        ident: str,
        asked: Asked,
        mic: str = "",
        micalg: str = "",
    ) -> None:
        self.book, self.offload = book, offload
        self.client, self.receiver = client, receiver
        self.ident, self.asked, self.mic, self.micalg = ident, asked, mic, micalg

    def note(self) -> bytes:
        """What is needed to make it again after a restart."""
        return msgspec.msgpack.encode(
            (self.receiver, self.ident, self.asked.signed, self.asked.micalgs, self.mic, self.micalg)
        )

    @staticmethod
    def noted(book: Partnerships, offload: Offload, submission: Submission) -> Reply | None:
        """The receipt of a message from before a restart; None if its client has no URL for it any more."""
        client = book.clients.get(submission.owner)
        if client is None or not client.receipt_url:
            return None
        receiver, ident, signed, micalgs, mic, micalg = msgspec.msgpack.decode(
            submission.reply_to, type=tuple[str, str, bool, tuple[str, ...], str, str]
        )
        return Reply(
            book, offload, client, receiver, ident, Asked(True, signed, micalgs, "noted"), mic, micalg
        )

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
            return plain(422, words)
        return await self.build(Disposition("processed", "error", Modifier.UNEXPECTED.value), words)

    async def build(self, disposition: Disposition, words: str) -> Response:
        """A receipt as an HTTP message, signed if that was asked."""
        ours = self.book.ours
        receipt = Mdn(self.ident, disposition, self.mic, self.micalg, self.receiver, self.receiver, words)
        sign = self.asked.micalg if self.asked.signed else ""
        content_type, body = await self.offload(lambda: mdn.build(receipt, ours, sign))
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


def plain(status: int, reason: str) -> Response:
    """A status with its reason as text."""
    return Response(
        status, Headers([("Content-Type", "text/plain")]), (reason + "\n").encode("ascii", "replace")
    )


def turned_away(note: Note, request: Request, status: int, reason: str) -> Response:
    """A post that nothing is made of: its reason goes to the log too."""
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
