"""Outcomes of calls, statuses and receipts: the result, and whether the message may have taken effect."""

from __future__ import annotations

import pytest

from brassweir.as2 import outcomes
from brassweir.as2.errors import As2Error, Modifier
from brassweir.as2.mdn import Disposition, Mdn
from brassweir.as2.outcomes import Expected
from brassweir.core.http_responses import ServerHints, no_answer, read_hints
from brassweir.interface import Result
from tests.conftest import identity

EXPECTED = Expected("<a@b>", "mic", "sha256", signed=True, repeat=False)


def receipt(
    severity: str = "",
    modifier: str = "",
    kind: str = "processed",
    *,
    ident: str = "<a@b>",
    mic: str = "mic",
    micalg: str = "sha256",
    signed: bool = True,
) -> Mdn:
    return Mdn(
        ident,
        Disposition(kind, severity, modifier),
        mic,
        micalg,
        signer=identity("p").certificate if signed else None,
    )


@pytest.mark.parametrize(
    ("connected", "written", "late", "result", "ran"),
    [
        (False, False, False, Result.NO_CONNECTION, False),
        (False, False, True, Result.NO_CONNECTION, False),
        (True, False, False, Result.NO_CONNECTION, False),
        (True, True, False, Result.RESET, True),
        (True, True, True, Result.TIMEOUT, True),
    ],
)
def test_calls_without_an_answer(
    connected: bool, written: bool, late: bool, result: Result, ran: bool
) -> None:
    got = no_answer(connected, written, late, "x")
    assert (got.result, got.may_have_run) == (result, ran)


@pytest.mark.parametrize(
    ("code", "wait", "result", "ran", "rejected"),
    [
        (429, 0.0, Result.BUSY, False, False),
        (429, 2000.0, Result.BUSY, False, False),
        (503, 2000.0, Result.BUSY, False, False),
        (503, 0.0, Result.ERROR, True, False),
        (500, 0.0, Result.ERROR, True, False),
        (502, 0.0, Result.ERROR, True, False),
        (504, 2000.0, Result.ERROR, True, False),
        (302, 0.0, Result.ERROR, True, False),
        (400, 0.0, Result.ERROR, True, False),
        (401, 0.0, Result.ERROR, True, False),
        (404, 0.0, Result.ERROR, True, False),
        (408, 0.0, Result.ERROR, True, False),
        (413, 0.0, Result.OK, True, True),
        (415, 0.0, Result.OK, True, True),
        (422, 0.0, Result.OK, True, True),
    ],
)
def test_statuses(code: int, wait: float, result: Result, ran: bool, rejected: bool) -> None:
    got = outcomes.of_status(code, ServerHints(wait), frozenset({429}))
    assert got is not None
    assert (got.result, got.may_have_run, got.rejected) == (result, ran, rejected)
    assert got.wait == (wait if result is Result.BUSY else 0.0)
    assert outcomes.of_status(200, ServerHints(), frozenset()) is None


@pytest.mark.parametrize(
    ("got", "result", "rejected"),
    [
        (receipt(), Result.OK, False),
        (receipt(micalg=""), Result.OK, False),
        (receipt("warning", "duplicate-document"), Result.OK, False),
        (receipt("warning", "something odd"), Result.OK, False),
        (receipt(signed=False), Result.ERROR, False),
        (receipt(ident="<other@b>"), Result.ERROR, False),
        (receipt(ident="a@b"), Result.OK, False),
        (receipt(mic="else"), Result.ERROR, False),
        (receipt(micalg="sha1"), Result.ERROR, False),
        (receipt(mic=""), Result.ERROR, False),
        (receipt("error", "authentication-failed"), Result.OK, True),
        (receipt("error", "decryption-failed"), Result.OK, True),
        (receipt("error", "decompression-failed"), Result.OK, True),
        (receipt("error", "insufficient-message-security"), Result.OK, True),
        (receipt("error", "duplicate-document"), Result.OK, True),
        (receipt("failure", "unsupported format", "failed"), Result.OK, True),
        (receipt("failure", "unsupported MIC-algorithms", "failed"), Result.OK, True),
        (receipt("failure", "sender-equals-receiver", "failed"), Result.OK, True),
        (receipt("error", "integrity-check-failed"), Result.ERROR, False),
        (receipt("error", "unexpected-processing-error"), Result.ERROR, False),
        (receipt("", "", "failed"), Result.ERROR, False),
        (receipt("", "", "denied"), Result.ERROR, False),
    ],
)
def test_receipts(got: Mdn, result: Result, rejected: bool) -> None:
    outcome = outcomes.of_receipt(got, EXPECTED, ServerHints(limit=4.0, limit_left=0.5))
    assert (outcome.result, outcome.rejected) == (result, rejected)
    assert (outcome.limit, outcome.limit_left) == (4.0, 0.5)
    assert outcome.may_have_run


def test_a_duplicate_reported_after_an_earlier_attempt_is_a_delivery() -> None:
    again = Expected("<a@b>", "mic", "sha256", signed=True, repeat=True)
    for severity in ("error", "warning"):
        got = outcomes.of_receipt(receipt(severity, "duplicate-document", mic=""), again, ServerHints())
        assert got.result is Result.OK and not got.rejected


def test_an_unreadable_receipt_leaves_the_effect_unknown() -> None:
    got = outcomes.of_unreadable_receipt(As2Error(Modifier.AUTHENTICATION, "x"), ServerHints())
    assert got.result is Result.ERROR and got.may_have_run and not got.rejected


WALL = 784111777.0  # Sun, 06 Nov 1994 08:49:37 GMT


@pytest.mark.parametrize(
    ("fields", "wait", "limit", "left"),
    [
        ({"retry-after": "3"}, 3000.0, None, None),
        ({"retry-after": "Sun, 06 Nov 1994 08:49:42 GMT"}, 5000.0, None, None),
        ({"retry-after": "Sun, 06 Nov 1994 08:49:30 GMT"}, 0.0, None, None),
        ({"retry-after": "soon"}, 0.0, None, None),
        ({"retry-after": "-4"}, 0.0, None, None),
        ({"ratelimit-policy": '"default";q=100;w=10', "ratelimit": '"default";r=25;t=3'}, 0.0, 10.0, 0.25),
        (
            {"ratelimit-policy": "100;w=10", "ratelimit-limit": "100", "ratelimit-remaining": "50"},
            0.0,
            10.0,
            0.5,
        ),
        ({"ratelimit-limit": "100", "ratelimit-remaining": "50"}, 0.0, None, None),
        ({"ratelimit-policy": '"default";q=0;w=0', "ratelimit": '"default";r=25'}, 0.0, None, None),
        ({"ratelimit-policy": ";;;=", "ratelimit": "\x00"}, 0.0, None, None),
    ],
)
def test_requested_waits_and_reported_limits(
    fields: dict[str, str], wait: float, limit: float | None, left: float | None
) -> None:
    got = read_hints(lambda name: fields.get(name, ""), WALL)
    assert (got.wait, got.limit, got.limit_left) == (wait, limit, left)
