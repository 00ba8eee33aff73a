"""The receipts that partners bring by posts of their own, for messages that were delivered to them."""

from __future__ import annotations

import time

from brassweir.as2 import mdn, mime
from brassweir.as2.errors import As2Error
from brassweir.as2.partnership import Partnerships, valid_now
from brassweir.as2.receipts import Receipts, Verdict
from brassweir.as2.reply import Note, plain, turned_away
from brassweir.core.offload import Offload
from brassweir.net.server import Request, Response


class IncomingReceipts:
    """Answers partners' posts."""

    def __init__(self, book: Partnerships, receipts: Receipts, offload: Offload, note: Note) -> None:
        self.book, self.receipts, self.offload, self.note = book, receipts, offload, note

    async def __call__(self, request: Request) -> Response:
        """Answer one. Raises DuplicateHeader."""
        headers = request.headers
        try:
            sender = mime.as2_name(headers.one("as2-from"))
            partner = self.book.partners.get(sender)
            if partner is None:
                return turned_away(self.note, request, 403, f"no partnership with {sender!r}")
            entity = mime.of_http(
                headers.one("content-type"), headers.one("content-transfer-encoding"), request.body
            )
            trusted = valid_now(partner.certificates, time.time())
            got = await self.offload(lambda: mdn.parse(entity, trusted, legacy=partner.legacy))
        except As2Error as error:
            return turned_away(self.note, request, 400, error.reason)
        if partner.signed_receipt and got.signer is None:
            return turned_away(self.note, request, 403, "the receipt is not signed")
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
            return plain(403, "this receipt is not yours to give")
        return Response(200)  # also for stray ones: bringing them again would change nothing
