"""Routing rules, replies and batching."""

from __future__ import annotations

import re

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from brassweir.config.tags import compile_pattern
from brassweir.core.ports import Answer, FinalAnswer
from brassweir.forward.decide import answers
from brassweir.forward.decide.answers import ReplyAction
from brassweir.forward.decide.batching import CallBatcher
from brassweir.forward.decide.rules import Body, TagRule, find_route


@pytest.mark.parametrize(
    ("pattern", "matching", "not_matching"),
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
def test_patterns_match_as_in_fluentd(pattern: str, matching: list[str], not_matching: list[str]) -> None:
    compiled = compile_pattern(pattern)
    assert [tag for tag in matching if not compiled.fullmatch(tag)] == []
    assert [tag for tag in not_matching if compiled.fullmatch(tag)] == []


@pytest.mark.parametrize("pattern", ["", "  ", "a..b", ".a", "a.", "{a", "a}", "{a,}", "{a,{b}}"])
def test_invalid_patterns_raise(pattern: str) -> None:
    with pytest.raises(ValueError):
        compile_pattern(pattern)


@given(st.text("ab.*{},", max_size=12))
@settings(max_examples=300, deadline=None)
def test_any_pattern_compiles_or_raises_value_error(pattern: str) -> None:
    try:
        assert isinstance(compile_pattern(pattern), re.Pattern)
    except ValueError:
        pass


def test_routes() -> None:
    rules = (
        TagRule("pay.*", "order", "bank-{1}", Body.PACKED, "{tag}"),
        TagRule("log.**", "status", "logs", key="all"),
        TagRule("x.**", "status", "deep-{2}"),
        TagRule("y", "status", "all-{tag}"),
    )
    route = find_route(rules, "edge", "pay.north")
    assert route is not None and (route.destination, route.class_name, route.body, route.key) == (
        "bank-north",
        "order",
        Body.PACKED,
        "edge\npay.north",
    )
    by_log_tag = find_route(rules, "edge", "log.a.b")
    assert by_log_tag is not None and (by_log_tag.destination, by_log_tag.key) == ("logs", "edge\nall")
    assert find_route(rules, "edge", "x.1") is None, "the tag has no third part"
    by_whole_tag = find_route(rules, "edge", "y")
    assert by_whole_tag is not None and by_whole_tag.destination == "all-y"
    assert find_route(rules, "edge", "other") is None
    with pytest.raises(ValueError):
        TagRule("a", "status", "{who}")


def test_only_a_delivery_is_acked_without_storing() -> None:
    refused = FinalAnswer(Answer.REFUSED, "not now", 700.0)
    assert answers.final(FinalAnswer(Answer.DELIVERED), True).action is ReplyAction.ACK
    reply = answers.final(refused, True)
    assert (reply.action, reply.pause_ms) == (ReplyAction.CLOSE, 700.0)
    assert answers.final(refused, False).action is ReplyAction.STORE, "nobody would send it again"
    for ack_requested in (True, False):
        assert answers.final(FinalAnswer(Answer.FAILED, "no"), ack_requested).action is ReplyAction.STORE, (
            "it may have run: never again"
        )
    assert answers.unrouted("no rule", True).action is ReplyAction.CLOSE
    assert answers.unrouted("no rule", False).action is ReplyAction.STORE
    assert answers.unreadable("bad").action is ReplyAction.STORE


def test_batches_fill_up_to_their_size() -> None:
    batches = CallBatcher(2)
    assert batches.add("a", 1) is None and batches.add("b", 2) is None
    assert batches.add("a", 3) == [1, 3]
    assert batches.add("a", 4) is None
    assert batches.flush() == [("b", [2]), ("a", [4])] and batches.flush() == []
    assert CallBatcher(1).add("a", 1) == [1]
