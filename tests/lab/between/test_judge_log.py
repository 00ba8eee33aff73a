"""Each property of the agreed log, broken on a doctored tape, is seen."""

from __future__ import annotations

from dataclasses import replace

from brassweir.lab.between import judge_log
from brassweir.lab.between.seen import Folder, Told

LOG = {1: (1, "aa"), 2: (1, "bb"), 3: (2, "cc")}


def folder(at: float, copy: str, **more: object) -> Folder:
    return replace(Folder(at, copy, 0, 2, "a", 0, 0, "", dict(LOG), 2), **more)  # type: ignore[arg-type]


def told(at: float, copy: str, commit: int = 2, **more: object) -> Told:
    return replace(Told(at, copy, 0, "follower", 2, "a", commit, commit), **more)  # type: ignore[arg-type]


GOOD = [folder(at, copy) for at in (1.0, 2.0) for copy in "abc"]


def test_a_good_run_is_clean_and_is_put_to_the_test() -> None:
    answers = [told(0.5, "a", 1), told(1.5, "a", 2, role="leader")]
    for found in (
        judge_log.same(GOOD, answers),
        judge_log.kept(GOOD, answers, "abc"),
        judge_log.never_back(GOOD, answers),
        judge_log.one_leader(answers),
    ):
        assert not found.broken and found.tested


def test_different_entries_at_an_agreed_place_are_seen_and_others_pass() -> None:
    other = folder(3.0, "c", entries=LOG | {3: (1, "dd")})
    assert not judge_log.same([*GOOD, other], []).broken  # 3 is not agreed anywhere: it may yet be cut
    assert not judge_log.same([*GOOD, replace(other, at=0.2)], [told(0.5, "c", 3)]).broken
    assert (
        "entry 3 differs"
        in judge_log.same([*GOOD, other, folder(3.0, "b")], [told(2.5, "c", 3), told(2.5, "b", 3)]).broken[0]
    )
    assert (
        "entry 2 differs"
        in judge_log.same([*GOOD, folder(3.0, "c", entries=LOG | {2: (1, "dd")})], []).broken[0]
    )


def test_different_snapshots_are_seen() -> None:
    snaps = [folder(1.0, copy, snap=2, snap_digest=digest) for copy, digest in (("a", "x"), ("b", "y"))]
    assert "snapshot up to 2 differs" in judge_log.same(snaps, []).broken[0]


def test_a_told_entry_that_most_have_lost_is_seen() -> None:
    short = [folder(3.0, copy, entries={1: (1, "aa")}, agreed=1) for copy in "bc"]
    assert (
        "entry 2 was told and stands at the end at 1 of 3"
        in judge_log.kept([*GOOD, *short], [told(1.5, "a")], "abc").broken[0]
    )
    assert not judge_log.kept([*GOOD, short[0]], [told(1.5, "a")], "abc").broken
    # Another entry in its place is no keeping of it.
    other = [folder(3.0, copy, entries=LOG | {2: (3, "zz")}, agreed=1) for copy in "bc"]
    assert judge_log.kept([*GOOD, *other], [told(1.5, "a")], "abc").broken


def test_going_back_is_seen_in_one_life_only() -> None:
    for what in ({"term": 1}, {"agreed": 1}, {"vote": "b"}, {"vote": ""}):
        assert judge_log.never_back([folder(1.0, "a"), folder(2.0, "a", **what)], []).broken, what
        assert not judge_log.never_back([folder(1.0, "a"), folder(2.0, "a", life=1, **what)], []).broken
    assert not judge_log.never_back([folder(1.0, "a"), folder(2.0, "a", term=3, vote="b")], []).broken
    assert not judge_log.never_back([folder(1.0, "a"), folder(2.0, "a", vote="", member="new")], []).broken
    assert judge_log.never_back([folder(1.0, "a", base=2), folder(2.0, "a", base=1)], []).broken


def test_answers_that_go_back_are_seen() -> None:
    for what in ({"term": 1}, {"applied": 1}, {"granted": 4}):
        given = [told(1.0, "a", granted=5), told(1.2, "a", **({"granted": 5} | what))]
        assert judge_log.never_back([], given).broken, what
    assert (
        "its folder ends at 2"
        in judge_log.never_back(
            [folder(2.0, "a", entries={1: (1, "aa"), 2: (1, "bb")})], [told(1.0, "a", 3)]
        ).broken[0]
    )


def test_a_new_process_applies_anew_and_one_in_trouble_shows_nothing() -> None:
    for later in (told(1.2, "a", applied=0, run=2), told(1.2, "a", applied=0, term=0, trouble="disk full")):
        assert not judge_log.never_back([], [told(1.0, "a"), later]).broken


def test_two_leaders_of_one_term_are_seen() -> None:
    assert judge_log.one_leader([told(1.0, "a", role="leader"), told(5.0, "b", role="leader")]).broken
    assert not judge_log.one_leader(
        [told(1.0, "a", role="leader"), told(5.0, "b", role="leader", term=3)]
    ).broken


def test_different_states_at_one_index_are_seen() -> None:
    one, other = told(1.0, "a", index=7, digest="x"), told(2.0, "b", index=7, digest="y")
    assert "the state as of 7 differs" in judge_log.same_state([one, other]).broken[0]
    assert not judge_log.same_state([one, replace(other, index=8)]).broken
