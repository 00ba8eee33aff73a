"""Receipts built and parsed; dispositions, digests, AS2 names and Message-IDs in their various spellings."""

from __future__ import annotations

import pytest

from brassweir.as2 import cms, mdn, mime
from brassweir.as2.errors import As2Error
from brassweir.as2.mdn import Disposition, Mdn
from tests.conftest import identity


def roundtrip(receipt: Mdn, sign: str = "sha256") -> Mdn:
    content_type, body = mdn.build(receipt, identity("sender"), sign)
    return mdn.parse(mime.of_http(content_type, "", body), [identity("sender").certificate])


@pytest.mark.parametrize("sign", ["", "sha256", "sha512"])
def test_a_receipt_is_parsed_as_it_was_built(sign: str) -> None:
    sent = Mdn(
        "<a b@c>",
        Disposition("processed", "error", "decryption-failed"),
        "bWlj",
        "sha256",
        "my name",
        "",
        "sorry",
    )
    got = roundtrip(sent, sign)
    assert (got.signer is not None) == bool(sign)
    assert (got.original_message_id, got.disposition, got.mic, got.micalg, got.final_recipient, got.text) == (
        "<a b@c>",
        sent.disposition,
        "bWlj",
        "sha256",
        "my name",
        "sorry",
    )


@pytest.mark.parametrize(
    ("text", "kind", "severity", "modifier", "good"),
    [
        ("automatic-action/MDN-sent-automatically; processed", "processed", "", "", True),
        ("automatic-action/MDN-sent-automatically;Processed", "processed", "", "", True),
        (
            "automatic-action/MDN-sent-automatically; processed/warning: duplicate-document",
            "processed",
            "warning",
            "duplicate-document",
            True,
        ),
        (
            "automatic-action/MDN-sent-automatically; processed/Error: authentication-failed",
            "processed",
            "error",
            "authentication-failed",
            False,
        ),
        (
            "automatic-action/MDN-sent-automatically; processed: Error: decryption-failed",
            "processed",
            "error",
            "decryption-failed",
            False,
        ),
        (
            "automatic-action/MDN-sent-automatically; failed/Failure: unsupported format",
            "failed",
            "failure",
            "unsupported format",
            False,
        ),
        ("manual-action/MDN-sent-manually; failed", "failed", "", "", False),
    ],
)
def test_spellings_of_dispositions(text: str, kind: str, severity: str, modifier: str, good: bool) -> None:
    got = Disposition.of(text)
    assert (got.kind, got.severity, got.modifier, got.good) == (kind, severity, modifier, good)


@pytest.mark.parametrize("spelled", ["sha256", "sha-256", "SHA256", "SHA-256", "rsa-sha256", '"sha-256"'])
def test_spellings_of_digests(spelled: str) -> None:
    assert cms.digest_name(spelled) == "sha256"


def test_the_notification_is_found_among_unusual_parts() -> None:
    note = (
        b"Content-Type: message/disposition-notification\r\n\r\nFinal-Recipient: rfc822;\r\n  bob\r\n"
        b"Original-Message-ID: <x>\r\nDisposition: automatic-action/MDN-sent-automatically;\r\n processed\r\n"
        b"Received-Content-MIC: bWlj, SHA1\r\n\r\n"
    )
    odd = (
        b"Content-Type: multipart/report; boundary=o\r\n\r\npreamble\r\n--o\r\n"
        b"Content-Type: multipart/alternative; boundary=i\r\n\r\n--i\r\nContent-Type: text/html\r\n\r\n<p>\r\n"
        b"--i\r\n\r\nplain\r\n--i--\r\n\r\n--o\r\n" + note + b"\r\n--o--\r\nepilogue"
    )
    got = mdn.parse(mime.parse(odd), [])
    assert (got.original_message_id, got.mic, got.micalg, got.disposition.good) == (
        "<x>",
        "bWlj",
        "sha1",
        True,
    )


@pytest.mark.parametrize(
    ("encoded", "name"),
    [
        ("ACME", "ACME"),
        ('"ACME Corp"', "ACME Corp"),
        ("ACME Corp", "ACME Corp"),
        ("AC\r\n ME", "AC ME"),
        (r'"a\"b\\c"', 'a"b\\c'),
        ("acme", "acme"),
    ],
)
def test_names_folded_quoted_and_spaced(encoded: str, name: str) -> None:
    assert mime.as2_name(encoded) == name
    assert mime.as2_name(mime.encode_as2_name(name)) == name


@pytest.mark.parametrize("bad", ["", " ", "x" * 129, "a\nb", "a\x00b", "caf\xe9"])
def test_invalid_names(bad: str) -> None:
    with pytest.raises(As2Error):
        mime.as2_name(bad)


@pytest.mark.parametrize("bad", ["", "a\r\nX: y", "x" * 999, "a\x00"])
def test_invalid_message_ids(bad: str) -> None:
    with pytest.raises(As2Error):
        mime.message_id(bad)
