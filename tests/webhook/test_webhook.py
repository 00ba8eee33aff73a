"""Webhooks: signatures as in the specification, and the outcome of each status."""

from __future__ import annotations

import base64

import pytest

from brassweir.core.http_responses import ServerHints
from brassweir.core.ports import Payload
from brassweir.interface import Result
from brassweir.webhook import codec, outcomes
from brassweir.webhook.codec import WebhookError

SECRET = "whsec_MfKQ9r8GKYqrTwjUPD8ILPZIo2LaLaSw"  # from the specification
KEY = codec.parse_secret(SECRET)


def test_signature_of_the_specification_example() -> None:
    signed = codec.sign(KEY, "msg_p5jXN8AQM9LWM0D4loKWxJek", 1614265330, b'{"test": 2432232314}')
    assert signed == "v1,g0hM9SsE+OTPJTGt/tmIKtSyZlE3uFJELVlNIOLJ1OE="


def test_receiver_accepts_only_unmodified_webhooks() -> None:
    other = codec.parse_secret(base64.b64encode(b"another key, long enough").decode())
    fields = dict(codec.headers("id1", 1000, Payload("application/json", b"{}"), (other, KEY)))
    received = (fields["webhook-id"], fields["webhook-timestamp"], fields["webhook-signature"])
    codec.verify((KEY,), *received, b"{}", 1100.0)
    codec.verify((other,), *received, b"{}", 1100.0)
    assert fields["Idempotency-Key"] == '"id1"'
    for webhook_id, timestamp, signature, content, now in (
        ("id2", received[1], received[2], b"{}", 1000.0),
        (received[0], "1001", received[2], b"{}", 1000.0),
        (*received, b"{ }", 1000.0),
        (*received, b"{}", 1301.0),
        (*received, b"{}", 600.0),
        (received[0], "soon", received[2], b"{}", 1000.0),
        (received[0], received[1], "v1,xx v2 ü", b"{}", 1000.0),
    ):
        with pytest.raises(WebhookError):
            codec.verify((KEY,), webhook_id, timestamp, signature, content, now)
    assert "webhook-signature" not in dict(codec.headers("id1", 1000, Payload("a/b", b""), ()))


@pytest.mark.parametrize(
    "text", ["", "whsec_", "whsec_c2hvcnQ=", "not base64!", base64.b64encode(b"x" * 65).decode()]
)
def test_invalid_secrets(text: str) -> None:
    with pytest.raises(WebhookError):
        codec.parse_secret(text)


@pytest.mark.parametrize(
    ("status", "wait", "result", "ran", "rejected"),
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
def test_outcomes(status: int, wait: float, result: Result, ran: bool, rejected: bool) -> None:
    outcome = outcomes.from_status(status, ServerHints(wait))
    assert (outcome.result, outcome.may_have_run, outcome.rejected) == (result, ran, rejected)
