"""Webhooks: the signature of the specification, and every ending."""

from __future__ import annotations

import base64

import pytest

from brassweir.core.http_responses import ServerHints
from brassweir.core.ports import Payload
from brassweir.interface import Result
from brassweir.webhook import codec, endings
from brassweir.webhook.codec import WebhookError

SECRET = "whsec_MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw"  # the specification's own example
KEY = codec.parse_secret(SECRET)


def test_the_example_of_the_specification() -> None:
    signed = codec.signature(KEY, "msg_p5jXN8AQM9LWM0D4loKWxJek", 1614265330, b'{"test": 2432232314}')
    assert signed == "v1,g0hM9SsE+OTPJTGt/tmIKtSyZlE3uFJELVlNIOLJ1OE="


def test_a_receiver_takes_what_we_send_and_nothing_else() -> None:
    other = codec.parse_secret(base64.b64encode(b"another key, long enough").decode())
    fields = dict(codec.headers("id1", 1000, Payload("application/json", b"{}"), (other, KEY)))
    check = (fields["webhook-id"], fields["webhook-timestamp"], fields["webhook-signature"])
    codec.verify((KEY,), *check, b"{}", 1100.0)
    codec.verify((other,), *check, b"{}", 1100.0)
    assert fields["Idempotency-Key"] == '"id1"'
    for ident, stamp, signature, content, now in (
        ("id2", check[1], check[2], b"{}", 1000.0),
        (check[0], "1001", check[2], b"{}", 1000.0),
        (*check, b"{ }", 1000.0),
        (*check, b"{}", 1301.0),
        (*check, b"{}", 600.0),
        (check[0], "soon", check[2], b"{}", 1000.0),
        (check[0], check[1], "v1,xx v2 ü", b"{}", 1000.0),
    ):
        with pytest.raises(WebhookError):
            codec.verify((KEY,), ident, stamp, signature, content, now)
    assert "webhook-signature" not in dict(codec.headers("id1", 1000, Payload("a/b", b""), ()))


@pytest.mark.parametrize(
    "text", ["", "whsec_", "whsec_c2hvcnQ=", "not base64!", base64.b64encode(b"x" * 65).decode()]
)
def test_secrets_that_are_none(text: str) -> None:
    with pytest.raises(WebhookError):
        codec.parse_secret(text)


@pytest.mark.parametrize(
    ("code", "wait", "result", "ran", "rejected"),
    [
        (200, 0.0, Result.OK, True, False),
        (204, 0.0, Result.OK, True, False),
        (429, 0.0, Result.BUSY, False, False),
        (503, 2000.0, Result.BUSY, False, False),
        (503, 0.0, Result.ERROR, True, False),
        (500, 0.0, Result.ERROR, True, False),
        (302, 0.0, Result.ERROR, True, False),
        (408, 0.0, Result.ERROR, True, False),
        (400, 0.0, Result.OK, True, True),
        (404, 0.0, Result.OK, True, True),
        (410, 0.0, Result.OK, True, True),
    ],
)
def test_endings(code: int, wait: float, result: Result, ran: bool, rejected: bool) -> None:
    got = endings.status(code, ServerHints(wait))
    assert (got.result, got.may_have_run, got.rejected) == (result, ran, rejected)
