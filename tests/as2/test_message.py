"""The codec: what another implementation made, what we make, the MIC over the right bytes, and what is turned away."""

from __future__ import annotations

import base64
import itertools
from collections.abc import Callable
from functools import cache
from pathlib import Path

import pytest
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.serialization import load_pem_private_key, pkcs7
from hypothesis import given, settings
from hypothesis import strategies as st

from brassweir.as2 import cms, inspect, mdn, message, mime
from brassweir.as2.errors import As2Error, Modifier
from brassweir.as2.mdn import Disposition, Mdn
from brassweir.as2.message import Identity, Security, mic_of
from brassweir.core.ports import Payload
from tests.conftest import identity

DATA = Path(__file__).parent / "data"
PLAIN = (DATA / "plain.mime").read_bytes()
CONTENT = PLAIN.partition(b"\r\n\r\n")[2]
MOST = 100_000


def certificate(name: str) -> x509.Certificate:
    return x509.load_pem_x509_certificate((DATA / f"{name}.crt.pem").read_bytes())


@cache
def bob() -> Identity:
    key = load_pem_private_key((DATA / "bob.key.pem").read_bytes(), None)
    return Identity("bob", key, certificate("bob"))  # type: ignore[arg-type]


TRUSTED = [certificate("alice"), certificate("eve")]


def load(name: str) -> mime.Entity:
    raw = (DATA / name).read_bytes()
    return mime.parse(raw) if name.endswith(".mime") else mime.of_http("application/pkcs7-mime", "", raw)


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
    got = message.read(load(name), bob(), TRUSTED, most=MOST)
    assert got.payload == Payload("application/EDI-X12", CONTENT)
    assert got.layers == layers
    assert got.mic == mic_of(covered, got.micalg)


@pytest.mark.parametrize(
    ("name", "modifier"),
    [("signed-sha1.mime", Modifier.AUTHENTICATION), ("encrypted-3des.der", Modifier.SECURITY)],
)
def test_legacy_algorithms_only_where_a_partnership_allows(name: str, modifier: Modifier) -> None:
    with pytest.raises(As2Error) as caught:
        message.read(load(name), bob(), TRUSTED, most=MOST)
    assert caught.value.modifier is modifier
    assert message.read(load(name), bob(), TRUSTED, most=MOST, legacy=True).payload.content == CONTENT


def test_messages_of_a_library_that_is_not_ours() -> None:
    alice = identity("alice made here")
    body = (
        pkcs7.PKCS7SignatureBuilder()
        .set_data(PLAIN)
        .add_signer(alice.certificate, alice.key, hashes.SHA384())
        .sign(serialization.Encoding.SMIME, [pkcs7.PKCS7Options.DetachedSignature, pkcs7.PKCS7Options.Binary])
    )
    got = message.read(mime.parse(body), bob(), [alice.certificate], most=MOST)
    assert got.signed and got.payload.content.strip() == CONTENT.strip()
    sealed = (
        pkcs7.PKCS7EnvelopeBuilder()
        .set_data(PLAIN)
        .add_recipient(bob().certificate)
        .encrypt(serialization.Encoding.DER, [pkcs7.PKCS7Options.Binary])
    )
    got = message.read(mime.of_http("application/pkcs7-mime", "", sealed), bob(), [], most=MOST)
    assert got.encrypted and got.payload.content == CONTENT


def test_our_signatures_and_envelopes_are_read_by_a_library_that_is_not_ours() -> None:
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
def test_what_we_build_we_read_with_the_same_mic_in_every_combination(kind: str) -> None:
    sender = identity("sender", kind)
    content = b"\r\n\n binary \x00\xff --boundary\r\n" * 50
    for combination in COMBINATIONS:
        security = Security(*combination)
        built = message.build(
            Payload("application/octet-stream", content), security, sender, bob().certificate
        )
        got = message.read(
            mime.of_http(built.content_type, "", built.body), bob(), [sender.certificate], most=MOST
        )
        assert got.payload.content == content, combination
        assert (got.mic, got.micalg) == (built.mic, built.micalg), combination
        assert got.signed == bool(security.sign) and got.encrypted == bool(security.encrypt)


def test_the_mic_covers_what_the_standard_says() -> None:
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
        message.read(mime.parse(raw), bob(), TRUSTED, most=MOST)
    assert caught.value.modifier is Modifier.INTEGRITY


def test_line_ends_changed_on_the_way_are_put_right_and_coding_may_be_any() -> None:
    raw = (DATA / "signed-detached.mime").read_bytes()
    assert message.read(mime.parse(raw.replace(b"\r\n", b"\n")), bob(), TRUSTED, most=MOST).signed
    whole = load("encrypted-aes128.der")
    coded = mime.of_http(
        "application/x-pkcs7-mime; smime-type=enveloped-data", "BASE64", base64.encodebytes(whole.body)
    )
    assert message.read(coded, bob(), TRUSTED, most=MOST).signed


def test_a_stranger_s_signature_and_a_stranger_s_envelope_are_turned_away() -> None:
    with pytest.raises(As2Error) as caught:
        message.read(load("signed-detached.mime"), bob(), [certificate("eve")], most=MOST)
    assert caught.value.modifier is Modifier.AUTHENTICATION
    with pytest.raises(As2Error) as caught:
        message.read(load("encrypted-aes128.der"), identity("other"), TRUSTED, most=MOST)
    assert caught.value.modifier is Modifier.DECRYPTION


def test_bombs_depth_and_nests_end_in_the_codec_s_own_error() -> None:
    bomb = cms.compress(b"\0" * 5_000_000)
    assert len(bomb) < 10_000
    with pytest.raises(As2Error) as caught:
        message.read(mime.of_http("application/pkcs7-mime", "", bomb), bob(), [], most=1_000_000)
    assert caught.value.modifier is Modifier.DECOMPRESSION
    for deep in (b"\x30\x80" * 10_000, b"\x24\x80" * 10_000 + b"\0" * 20_000):
        with pytest.raises(As2Error):
            message.read(mime.of_http("application/pkcs7-mime", "", deep), bob(), [], most=MOST)
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
        message.read(mime.parse(body), bob(), [], most=MOST)


SEEDS = [path.read_bytes() for path in sorted(DATA.iterdir()) if path.suffix in (".mime", ".der")]


@settings(max_examples=300, deadline=None)
@given(data=st.data())
def test_parsing_raises_nothing_but_the_codec_s_error(data: st.DataObject) -> None:
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
    ways: list[Callable[[], mime.Entity]] = [
        lambda: mime.parse(bytes(raw)),
        lambda: mime.of_http(kind, "", bytes(raw)),
    ]
    for entity_of in ways:
        try:
            entity = entity_of()
            message.read(entity, bob(), TRUSTED, most=MOST, legacy=True)
            mdn.parse(entity, TRUSTED)
        except As2Error:
            pass
        try:
            mdn.parse(entity_of(), TRUSTED)
        except As2Error:
            pass
    inspect.explain(bytes(raw), bob(), TRUSTED)


# ---- receipts


def roundtrip(receipt: Mdn, sign: str = "sha256") -> Mdn:
    content_type, body = mdn.build(receipt, identity("sender"), sign)
    return mdn.parse(mime.of_http(content_type, "", body), [identity("sender").certificate])


@pytest.mark.parametrize("sign", ["", "sha256", "sha512"])
def test_receipts_come_back_as_they_were_meant(sign: str) -> None:
    told = Mdn(
        "<a b@c>",
        Disposition("processed", "error", "decryption-failed"),
        "bWlj",
        "sha256",
        "my name",
        "",
        "sorry",
    )
    got = roundtrip(told, sign)
    assert (got.signer is not None) == bool(sign)
    assert (got.original_message_id, got.disposition, got.mic, got.micalg, got.final_recipient, got.text) == (
        "<a b@c>",
        told.disposition,
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
def test_dispositions_as_they_are_seen(
    text: str, kind: str, severity: str, modifier: str, good: bool
) -> None:
    got = Disposition.of(text)
    assert (got.kind, got.severity, got.modifier, got.good) == (kind, severity, modifier, good)


@pytest.mark.parametrize("spelled", ["sha256", "sha-256", "SHA256", "SHA-256", "rsa-sha256", '"sha-256"'])
def test_digests_however_they_are_spelled(spelled: str) -> None:
    assert cms.digest_name(spelled) == "sha256"


def test_text_parts_in_odd_places_do_not_hide_the_notification() -> None:
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
    ("shown", "meant"),
    [
        ("ACME", "ACME"),
        ('"ACME Corp"', "ACME Corp"),
        ("ACME Corp", "ACME Corp"),
        ("AC\r\n ME", "AC ME"),
        (r'"a\"b\\c"', 'a"b\\c'),
        ("acme", "acme"),
    ],
)
def test_names_folded_quoted_and_spaced(shown: str, meant: str) -> None:
    assert mime.as2_name(shown) == meant
    assert mime.as2_name(mime.shown_name(meant)) == meant


@pytest.mark.parametrize("bad", ["", " ", "x" * 129, "a\nb", "a\x00b", "caf\xe9"])
def test_names_that_are_none(bad: str) -> None:
    with pytest.raises(As2Error):
        mime.as2_name(bad)


@pytest.mark.parametrize("bad", ["", "a\r\nX: y", "x" * 999, "a\x00"])
def test_message_ids_that_are_none(bad: str) -> None:
    with pytest.raises(As2Error):
        mime.message_id(bad)


def test_a_certificate_with_a_key_that_is_none_is_shown_as_unreadable() -> None:
    """Found by fuzzing: parts of a certificate are only read when they are asked for."""
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
