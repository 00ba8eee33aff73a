"""Liveness, traffic and effects: each judge sees a doctored tape, and passes a good one."""

from __future__ import annotations

from dataclasses import replace

from brassweir.lab.between import judge_effects, judge_live, judge_traffic
from brassweir.lab.between.seen import Away, Told
from brassweir.lab.between.tape import Fate, RelayTape
from brassweir.lab.judges.checker import judge
from brassweir.lab.judges.tape import Answered, Arrival, Effect, Ended, HandIn, Tape
from brassweir.lab.judges.verdict import ClassFigures

ALL = frozenset("abc")
CLASSES = {"payment": ClassFigures("unsafe"), "status": ClassFigures("safe")}


def told(at: float, copy: str, **more: object) -> Told:
    return replace(Told(at, copy, 0, "leader" if copy == "a" else "follower", 2, "a", 2, 2, ALL), **more)  # type: ignore[arg-type]


def test_one_that_is_not_taken_back_is_seen() -> None:
    good = [told(11.0 + i, copy) for i in range(3) for copy in "abc"]
    assert judge_live.together_again(good, "abc", 10.0, 2.0).figures["slowest_s"] == 1.0
    blind = [replace(one, alive=frozenset("ab")) if one.copy == "b" else one for one in good]
    assert "b did not take all for alive" in judge_live.together_again(blind, "abc", 10.0, 2.0).broken[0]
    assert "silent" in judge_live.together_again(good[:2], "abc", 10.0, 2.0).broken[0]
    assert len(judge_live.together_again(good, "abc", 10.0, 0.5).broken) == 3


def test_no_leader_or_a_late_one_is_seen() -> None:
    assert (
        judge_live.leads_again([told(11.0, copy) for copy in "abc"], "abc", 10.0, 2.0).figures["took_s"]
        == 1.0
    )
    assert "13.0" not in str(
        judge_live.leads_again([told(13.0, copy) for copy in "abc"], "abc", 10.0, 3.0).broken
    )
    assert judge_live.leads_again([told(13.0, copy) for copy in "abc"], "abc", 10.0, 2.0).broken
    alone = [told(11.0, "a"), told(11.0, "b", leader=""), told(11.0, "c", leader="")]
    assert "no leader" in judge_live.leads_again(alone, "abc", 10.0, 2.0).broken[0]


def test_one_that_stays_behind_or_takes_no_part_is_seen() -> None:
    good = [told(at, copy, commit=5, applied=5, granted=1) for at in (1.0, 9.0) for copy in "abc"]
    assert not judge_live.caught_up(good, "abc", 4.0).broken
    assert (
        "has applied 4"
        in judge_live.caught_up([*good, told(9.5, "b", applied=4, granted=1)], "abc", 4.0).broken[0]
    )
    assert not judge_live.caught_up(
        [*good, told(9.0, "c", commit=6, applied=5, granted=1)], "abc", 4.0
    ).broken
    assert (
        "disk"
        in judge_live.caught_up([*good, told(9.5, "b", applied=5, trouble="disk")], "abc", 4.0).broken[0]
    )
    assert "no grants" in judge_live.caught_up([*good, told(9.5, "b", applied=5)], "abc", 4.0).broken[0]
    assert "silent" in judge_live.caught_up(good[:1], "ab", 4.0).broken[0]


def test_voters_that_are_not_those_wanted_are_seen() -> None:
    good = [
        told(at, copy, voters=frozenset("abd" if at > 5 else "abc")) for at in (1.0, 9.0) for copy in "abd"
    ]
    assert not judge_live.voters_as_wanted(good, "abd", "abd").broken
    for late in (frozenset("abc"), frozenset("abcd"), frozenset("ab"), frozenset()):
        found = judge_live.voters_as_wanted([*good, told(9.5, "d", voters=late)], "abd", "abd")
        assert len(found.broken) == 1 and found.broken[0].startswith("d shows"), late
    assert "c shows nobody" in judge_live.voters_as_wanted(good, "abc", "abd").broken[0]


def test_a_false_death_is_seen_and_a_cut_or_a_stall_excuses_one() -> None:
    lies = [told(10.0, "a", dead=frozenset("b"))]
    assert judge_live.no_false_death(lies, [], [], 3.0).broken
    assert judge_live.no_false_death(lies, [Away("b", 1.0, 5.0)], [("a", "c", 1.0, 9.0)], 3.0).broken
    assert not judge_live.no_false_death(lies, [Away("b", 1.0, 8.0)], [], 3.0).broken
    assert not judge_live.no_false_death(lies, [], [("b", "a", 1.0, 8.0)], 3.0).broken


def test_loud_and_silent_copies_are_seen() -> None:
    tape = RelayTape(["a", "b"])
    for i in range(100):
        tape.add(i / 10.0, "a", "b", 100, Fate.PASSED, "live")
        tape.add(i / 10.0, "a", "b", 5000, Fate.PASSED, "log")
        tape.add(i / 10.0, "b", "a", 100, Fate.LOST, "live")
    found = judge_traffic.traffic(tape, 0.0, 10.0)
    assert not found.broken and found.figures["bytes_a_second_most"] == 1000.0
    assert found.figures["messages_a_second_mean"] == 15.0
    assert judge_traffic.traffic(tape, 0.0, 10.0, most=900.0).broken
    assert [one[0] for one in judge_traffic.traffic(tape, 0.0, 10.0, most=900.0, gone="a").broken] == ["b"]
    assert "nothing" in judge_traffic.traffic(RelayTape(["a", "b"], tape.seen[:2]), 0.0, 10.0).broken[0]


def payment(*copies: str, how: str = "done") -> Tape:
    seen: list[object] = [HandIn(1.0, "office", "s1", "<1>", "p-1", "payment", "", "bank", 0, 4.0)]
    for number, copy in enumerate(copies):
        seen += [
            Arrival(1.5 + number, number, "bank", "bank-a", copy, "<1>", "p-1"),
            Ended(1.6 + number, number, "bank", copy, how if number == 0 else "done"),
        ]
    return Tape(seen)  # type: ignore[arg-type]


def test_a_message_of_two_regions_is_seen() -> None:
    regions = {"s1": "east", "s2": "east", "s4": "west"}
    assert judge_effects.one_region(payment("s1", "s4"), CLASSES, regions).broken
    assert not judge_effects.one_region(payment("s1", "s2"), CLASSES, regions).broken
    assert not judge_effects.one_region(payment("s1", "s4", how="full"), CLASSES, regions).broken
    assert judge_effects.one_region(payment("s1"), CLASSES, regions).tested == 1


def test_only_a_copy_that_was_away_excuses_a_missing_answer() -> None:
    def left(away: list[Away]) -> int:
        verdict = judge(payment("s1"), CLASSES)
        assert verdict.broken[1] == ["p-1 never had an answer"]
        judge_effects.excuse(verdict, payment("s1"), away, 0.0, 2.0)
        return len(verdict.broken[1])

    assert left([]) == left([Away("s2", 2.0, 3.0)]) == left([Away("s1", 7.5, 9.0)]) == 1
    assert left([Away("s1", 2.0, 3.0)]) == 0


def test_a_word_that_is_untrue_is_never_excused() -> None:
    tape = Tape([*payment().seen, Answered(2.0, "office", "<1>", "p-1", "delivered", 0)])
    verdict = judge(tape, CLASSES)
    assert judge_effects.excuse(verdict, tape, [Away("s1", 0.0, 9.0)], 0.0, 2.0) == 0 and verdict.broken[1]


def test_not_here_is_no_answer_where_there_is_another() -> None:
    away = Answered(
        2.5, "office", "<1>", "p-1", "refused", 0, reason="not here: this message belongs to west"
    )
    whole = [
        *payment("s1").seen,
        Effect(1.6, "bank", "p-1", "<1>"),
        Answered(2.0, "office", "<1>", "p-1", "lost", 0),
    ]
    assert (
        "never had an answer" in judge(judge_effects.own_answers(Tape([*whole, away])), CLASSES).broken[1][0]
    )
    done = Answered(3.0, "office", "<1>", "p-1", "delivered", 1)
    assert judge(judge_effects.own_answers(Tape([*whole, away, done])), CLASSES).clean
    assert judge_effects.own_answers(Tape([*payment().seen, away])).seen[-1] is away
