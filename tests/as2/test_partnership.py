"""Class, key and time left from rules and headers; matching of receipts; options for requested receipts."""

from __future__ import annotations

import re

import pytest

from brassweir.as2 import mdn
from brassweir.as2.errors import As2Error, Modifier
from brassweir.as2.mdn import Disposition, Mdn
from brassweir.as2.partnership import Client, Partnerships, Rule, map_headers, onward_id
from brassweir.as2.receipts import Receipts, Verdict
from brassweir.interface import Effect, MessageClass
from tests.conftest import identity

CLASSES = {
    "pay": MessageClass("pay", 1000.0, 60_000.0, Effect.UNSAFE),
    "any": MessageClass("any", 1000.0, 5_000.0, Effect.SAFE),
}
CLIENT = Client(
    "office 1",
    (),
    frozenset({"bank"}),
    (Rule(re.compile(r"^pay (?P<key>\w+)?"), "pay"), Rule(re.compile("."), "any")),
)
NOW_SECONDS = 784111777.0
DATE = "Sun, 06 Nov 1994 08:49:37 GMT"
LATER = "Sun, 06 Nov 1994 08:49:57 GMT"


@pytest.mark.parametrize(
    ("headers", "cls", "key", "left"),
    [
        ({"subject": "pay k7 x"}, "pay", "office 1\nk7", 59_900.0),
        ({"subject": "pay "}, "pay", "", 59_900.0),
        ({"subject": "hello"}, "any", "", 4_900.0),
        ({"subject": "pay k", "prefer": "wait=10"}, "pay", "office 1\nk", 9_900.0),
        ({"subject": "pay k", "prefer": 'respond-async, wait="10"; x=y'}, "pay", "office 1\nk", 9_900.0),
        ({"subject": "hello", "prefer": "wait=100"}, "any", "", 4_900.0),
        ({"subject": "pay k", "expires": LATER}, "pay", "office 1\nk", 19_900.0),
        # The client's clock is a day fast: Expires counts from its own Date.
        (
            {
                "subject": "pay k",
                "expires": "Mon, 07 Nov 1994 08:49:57 GMT",
                "date": "Mon, 07 Nov 1994 08:49:37 GMT",
            },
            "pay",
            "office 1\nk",
            19_900.0,
        ),
        ({"subject": "pay k", "expires": "whenever"}, "pay", "office 1\nk", 59_900.0),
    ],
)
def test_class_key_and_time_left_from_headers(
    headers: dict[str, str], cls: str, key: str, left: float
) -> None:
    got = map_headers(CLIENT, CLASSES, lambda name: headers.get(name, ""), NOW_SECONDS, 100.0)
    assert (got.class_name, got.key, got.left_ms) == (cls, key, left)


@pytest.mark.parametrize(
    "headers",
    [{"subject": ""}, {"subject": "pay k", "expires": DATE}, {"subject": "pay k", "prefer": "wait=0"}],
)
def test_a_message_without_class_or_time_left_is_rejected(headers: dict[str, str]) -> None:
    with pytest.raises(As2Error):
        map_headers(CLIENT, CLASSES, lambda name: headers.get(name, ""), NOW_SECONDS, 100.0)


def test_only_agreed_partnerships() -> None:
    receipts = Partnerships(identity("hub"), {"office 1": CLIENT}, {}, CLASSES)
    for sender, receiver in (
        ("office 1", "bank"),
        ("office 1", "other"),
        ("OFFICE 1", "bank"),
        ("x", "bank"),
    ):
        with pytest.raises(As2Error):
            receipts.client(sender, receiver)


def test_the_onward_id_is_stable_and_valid_in_a_header() -> None:
    first = onward_id("office 1", "bank\n<a@b>", "hub one")
    assert first == onward_id("office 1", "bank\n<a@b>", "hub one")
    assert first != onward_id("office 2", "bank\n<a@b>", "hub one")
    assert re.fullmatch(r"<[0-9a-f]{40}@hub-one>", first)


def receipt(ident: str) -> Mdn:
    return Mdn(ident, Disposition())


def test_expected_late_repeated_unknown_and_another_partner_s_receipts() -> None:
    receipts, got = Receipts(), list[Mdn]()
    receipts.expect("<a@h>", "bank", got.append)
    assert receipts.receive("rail", receipt("<a@h>")) is Verdict.WRONG_PARTNER and not got
    assert receipts.receive("bank", receipt("a@h")) is Verdict.DUE and len(got) == 1
    assert receipts.receive("bank", receipt("<a@h>")) is Verdict.SECOND and len(got) == 1
    assert receipts.receive("bank", receipt("<b@h>")) is Verdict.UNKNOWN
    receipts.expect("<c@h>", "bank", got.append)
    receipts.attempt_ended("<c@h>")
    assert receipts.receive("bank", receipt("<c@h>")) is Verdict.LATE and len(got) == 1


def test_remembered_receipts_are_limited_and_expected_ones_stay() -> None:
    receipts = Receipts(max_remembered=10)
    for i in range(50):
        receipts.expect(f"<{i}@h>", "bank", lambda _: None)
    for i in range(49):
        receipts.attempt_ended(f"<{i}@h>")
    assert len(receipts.expected) == 10 and receipts.receive("bank", receipt("<49@h>")) is Verdict.DUE


@pytest.mark.parametrize(
    ("options", "signed", "digest"),
    [
        ("", False, "sha256"),
        (
            "signed-receipt-protocol=optional, pkcs7-signature; signed-receipt-micalg=optional, sha1, md5",
            True,
            "sha1",
        ),
        (
            "signed-receipt-protocol=required,pkcs7-signature;signed-receipt-micalg=required,md5,SHA-512",
            True,
            "sha512",
        ),
        ("signed-receipt-protocol=optional, pgp-signature", False, "sha256"),
        (";;;=,", False, "sha256"),
    ],
)
def test_signature_and_digest_requested_of_a_receipt(options: str, signed: bool, digest: str) -> None:
    got = mdn.parse_receipt_request("me", options, "")
    assert (got.signed, got.micalg) == (signed, digest)


@pytest.mark.parametrize(
    ("options", "modifier"),
    [
        ("signed-receipt-protocol=required, pgp-signature", Modifier.FORMAT),
        ("signed-receipt-micalg=required, md5", Modifier.MIC),
    ],
)
def test_required_options_that_are_not_supported(options: str, modifier: Modifier) -> None:
    with pytest.raises(As2Error) as caught:
        mdn.parse_receipt_request("me", options, "")
    assert caught.value.modifier is modifier
