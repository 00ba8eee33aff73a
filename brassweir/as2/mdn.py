"""Builds and parses receipts: message disposition notifications (RFC 8098; RFC 4130, section 7)."""

from __future__ import annotations

import re
from collections.abc import Sequence
from dataclasses import dataclass
from email.parser import BytesHeaderParser

from cryptography import x509

from brassweir.as2 import cms, message, mime
from brassweir.as2.errors import As2Error, Modifier
from brassweir.as2.message import Identity

_DISPOSITION = re.compile(
    r"\s*([^;\s]+)\s*;\s*(processed|failed|displayed|deleted|dispatched|denied)\s*"
    r"(?:/\s*(error|failure|warning)\s*)?(?::\s*(.*?)\s*)?",
    re.IGNORECASE | re.DOTALL,
)


@dataclass(frozen=True, slots=True)
class Disposition:
    """What became of a message; ``severity`` is error, failure, warning or empty."""

    kind: str = "processed"
    severity: str = ""
    modifier: str = ""

    @staticmethod
    def of(text: str) -> Disposition:
        """Parses a Disposition field (RFC 8098, section 3.2.6). Raises As2Error."""
        match = _DISPOSITION.fullmatch(text)
        if match is None:
            raise As2Error(Modifier.FORMAT, f"disposition {text[:100]!r} cannot be read")
        severity, modifier = (match[3] or "").lower(), match[4] or ""
        bare = re.match(r"(error|failure|warning)\b\s*:?\s*(.*)", modifier, re.IGNORECASE | re.DOTALL)
        if not severity and bare:  # some implementations send "processed: error: ..."
            severity, modifier = bare[1].lower(), bare[2]
        return Disposition(match[2].lower(), severity, modifier)

    @property
    def good(self) -> bool:
        """Whether the message was processed, with or without a warning."""
        return self.kind == "processed" and self.severity in ("", "warning")

    def __str__(self) -> str:
        shown = f"automatic-action/MDN-sent-automatically; {self.kind}"
        if self.severity:
            shown += f"/{self.severity}"
        return shown + (f": {self.modifier}" if self.modifier else "")


@dataclass(frozen=True, slots=True)
class Mdn:
    """A receipt. ``signer`` is None if it was not signed."""

    original_message_id: str
    disposition: Disposition
    mic: str = ""
    micalg: str = ""
    final_recipient: str = ""
    original_recipient: str = ""
    text: str = ""
    signer: x509.Certificate | None = None


@dataclass(frozen=True, slots=True)
class ReceiptRequest:
    """The receipt that a message requests (RFC 4130, section 7.3)."""

    wanted: bool = False
    signed: bool = False
    micalgs: tuple[str, ...] = ()
    delivery: str = ""  # the URL given for an asynchronous receipt; only its presence is used

    @property
    def micalg(self) -> str:
        """The first requested digest that is supported, else sha256."""
        for name in self.micalgs:
            try:
                return cms.digest_name(name)
            except As2Error:
                continue
        return "sha256"


def parse_receipt_request(to: str, options: str, delivery: str) -> ReceiptRequest:
    """Parses Disposition-Notification-To, Disposition-Notification-Options and Receipt-Delivery-Option.

    Raises As2Error if a required protocol or digest is not supported.
    """
    parameters: dict[str, list[str]] = {}
    for part in options.split(";"):
        name, _, values = part.partition("=")
        parameters[name.strip().lower()] = [value.strip().strip('"') for value in values.split(",")]
    protocol = parameters.get("signed-receipt-protocol", [])
    algorithms = parameters.get("signed-receipt-micalg", [])
    wants_signed = len(protocol) > 1 and protocol[1].lower() == "pkcs7-signature"
    if len(protocol) > 1 and not wants_signed and protocol[0].lower() == "required":
        raise As2Error(Modifier.FORMAT, f"signed-receipt-protocol {protocol[1][:40]!r} is not served")
    request = ReceiptRequest(bool(to), bool(to) and wants_signed, tuple(algorithms[1:]), delivery)
    if (
        algorithms
        and algorithms[0].lower() == "required"
        and not any(_is_known_digest(name) for name in request.micalgs)
    ):
        raise As2Error(Modifier.MIC, "none of the digests required is served")
    return request


def _is_known_digest(name: str) -> bool:
    try:
        cms.digest_name(name)
    except As2Error:
        return False
    return True


def build(mdn: Mdn, ours: Identity, sign: str) -> tuple[str, bytes]:
    """Returns Content-Type and body of a receipt; ``sign`` is the digest, or empty for an unsigned one."""
    fields = [
        ("Reporting-UA", "brassweir"),
        ("Original-Recipient", f"rfc822; {mime.encode_as2_name(mdn.original_recipient)}"),
        ("Final-Recipient", f"rfc822; {mime.encode_as2_name(mdn.final_recipient)}"),
        ("Original-Message-ID", mdn.original_message_id),
        ("Disposition", str(mdn.disposition)),
    ]
    if not mdn.original_recipient:
        del fields[1]
    if mdn.mic:
        fields.append(("Received-Content-MIC", f"{mdn.mic}, {cms.micalg(mdn.micalg)}"))
    text = mime.entity(
        [("Content-Type", "text/plain; charset=us-ascii"), ("Content-Transfer-Encoding", "7bit")],
        mdn.text.encode("ascii", "replace").replace(b"\n", b"\r\n") + b"\r\n",
    )
    report = mime.entity(
        [("Content-Type", "message/disposition-notification"), ("Content-Transfer-Encoding", "7bit")],
        mime.entity(fields, b""),
    )
    content_type, body = mime.multipart(
        "report", [("report-type", "disposition-notification")], [text, report]
    )
    if not sign:
        return content_type, body
    unsigned = mime.entity([("Content-Type", content_type)], body)
    signature = mime.entity(
        [
            ("Content-Type", "application/pkcs7-signature; name=smime.p7s"),
            ("Content-Transfer-Encoding", "binary"),
        ],
        cms.sign(unsigned, ours.key, ours.certificate, sign),
    )
    return mime.multipart(
        "signed",
        [("protocol", "application/pkcs7-signature"), ("micalg", cms.micalg(sign))],
        [unsigned, signature],
    )


def parse(entity: mime.Entity, trusted: Sequence[x509.Certificate], *, legacy: bool = False) -> Mdn:
    """Parses a receipt and verifies its signature if it has one. Raises As2Error."""
    signer: x509.Certificate | None = None
    if entity.content_type == "multipart/signed":
        signed, entity = message.verify_detached(entity, trusted, legacy)
        signer = signed.signer
    elif entity.content_type in ("application/pkcs7-mime", "application/x-pkcs7-mime"):
        opaque = cms.verify(entity.decoded(), trusted, None, legacy=legacy)
        signer, entity = opaque.signer, mime.parse(opaque.content)
    leaves = mime.leaves(entity)
    report = next((part for part in leaves if part.content_type == "message/disposition-notification"), None)
    if report is None:
        raise As2Error(Modifier.FORMAT, "no disposition notification in the answer")
    text = next((part for part in leaves if part.content_type == "text/plain"), None)
    try:
        fields = BytesHeaderParser().parsebytes(report.decoded().lstrip(b"\r\n"))
    except (ValueError, LookupError, TypeError) as error:
        raise As2Error(Modifier.FORMAT, f"notification cannot be read: {error}") from None

    def field(name: str) -> str:
        return re.sub(r"\s+", " ", str(fields.get(name) or "")).strip()

    def recipient(name: str) -> str:
        value = field(name).partition(";")[2].strip()
        return mime.as2_name(value) if value else ""

    mic, micalg = "", ""
    if field("Received-Content-MIC"):
        mic, _, micalg = field("Received-Content-MIC").partition(",")
        mic, micalg = mic.strip(), cms.digest_name(micalg) if micalg.strip() else ""
    if not field("Disposition"):
        raise As2Error(Modifier.FORMAT, "notification without disposition")
    return Mdn(
        field("Original-Message-ID"),
        Disposition.of(field("Disposition")),
        mic,
        micalg,
        recipient("Final-Recipient"),
        recipient("Original-Recipient"),
        text.decoded().decode("utf-8", "replace").strip()[:2000] if text is not None else "",
        signer,
    )
