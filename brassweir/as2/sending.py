"""Client side of one submission: build, post, and read the answer. For the command line and the lab."""

from __future__ import annotations

from dataclasses import dataclass
from email.utils import formatdate

from cryptography import x509

from brassweir.as2 import cms, mdn, message, mime
from brassweir.as2.errors import As2Error, Modifier
from brassweir.as2.mdn import Mdn
from brassweir.as2.message import Built, Identity, Security
from brassweir.core.http_responses import read_hints
from brassweir.core.offload import Offload
from brassweir.core.ports import Payload
from brassweir.net.client import HttpPool, Reply
from brassweir.net.headers import Headers


@dataclass(frozen=True, slots=True)
class PreparedMessage:
    """A built message with its headers, to be posted and repeated under one Message-ID."""

    headers: Headers
    built: Built
    message_id: str

    def with_time_left(self, left: float) -> PreparedMessage:
        """Returns the same message for another try, with ``left`` seconds as its new ``Prefer: wait``."""
        kept = [pair for pair in self.headers if pair[0] != "Prefer"]
        return PreparedMessage(
            Headers([*kept, ("Prefer", f"wait={max(1, int(left))}")]), self.built, self.message_id
        )


@dataclass(frozen=True, slots=True)
class ClientAnswer:
    """The answer: delivered, refused, failed, accepted (a receipt follows) or rejected (not submitted)."""

    answer: str
    reason: str = ""
    retry_after: float = 0.0  # seconds
    receipt: Mdn | None = None


def prepare_message(
    ours: Identity,
    receiver: str,
    theirs: x509.Certificate | None,
    payload: Payload,
    message_id: str,
    *,
    security: Security | None = None,
    wait: float = 0.0,
    receipt: bool = True,
    signed_receipt: bool = True,
    receipt_url: str = "",
) -> PreparedMessage:
    """Builds a message; ``wait`` is how many seconds the client waits, sent as ``Prefer: wait``."""
    security = security or Security()
    built = message.build(payload, security, ours, theirs)
    headers = Headers()
    for name, value in (
        ("AS2-Version", "1.2"),
        ("AS2-From", mime.encode_as2_name(ours.as2_id)),
        ("AS2-To", mime.encode_as2_name(receiver)),
        ("Message-ID", message_id),
        ("Subject", payload.subject),
        ("Date", formatdate(usegmt=True)),
        ("MIME-Version", "1.0"),
        ("Content-Type", built.content_type),
    ):
        headers.add(name, value)
    if wait > 0:
        headers.add("Prefer", f"wait={int(wait)}")
    if receipt:
        headers.add("Disposition-Notification-To", mime.encode_as2_name(ours.as2_id))
    if receipt and signed_receipt:
        headers.add(
            "Disposition-Notification-Options",
            "signed-receipt-protocol=required, pkcs7-signature; "
            f"signed-receipt-micalg=required, {cms.micalg(built.micalg)}",
        )
    if receipt and receipt_url:
        headers.add("Receipt-Delivery-Option", receipt_url)
    return PreparedMessage(headers, built, message_id)


async def post(
    pool: HttpPool, sent: PreparedMessage, trusted: x509.Certificate, deadline: float, offload: Offload
) -> ClientAnswer:
    """Posts a message and reads the answer. Raises CallFailed."""
    reply = await pool.post(sent.headers, sent.built.body, deadline)
    return await offload(lambda: read_answer(reply, sent, trusted))


def read_answer(reply: Reply, sent: PreparedMessage, trusted: x509.Certificate) -> ClientAnswer:
    """Interprets a synchronous answer."""
    if reply.status == 503:
        return ClientAnswer(
            "refused",
            reply.body.decode("ascii", "replace").strip(),
            read_hints(reply.headers.first, 0.0).wait / 1000.0,
        )
    if reply.status == 202:
        return ClientAnswer("accepted")
    if reply.status == 422:
        return ClientAnswer("failed", reply.body.decode("ascii", "replace").strip())
    if not 200 <= reply.status < 300:
        text = reply.body[:200].decode("ascii", "replace").strip()
        return ClientAnswer("rejected", f"status {reply.status}: {text}")
    if not reply.headers.all("content-type"):
        return ClientAnswer("delivered")
    try:
        receipt = mdn.parse(mime.of_http(reply.headers.first("content-type"), "", reply.body), [trusted])
    except As2Error as error:
        return ClientAnswer("rejected", f"receipt: {error.reason}")
    return read_receipt(receipt, sent)


def read_receipt(receipt: Mdn, sent: PreparedMessage) -> ClientAnswer:
    """Interprets the receipt of a message that was sent."""
    if receipt.original_message_id != sent.message_id:
        return ClientAnswer("rejected", "receipt for another message", receipt=receipt)
    if receipt.disposition.good:
        if receipt.mic != sent.built.mic:
            return ClientAnswer("rejected", "receipt shows another MIC", receipt=receipt)
        return ClientAnswer("delivered", receipt=receipt)
    if receipt.disposition.modifier == Modifier.UNEXPECTED.value:
        answer = "refused" if receipt.text.startswith("Refused:") else "failed"
        return ClientAnswer(answer, receipt.text, receipt=receipt)
    return ClientAnswer("rejected", f"{receipt.disposition}: {receipt.text}", receipt=receipt)
