"""Rejection of changed content, unknown signers, decompression bombs, deep nesting and random bytes."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import serialization
from hypothesis import given, settings
from hypothesis import strategies as st

from brassweir.as2 import cms, inspect, mdn, message, mime
from brassweir.as2.errors import As2Error, Modifier
from brassweir.core.ports import Payload
from tests.as2.samples import DATA, MAX_BYTES, TRUSTED, bob, certificate, load
from tests.conftest import identity


@pytest.mark.parametrize(
    "change",
    [
        lambda raw: raw.replace(b"GS*PO*1", b"GS*PO*9"),
        lambda raw: raw.replace(b"EDI-X12", b"EDI-X13"),
    ],
)
def test_changed_content_is_an_integrity_failure(change: object) -> None:
    assert callable(change)
    raw = change((DATA / "signed-detached.mime").read_bytes())
    with pytest.raises(As2Error) as caught:
        message.read(mime.parse(raw), bob(), TRUSTED, max_layer_bytes=MAX_BYTES)
    assert caught.value.modifier is Modifier.INTEGRITY


def test_an_unknown_signer_and_another_recipient_s_envelope_are_rejected() -> None:
    with pytest.raises(As2Error) as caught:
        message.read(load("signed-detached.mime"), bob(), [certificate("eve")], max_layer_bytes=MAX_BYTES)
    assert caught.value.modifier is Modifier.AUTHENTICATION
    with pytest.raises(As2Error) as caught:
        message.read(load("encrypted-aes128.der"), identity("other"), TRUSTED, max_layer_bytes=MAX_BYTES)
    assert caught.value.modifier is Modifier.DECRYPTION


def test_decompression_bombs_and_deep_nesting_raise_as2_error() -> None:
    bomb = cms.compress(b"\0" * 5_000_000)
    assert len(bomb) < 10_000
    with pytest.raises(As2Error) as caught:
        message.read(mime.of_http("application/pkcs7-mime", "", bomb), bob(), [], max_layer_bytes=1_000_000)
    assert caught.value.modifier is Modifier.DECOMPRESSION
    for deep in (b"\x30\x80" * 10_000, b"\x24\x80" * 10_000 + b"\0" * 20_000):
        with pytest.raises(As2Error):
            message.read(
                mime.of_http("application/pkcs7-mime", "", deep), bob(), [], max_layer_bytes=MAX_BYTES
            )
    nest = b"x"
    for i in range(40):
        nest = (
            b'Content-Type: multipart/mixed; boundary="b%d"\r\n\r\n--b%d\r\n' % (i, i)
            + nest
            + b"\r\n--b%d--\r\n" % i
        )
    with pytest.raises(As2Error):
        mdn.parse(mime.parse(nest), [])
    layers = Payload("text/plain", b"x")
    body = mime.entity([("Content-Type", layers.content_type)], b"x")
    for _ in range(7):
        body = mime.entity([("Content-Type", "application/pkcs7-mime")], cms.compress(body))
    with pytest.raises(As2Error, match="layers"):
        message.read(mime.parse(body), bob(), [], max_layer_bytes=MAX_BYTES)


SEEDS = [path.read_bytes() for path in sorted(DATA.iterdir()) if path.suffix in (".mime", ".der")]


@settings(max_examples=300, deadline=None)
@given(data=st.data())
def test_parsing_raises_only_as2_error(data: st.DataObject) -> None:
    raw = bytearray(data.draw(st.one_of(st.sampled_from(SEEDS), st.binary(max_size=400))))
    for _ in range(data.draw(st.integers(0, 6))):
        if raw:
            at = data.draw(st.integers(0, len(raw) - 1))
            raw[at : at + data.draw(st.integers(0, 3))] = data.draw(st.binary(max_size=4))
    kind = data.draw(
        st.sampled_from(
            [
                "application/pkcs7-mime",
                "multipart/signed; boundary=x",
                "",
                'ü; ="',
                "multipart/report; report-type=disposition-notification; boundary=x",
            ]
        )
    )
    parsers: list[Callable[[], mime.Entity]] = [
        lambda: mime.parse(bytes(raw)),
        lambda: mime.of_http(kind, "", bytes(raw)),
    ]
    for entity_of in parsers:
        try:
            entity = entity_of()
            message.read(entity, bob(), TRUSTED, max_layer_bytes=MAX_BYTES, legacy=True)
            mdn.parse(entity, TRUSTED)
        except As2Error:
            pass
        try:
            mdn.parse(entity_of(), TRUSTED)
        except As2Error:
            pass
    inspect.explain(bytes(raw), bob(), TRUSTED)


def test_a_certificate_with_an_invalid_key_is_shown_as_unreadable() -> None:
    """Guards against an error when a malformed certificate, which is parsed lazily, is displayed."""
    good = bob().certificate
    der = bytearray(good.public_bytes(serialization.Encoding.DER))
    spki = good.public_key().public_bytes(
        serialization.Encoding.DER, serialization.PublicFormat.SubjectPublicKeyInfo
    )
    at = bytes(der).index(spki)
    der[at + len(spki) - 40 : at + len(spki)] = b"\xff" * 40
    der[at + 24 : at + 28] = b"\0\0\0\0"
    assert inspect._subject(x509.load_der_x509_certificate(bytes(der))).startswith("unreadable: ")
    assert inspect._subject(good) == "CN=test bob"
