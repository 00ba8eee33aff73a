"""Handles asynchronous receipts, which partners post for messages that they received."""

from __future__ import annotations

import time

from brassweir.as2 import mdn, mime
from brassweir.as2.errors import As2Error
from brassweir.as2.partnership import Partnerships, valid_now
from brassweir.as2.receipts import Receipts, Verdict
from brassweir.as2.reply import Note, plain, reject
from brassweir.core.offload import Offload
from brassweir.net.server import Request, Response


class IncomingReceipts:
    """Answers partners' receipt posts."""

    def __init__(self, partnerships: Partnerships, receipts: Receipts, offload: Offload, note: Note) -> None:
        self.partnerships, self.receipts, self.offload, self.note = partnerships, receipts, offload, note

    async def __call__(self, request: Request) -> Response:
        """Verifies a posted receipt and passes it to the waiting attempt. Raises DuplicateHeader."""
        headers = request.headers
        try:
            sender = mime.as2_name(headers.one("as2-from"))
            partner = self.partnerships.partners.get(sender)
            if partner is None:
                return reject(self.note, request, 403, f"no partnership with {sender!r}")
            entity = mime.of_http(
                headers.one("content-type"), headers.one("content-transfer-encoding"), request.body
            )
            trusted = valid_now(partner.certificates, time.time())
            receipt = await self.offload(lambda: mdn.parse(entity, trusted, legacy=partner.legacy))
        except As2Error as error:
            return reject(self.note, request, 400, error.reason)
        if partner.signed_receipt and receipt.signer is None:
            return reject(self.note, request, 403, "the receipt is not signed")
        verdict = self.receipts.receive(sender, receipt)
        if verdict is not Verdict.DUE:
            self.note(
                "stray_receipt",
                {
                    "verdict": verdict.name.lower(),
                    "partner": sender,
                    "original": receipt.original_message_id[:200],
                    "disposition": str(receipt.disposition),
                },
            )
        if verdict is Verdict.WRONG_PARTNER:
            return plain(403, "this receipt is not yours to give")
        return Response(200)  # also for unexpected receipts: posting them again would change nothing
