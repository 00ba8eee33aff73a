"""Verdicts of one copy from drawn-up evidence: each doubt, each confirmation, distrust and the log's word."""

from __future__ import annotations

from typing import Any

import pytest

from brassweir.interface import EndpointInfo
from brassweir.sites.agreeing import agree
from brassweir.sites.evidence import WINDOW
from brassweir.sites.facts import Agreed, Copy, Ending, Facts, Peer, Setup, Witness, Word
from brassweir.sites.verdict import MOST_DISTRUST, MOST_WAIT, Verdicts

COPIES = tuple(Copy(f"{site}{i}", site) for site in "abc" for i in range(3))
SETUP = Setup(
    COPIES[0],
    COPIES,
    tuple(EndpointInfo(f"{site}-e{i}", i, "", zone=site, rate=100.0) for site in "abc" for i in range(2)),
)


class Bench:
    """Steps one copy's verdicts each quarter second with told shares of bad endings."""

    def __init__(self) -> None:
        self.verdicts, self.now = Verdicts(SETUP), 0.0

    def run(
        self,
        seconds: float,
        bad: dict[str, float],
        log: dict[str, Word] | None = None,
        since: float | None = None,
        lossy: bool = False,
        **facts: object,
    ) -> Bench:
        for _ in range(int(seconds * 4)):
            self.now += 250.0
            endings = [
                Ending(
                    one.name,
                    2.0 * (1.0 - bad.get(one.zone, 0.0)),
                    0.0 if lossy else 2.0 * bad.get(one.zone, 0.0),
                    2.0 * bad.get(one.zone, 0.0) if lossy else 0.0,
                )
                for one in SETUP.endpoints
            ]
            agreed = Agreed(1, self.now if since is None else since, log) if log is not None else None
            self.verdicts.step(self.now, Facts(tuple(endings), agreed=agreed, **facts), {})  # type: ignore[arg-type]
        return self

    def until(self, word: Word, bad: float) -> None:
        """Until site b has this word; at most two minutes."""
        for _ in range(480):
            if self.word("b") is word:
                return
            self.run(0.25, {"b": bad}, WELL)
        raise AssertionError(f"never {word}")

    def word(self, site: str) -> Word:
        return self.verdicts.sites[site].word


WELL = dict.fromkeys("abc", Word.WELL)


def test_one_site_fails_and_returns() -> None:
    bench = Bench().run(2, {}, WELL).run(1, {"b": 1.0}, WELL)
    assert bench.word("b") is Word.SUSPECTED
    assert bench.run(2.5, {"b": 1.0}, WELL).word("b") is Word.SUSPECTED, "on its own it waits to be sure"
    assert (
        bench.run(1.5, {"b": 1.0}, WELL).word("b") is Word.LOST
        and bench.word("a") is bench.word("c") is Word.WELL
    )
    assert bench.run(4, {}, WELL).word("b") is Word.RETURNING


@pytest.mark.parametrize(
    "facts",
    [
        {"peers": {"b0": Peer.DEAD, "b1": Peer.SUSPECTED}},
        {"witnesses": (Witness("c1", "b", Word.SUSPECTED, 100.0),)},
    ],
)
def test_silence_or_a_witness_of_a_third_site_shortens_the_doubt(facts: dict[str, Any]) -> None:
    assert Bench().run(2, {}, WELL).run(2.5, {"b": 1.0}, WELL, **facts).word("b") is Word.LOST


@pytest.mark.parametrize(
    "witness",
    [
        Witness("a1", "b", Word.LOST, 100.0),
        Witness("b1", "b", Word.LOST, 100.0),
        Witness("c1", "b", Word.LOST, 9000.0),
        Witness("x9", "b", Word.LOST, 100.0),
    ],
)
def test_a_witness_of_the_same_site_an_old_or_unlisted_one_does_not(witness: Witness) -> None:
    assert (
        Bench().run(2, {}, WELL).run(2.5, {"b": 1.0}, WELL, witnesses=(witness,)).word("b") is Word.SUSPECTED
    )


def test_copies_gone_and_endpoints_well_is_no_loss() -> None:
    assert Bench().run(20, {}, WELL, peers={f"b{i}": Peer.DEAD for i in range(3)}).word("b") is Word.WELL


def test_a_general_slowdown_and_an_own_stall_are_no_loss() -> None:
    assert all(
        Bench().run(10, {"a": 0.7, "b": 0.6, "c": 0.8}, WELL).word(site) is not Word.LOST for site in "abc"
    )
    assert Bench().run(2, {}, WELL).run(6, {"b": 1.0}, WELL, late=True).word("b") is not Word.LOST


def test_lost_answers_are_not_well_and_many_of_them_are_a_loss() -> None:
    assert Bench().run(6, {"b": 0.3}, WELL, lossy=True).word("b") is Word.SUSPECTED
    assert Bench().run(8, {"b": 0.8}, WELL, lossy=True).word("b") is Word.LOST


def test_who_sees_all_others_go_at_once_is_cut_off_unless_the_log_was_heard_since() -> None:
    gone = {"b": 1.0, "c": 1.0}
    cut = Bench().run(2, {}, WELL).run(12, gone, WELL, since=1900.0)
    assert (
        cut.verdicts.cut_off
        and Word.LOST not in {cut.word("b"), cut.word("c")}
        and cut.verdicts.says("b") is None
    )
    assert Bench().run(2, {}, WELL).run(12, gone, WELL).word("b") is Word.LOST, (
        "the log answers: two sites are gone"
    )
    one = Bench().run(2, {}).run(8, {"c": 1.0})
    assert not one.verdicts.cut_off and one.word("c") is Word.LOST, (
        "with the log out of reach it decides alone"
    )
    assert one.run(12, gone).word("b") is not Word.LOST, "the last other one: it cannot tell"


def test_the_logs_word_counts_within_its_lease_and_the_worse_of_two() -> None:
    lost = {**WELL, "b": Word.LOST}
    bench = Bench().run(2, {}, WELL).run(1, {}, lost)
    assert bench.word("b") is Word.LOST and bench.verdicts.says("b") is None, (
        "others' word is not passed on as its own"
    )
    assert Bench().run(2, {}, WELL).run(6, {}, lost, since=-9000.0).word("b") is Word.WELL, (
        "an old answer rules nothing"
    )
    assert Bench().run(2, {}, WELL).run(8, {"b": 1.0}, WELL).word("b") is Word.LOST, (
        "well says the log, which is behind"
    )


def test_distrust_grows_to_a_most_and_decays() -> None:
    bench, waits, confirms = Bench().run(1, {}, WELL), [], []
    for _ in range(7):
        start = bench.now
        bench.until(Word.LOST, 1.0)
        lost = bench.now
        confirms.append(lost - start)
        bench.until(Word.RETURNING, 0.0)
        waits.append(bench.now - lost)
        bench.run(2, {}, WELL)
    assert (
        waits[1:5] == sorted(waits[1:5]) and waits[4] > 2 * waits[1] and waits[-1] <= MOST_WAIT + 2 * WINDOW
    )
    assert confirms[-1] < confirms[0]
    assert MOST_DISTRUST * 0.8 < bench.verdicts.distrust(bench.now, "b") <= MOST_DISTRUST
    assert bench.verdicts.distrust(bench.now + 3_600_000.0, "b") < 0.01


def test_the_fleets_word_needs_voices_of_sites() -> None:
    def said(**words: Word) -> dict[str, Word]:
        return {copy.name: words[copy.site] for copy in COPIES if copy.site in words}

    lost, well, back = Word.LOST, Word.WELL, Word.RETURNING
    assert agree(well, "b", said(a=lost, c=lost), COPIES) is lost
    assert agree(well, "b", said(a=lost, b=well, c=lost), COPIES) is lost, (
        "its own copies may be cut from nothing but the world"
    )
    assert agree(well, "b", said(a=lost, b=well, c=well), COPIES) is well, "one site's path to it is down"
    assert agree(well, "b", {"a0": lost, "a1": well, "a2": well, "c0": lost}, COPIES) is well, (
        "one copy of a is not site a"
    )
    assert (
        agree(lost, "b", said(a=back, c=lost), COPIES) is lost
        and agree(lost, "b", said(a=back), COPIES) is back
    )
    assert (
        agree(back, "b", said(a=well, c=back), COPIES) is back
        and agree(back, "b", said(a=well, c=well), COPIES) is well
    )
    assert agree(back, "b", said(a=lost, c=lost), COPIES) is lost and agree(lost, "b", {}, COPIES) is lost


def test_bad_setups_name_the_field() -> None:
    for field, value in (
        ("cold", -1.0),
        ("start_capacity", 0.0),
        ("spill", 1.5),
        ("copies", (*COPIES, COPIES[0])),
        ("own", Copy("x", "a")),
    ):
        given = {"own": COPIES[0], "copies": COPIES, "endpoints": SETUP.endpoints, field: value}
        with pytest.raises(ValueError, match=field):
            Setup(**given)  # type: ignore[arg-type]
