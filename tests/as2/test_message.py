"""Messages of other implementations, messages built here, and the bytes that the MIC covers."""

from __future__ import annotations

import base64
import itertools

import pytest
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.serialization import pkcs7

from brassweir.as2 import message, mime
from brassweir.as2.errors import As2Error, Modifier
from brassweir.as2.message import Security, mic_of
from brassweir.core.ports import Payload
from tests.as2.samples import CONTENT, DATA, MAX_BYTES, PLAIN, TRUSTED, bob, load
from tests.conftest import identity


@pytest.mark.parametrize(
    ("name", "layers", "covered"),
    [
        ("signed-detached.mime", ("signed sha256",), PLAIN),
        ("signed-pss.mime", ("signed sha256",), PLAIN),
        ("signed-ec.mime", ("signed sha256",), PLAIN),
        ("signed-noattr.mime", ("signed sha256",), PLAIN),
        ("signed-keyid.mime", ("signed sha256",), PLAIN),
        ("signed-opaque.mime", ("signed opaque sha512",), PLAIN),
        ("signed-opaque-ber.der", ("signed opaque sha384",), PLAIN),
        ("encrypted-aes128.der", ("encrypted aes128-cbc", "signed sha256"), PLAIN),
        ("encrypted-aes256-ber.mime", ("encrypted aes256-cbc", "signed sha256"), PLAIN),
        ("encrypted-keyid.der", ("encrypted aes192-cbc",), PLAIN),
        ("encrypted-oaep.der", ("encrypted aes256-cbc",), PLAIN),
        ("encrypted-gcm.der", ("encrypted aes256-gcm",), PLAIN),
    ],
)
def test_messages_of_another_implementation(name: str, layers: tuple[str, ...], covered: bytes) -> None:
    got = message.read(load(name), bob(), TRUSTED, max_layer_bytes=MAX_BYTES)
    assert got.payload == Payload("application/EDI-X12", CONTENT)
    assert got.layers == layers
    assert got.mic == mic_of(covered, got.micalg)


@pytest.mark.parametrize(
    ("name", "modifier"),
    [("signed-sha1.mime", Modifier.AUTHENTICATION), ("encrypted-3des.der", Modifier.SECURITY)],
)
def test_legacy_algorithms_only_where_a_partnership_allows(name: str, modifier: Modifier) -> None:
    with pytest.raises(As2Error) as caught:
        message.read(load(name), bob(), TRUSTED, max_layer_bytes=MAX_BYTES)
    assert caught.value.modifier is modifier
    assert (
        message.read(load(name), bob(), TRUSTED, max_layer_bytes=MAX_BYTES, legacy=True).payload.content
        == CONTENT
    )


def test_messages_built_by_another_library() -> None:
    alice = identity("alice made here")
    body = (
        pkcs7.PKCS7SignatureBuilder()
        .set_data(PLAIN)
        .add_signer(alice.certificate, alice.key, hashes.SHA384())
        .sign(serialization.Encoding.SMIME, [pkcs7.PKCS7Options.DetachedSignature, pkcs7.PKCS7Options.Binary])
    )
    got = message.read(mime.parse(body), bob(), [alice.certificate], max_layer_bytes=MAX_BYTES)
    assert got.signed and got.payload.content.strip() == CONTENT.strip()
    sealed = (
        pkcs7.PKCS7EnvelopeBuilder()
        .set_data(PLAIN)
        .add_recipient(bob().certificate)
        .encrypt(serialization.Encoding.DER, [pkcs7.PKCS7Options.Binary])
    )
    got = message.read(
        mime.of_http("application/pkcs7-mime", "", sealed), bob(), [], max_layer_bytes=MAX_BYTES
    )
    assert got.encrypted and got.payload.content == CONTENT


def test_our_envelopes_are_read_by_another_library() -> None:
    alice = identity("alice made here")
    built = message.build(Payload("text/xml", b"<a/>"), Security("", "aes128-cbc"), alice, bob().certificate)
    key = bob().key
    plain = pkcs7.pkcs7_decrypt_der(built.body, bob().certificate, key, [])  # type: ignore[arg-type]
    assert plain.endswith(b"<a/>")


COMBINATIONS = [
    (sign, encrypt, compress, pss, oaep)
    for sign, encrypt, compress, pss, oaep in itertools.product(
        ("", "sha256", "sha512"),
        ("", "aes128-cbc", "aes256-gcm"),
        ("", "before", "after"),
        (False, True),
        (False, True),
    )
    if not (compress == "before" and not sign) and not (pss and not sign) and not (oaep and not encrypt)
]


@pytest.mark.parametrize("kind", ["rsa2048", "ec256"])
def test_build_and_read_give_the_same_content_and_mic_in_every_combination(kind: str) -> None:
    sender = identity("sender", kind)
    content = b"\r\n\n binary \x00\xff --boundary\r\n" * 50
    for combination in COMBINATIONS:
        security = Security(*combination)
        built = message.build(
            Payload("application/octet-stream", content), security, sender, bob().certificate
        )
        got = message.read(
            mime.of_http(built.content_type, "", built.body),
            bob(),
            [sender.certificate],
            max_layer_bytes=MAX_BYTES,
        )
        assert got.payload.content == content, combination
        assert (got.mic, got.micalg) == (built.mic, built.micalg), combination
        assert got.signed == bool(security.sign) and got.encrypted == bool(security.encrypt)


def test_the_mic_covers_the_bytes_that_rfc_4130_names() -> None:
    sender = identity("sender")
    payload = Payload("text/plain", b"hello")
    inner = b"Content-Type: text/plain\r\nContent-Transfer-Encoding: binary\r\n\r\nhello"

    def mic(sign: str, encrypt: str, compress: str = "") -> str:
        return message.build(payload, Security(sign, encrypt, compress), sender, bob().certificate).mic

    assert (
        mic("sha256", "")
        == mic("sha256", "aes128-cbc")
        == mic("sha256", "", "after")
        == mic_of(inner, "sha256")
    )
    assert mic("", "aes128-cbc") == mic("", "aes128-cbc", "after") == mic_of(inner, "sha256")
    assert mic("", "") == mic("", "", "after") == mic_of(b"hello", "sha256")
    assert mic("sha256", "", "before") != mic_of(inner, "sha256")


def test_line_ends_changed_in_transit_and_any_transfer_encoding_are_accepted() -> None:
    raw = (DATA / "signed-detached.mime").read_bytes()
    assert message.read(
        mime.parse(raw.replace(b"\r\n", b"\n")), bob(), TRUSTED, max_layer_bytes=MAX_BYTES
    ).signed
    encrypted = load("encrypted-aes128.der")
    coded = mime.of_http(
        "application/x-pkcs7-mime; smime-type=enveloped-data", "BASE64", base64.encodebytes(encrypted.body)
    )
    assert message.read(coded, bob(), TRUSTED, max_layer_bytes=MAX_BYTES).signed
