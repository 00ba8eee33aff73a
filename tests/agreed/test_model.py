"""The exhaustive model: a short walk holds; missing safeguards are found by walking or by scripted moves."""

from __future__ import annotations

import dataclasses

import pytest

from brassweir.agreed import timing
from brassweir.agreed.core import Core
from brassweir.lab.models.logjudge import Broken
from brassweir.lab.models.logmodel import Model
from brassweir.lab.models.logscene import Bounds, Scene, founded
from tests.agreed import faults

LED = "campaign a; written a; VoteRequest ab; written b; VoteReply ba; written a"  # a leads in term 2
ACK = "AppendEntries ab; AppendReply ba; AppendEntries ab; AppendReply ba; written a; crash b; campaign b; written b; VoteRequest bc; written c; VoteReply cb"
REFUSED = "campaign {0}; written {0}; VoteRequest {0}b; VoteReply b{0}; "  # a term that b has voted in
OLD = (
    REFUSED.format("c")
    + "campaign c; written c; VoteRequest cb; written b; VoteReply bc; written c; "  # c leads in term 3
    + REFUSED.format("a")
    + "campaign a; written a; VoteRequest ab; written b; VoteReply ba; written a; "  # a in term 4
    "AppendEntries ab; AppendReply ba; AppendEntries ab; written b; AppendReply ba; written a; "  # a's entry of term 2 is at b
     + REFUSED.format("c") + "campaign c; written c; VoteRequest cb; written b; VoteReply bc"
)  # c in term 5


def led(core: type[Core]) -> tuple[Model, Scene]:
    model = Model(Bounds(in_flight=12), core)
    return model, model.follow(founded(core), LED)


def test_a_short_walk_holds() -> None:
    model = Model(Bounds(states=2_500))
    assert model.walk(founded()) >= 2_500
    small = Model(Bounds(terms=2, crashes=0, proposals=0, in_flight=1))
    assert small.walk(founded()) > 500 and small.whole


def test_a_vote_that_is_not_durable_elects_two() -> None:
    with pytest.raises(Broken, match="^one leader"):
        Model(Bounds(terms=2, proposals=0, in_flight=2), faults.VoteNotDurable).walk(
            founded(faults.VoteNotDurable)
        )


def test_an_ack_before_the_write_loses_what_was_agreed() -> None:
    model, scene = led(faults.AckBeforeDurable)
    with pytest.raises(Broken, match="^lost"):
        model.follow(scene, ACK)
    model, scene = led(Core)
    with pytest.raises(AssertionError, match="no AppendReply ba"):
        model.follow(scene, ACK)
    model.follow(
        scene, ACK.replace("AppendEntries ab;", "AppendEntries ab; written b;")
    )  # durable: and then b's log has it


@pytest.mark.parametrize("core, word", [(faults.CountsOlderTerms, "lost"), (Core, "")])
def test_an_entry_of_an_older_term_is_not_agreed_by_counting(
    core: type[Core], word: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(timing, "MAX_ENTRIES_BYTES", 1)
    model, scene = led(core)
    try:
        model.follow(dataclasses.replace(scene, net=frozenset()), OLD)
        assert not word
    except Broken as error:
        assert word and str(error).startswith(word)
