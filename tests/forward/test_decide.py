"""Rules, answers and joining."""

from __future__ import annotations

import re

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brassweir.config.tags import compile_pattern
from brassweir.core.ports import Answer, FinalAnswer
from brassweir.forward.decide import answers
from brassweir.forward.decide.answers import Tell
from brassweir.forward.decide.joining import Joining
from brassweir.forward.decide.rules import Body, TagRule, find_route


@pytest.mark.parametrize(
    ("pattern", "yes", "no"),
    [
        ("a.b", ["a.b"], ["a", "a.b.c", "axb"]),
        ("a.*", ["a.b"], ["a", "a.b.c"]),
        ("a.**", ["a", "a.b", "a.b.c"], ["ab", "b.a"]),
        ("**", ["a", "a.b", ""], []),
        ("**.c", ["c", "a.c", "a.b.c"], ["ac", "c.a"]),
        ("a.**.c", ["a.c", "a.b.c", "a.x.y.c"], ["a", "c", "a.bc"]),
        ("{a,b}.c", ["a.c", "b.c"], ["c", "ab.c"]),
        ("a.{b,c.**}", ["a.b", "a.c", "a.c.d"], ["a.b.d", "a"]),
        ("a b.*", ["a", "b.x"], ["b", "a b.x"]),
        ("app-*.log", ["app-1.log", "app-.log"], ["app-1.x.log", "app.log"]),
        ("a+(b)", ["a+(b)"], ["aab"]),
    ],
)
def test_patterns_match_as_fluentd_has_them(pattern: str, yes: list[str], no: list[str]) -> None:
    found = compile_pattern(pattern)
    assert [tag for tag in yes if not found.fullmatch(tag)] == []
    assert [tag for tag in no if found.fullmatch(tag)] == []


@pytest.mark.parametrize("pattern", ["", "  ", "a..b", ".a", "a.", "{a", "a}", "{a,}", "{a,{b}}"])
def test_patterns_that_mean_nothing(pattern: str) -> None:
    with pytest.raises(ValueError):
        compile_pattern(pattern)


@given(st.text("ab.*{},", max_size=12))
@settings(max_examples=300, deadline=None)
def test_no_pattern_breaks_the_maker(pattern: str) -> None:
    try:
        assert isinstance(compile_pattern(pattern), re.Pattern)
    except ValueError:
        pass


def test_places() -> None:
    rules = (
        TagRule("pay.*", "order", "bank-{1}", Body.PACKED, "{tag}"),
        TagRule("log.**", "status", "logs", key="all"),
        TagRule("x.**", "status", "deep-{2}"),
        TagRule("y", "status", "all-{tag}"),
    )
    one = find_route(rules, "edge", "pay.north")
    assert one is not None and (one.destination, one.class_name, one.body, one.key) == (
        "bank-north",
        "order",
        Body.PACKED,
        "edge\npay.north",
    )
    two = find_route(rules, "edge", "log.a.b")
    assert two is not None and (two.destination, two.key) == ("logs", "edge\nall")
    assert find_route(rules, "edge", "x.1") is None, "it has no third part"
    three = find_route(rules, "edge", "y")
    assert three is not None and three.destination == "all-y"
    assert find_route(rules, "edge", "other") is None
    with pytest.raises(ValueError):
        TagRule("a", "status", "{who}")


def test_answers_promise_no_more_than_is_so() -> None:
    refused = FinalAnswer(Answer.REFUSED, "not now", 700.0)
    assert answers.final(FinalAnswer(Answer.DELIVERED), True).action is Tell.ACK
    told = answers.final(refused, True)
    assert (told.action, told.pause_ms) == (Tell.CLOSE, 700.0)
    assert answers.final(refused, False).action is Tell.KEEP, "nobody would send it again"
    for asked in (True, False):
        assert answers.final(FinalAnswer(Answer.FAILED, "no"), asked).action is Tell.KEEP, (
            "it may have run: never again"
        )
    assert answers.unrouted("no rule", True).action is Tell.CLOSE
    assert answers.unrouted("no rule", False).action is Tell.KEEP
    assert answers.unreadable("bad").action is Tell.KEEP


def test_joining_fills_calls() -> None:
    joining = Joining(2)
    assert joining.add("a", 1) is None and joining.add("b", 2) is None
    assert joining.add("a", 3) == [1, 3]
    assert joining.add("a", 4) is None
    assert joining.rest() == [("b", [2]), ("a", [4])] and joining.rest() == []
    assert Joining(1).add("a", 1) == [1]
