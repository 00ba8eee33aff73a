"""AS2 over real sockets: lost, late, early and repeated receipts, dropped connections, drains, requested waits."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import pytest

from brassweir.lab.models.desk import Manner
from brassweir.lab.rigs.script import Day
from brassweir.lab.standins.works import Trouble
from tests.conftest import run
from tests.lab.runs import Ran, order, ran, short_day
from tests.lab.side import side_by_side

ASYNC = {"bank": Manner(asynchronous=True)}


def lost() -> Day:
    """The partner executes payments but loses all receipts for a while."""
    orders = [order(0.5, "p-pay", "payment"), order(0.5, "p-key", "order"), order(0.5, "p-safe", "status")]
    return short_day(6.0, orders, {"bank": [Trouble("lost", 0.0, 1.0)]})


def check_lost(got: Ran) -> None:
    assert (got.answers("p-pay"), got.effects("p-pay"), len(got.arrivals("p-pay"))) == (["failed"], 1, 1)
    assert got.answers("p-key") == ["delivered"] and got.effects("p-key") == 1
    calls = got.arrivals("p-key")
    assert len(calls) >= 2 and len({call.ident for call in calls}) == 1, "all attempts carry one Message-ID"
    assert got.answers("p-safe") == ["delivered"] and got.effects("p-safe") >= 2


def too_late() -> Day:
    """The message's deadline passes before the receipt arrives."""
    return short_day(
        5.0,
        [order(0.4, "p-1", "payment", left=1.0)],
        {"bank": [Trouble("slow", 0.0, 3.0, factor=30.0)]},
        {"bank": Manner(service=0.05)},
    )


def check_too_late(got: Ran) -> None:
    assert got.answers("p-1") == ["failed"] and got.effects("p-1") == 1
    assert len(got.arrivals("p-1")) == 1, "no attempt after the deadline"
    assert [line["result"] for line in got.notes("late_outcome")] == ["ok"], "the late receipt is recorded"


def early() -> Day:
    """An asynchronous receipt arrives before the response to the post."""
    return short_day(
        3.0, [order(0.4, "p-1", "payment")], {"bank": [Trouble("early_receipt", 0.0, 3.0)]}, ASYNC
    )


def second() -> Day:
    """An asynchronous receipt arrives twice."""
    return short_day(
        3.0, [order(0.4, "p-1", "payment")], {"bank": [Trouble("second_receipt", 0.0, 3.0)]}, ASYNC
    )


def after() -> Day:
    """An asynchronous receipt arrives after the deadline."""
    return short_day(
        6.0, [order(0.4, "p-1", "payment", left=2.0)], {"bank": [Trouble("late_receipt", 0.0, 3.0)]}, ASYNC
    )


def check_early(got: Ran) -> None:
    assert got.answers("p-1") == ["delivered"] and got.effects("p-1") == 1


def check_second(got: Ran) -> None:
    check_early(got)
    assert [line["verdict"] for line in got.notes("stray_receipt")] == ["second"]


def check_after(got: Ran) -> None:
    assert got.answers("p-1") == ["failed"] and got.effects("p-1") == 1 and len(got.arrivals("p-1")) == 1
    assert got.notes("stray_receipt") or got.notes("late_outcome")


def drained_endpoint() -> Day:
    """An endpoint is drained while receipts are lost: the next attempt uses another endpoint."""
    day = short_day(
        6.0,
        [order(0.4, "p-key", "order"), order(2.5, "p-new", "status")],
        {"bank": [Trouble("lost", 0.0, 1.0)]},
    )
    day.lists = [(0.7, {"bank-a": "draining"})]
    return day


def check_drained_endpoint(got: Ran) -> None:
    assert got.answers("p-key") == ["delivered"] and got.effects("p-key") == 1
    calls = got.arrivals("p-key")
    assert len(calls) >= 2 and calls[-1].endpoint == "bank-b"
    assert {call.endpoint for call in got.arrivals("p-new")} == {"bank-b"}


def dropped() -> Day:
    """A client drops its connection and repeats the message under the same Message-ID."""
    slow = {"bank": Manner(service=0.6)}
    return short_day(4.0, [order(0.4, "p-during", "payment", drops=True)], {}, slow)


def check_dropped(got: Ran) -> None:
    assert got.answers("p-during") == ["dropped", "delivered"]
    assert len(got.arrivals("p-during")) == 1 and got.effects("p-during") == 1
    assert [line["how"] for line in got.notes("taken")] == ["new", "joined"]


def waiting() -> Day:
    """A partner requests a wait while twenty messages to it are queued."""
    orders = [order(0.3, "p-first", "status")] + [
        order(0.6 + 0.02 * i, f"p-{i}", "payment") for i in range(20)
    ]
    return short_day(6.0, orders, {"bank": [Trouble("shut", 0.0, 2.5, factor=1.0)]})


def check_waiting(got: Ran) -> None:
    held = [f"p-{i}" for i in range(20)]
    assert sum(got.effects(one) for one in held) >= 12 and all(got.effects(one) <= 1 for one in held)
    assert got.report.verdict.tested[6] > 0


def burst() -> Day:
    """The sender is drained in the middle of a burst."""
    orders = [
        order(0.5 + 0.01 * i, f"p-{i}", ("payment", "order", "status")[i % 3], key=str(i), left=4.0)
        for i in range(60)
    ]
    day = short_day(6.0, orders, {}, {"bank": Manner(service=0.1, workers=3)})
    day.drains = [(0.8, 0)]
    return day


def check_burst(got: Ran) -> None:
    assert got.report.drains[0]["exit"] == 0
    told = [got.answers(f"p-{i}")[-1] for i in range(60)]
    assert told.count("delivered") >= 20 and "unanswered" not in told


def async_client() -> Day:
    """An asynchronous client gets a receipt at its registered URL, and again when it repeats the message."""
    return short_day(
        4.0,
        [order(0.4, "p-1", "payment"), order(0.5, "p-2", "order", drops=True)],
        partners={"bank": Manner(service=0.3)},
        asynchronous=1,
    )


def check_async_client(got: Ran) -> None:
    assert got.answers("p-1") == ["accepted", "delivered"]
    assert got.answers("p-2")[-1] == "delivered" and got.effects("p-2") == 1


BAD = ("bad_mic", "wrong_signer", "unsigned", "other_message", "garbage", "cut_head", "reset_after")


def bad_receipts() -> Day:
    """Every kind of invalid receipt, each from its own partner: none counts, none causes a second payment."""
    return short_day(
        5.0,
        [order(0.4 + 0.1 * i, f"p-{kind}", "payment", kind) for i, kind in enumerate(BAD)],
        {kind: [Trouble(kind, 0.0, 4.0)] for kind in BAD},
        {kind: Manner() for kind in BAD},
    )


def check_bad_receipts(got: Ran) -> None:
    for kind in BAD:
        assert (got.answers(f"p-{kind}"), got.effects(f"p-{kind}")) == (["failed"], 1), kind


CASES: dict[str, Any] = {
    "lost": (lost, check_lost),
    "too_late": (too_late, check_too_late),
    "early": (early, check_early),
    "second": (second, check_second),
    "after": (after, check_after),
    "drained_endpoint": (drained_endpoint, check_drained_endpoint),
    "dropped": (dropped, check_dropped),
    "waiting": (waiting, check_waiting),
    "burst": (burst, check_burst),
    "async_client": (async_client, check_async_client),
    "bad_receipts": (bad_receipts, check_bad_receipts),
}


def play_case(name: str, folder: Path) -> str:
    """Play and check one case in a process of its own; return the problem, or an empty string."""
    got = run(ran(CASES[name][0](), folder))
    if not got.report.verdict.clean:
        return f"rules broken: {got.report.verdict.broken}"
    try:
        CASES[name][1](got)
    except AssertionError as error:
        told = {
            payment: got.answers(payment)
            for payment in sorted({one.payment for _, one in CASES[name][0]().orders})
        }
        return f"{error} {told} {got.notes('late_outcome')} {got.notes('stray_receipt')}"
    return ""


@pytest.fixture(scope="module")
def problems(tmp_path_factory: pytest.TempPathFactory) -> dict[str, str]:
    """Play all cases side by side, the longest first."""
    longest = sorted(
        CASES, key=lambda name: (name not in ("waiting", "bad_receipts"), -CASES[name][0]().seconds)
    )
    return {
        name: found
        for (name,), found in side_by_side(play_case, [(one,) for one in longest], tmp_path_factory).items()
    }


@pytest.mark.parametrize("name", list(CASES))
def test_hard_case(problems: dict[str, str], name: str) -> None:
    assert not problems[name], problems[name]
