"""Parsing of responses, load reports, the endpoint list and the configuration."""

from __future__ import annotations

import json
from typing import Any

import pytest

from brassweir.core.ports import Answer, FinalAnswer
from brassweir.interface import EntryState, ListKind, Result
from brassweir.relay import outcomes, settings
from brassweir.relay.endpoint_list import (
    Change,
    EndpointList,
    ListError,
    ObjectSplitter,
    Target,
    parse_change,
)
from brassweir.relay.notices import build_notice
from tests.relay.world import configuration


@pytest.mark.parametrize(
    ("code", "fields", "result", "wait", "may_have_run", "over"),
    [
        (200, {}, Result.OK, 0.0, True, False),
        (500, {}, Result.ERROR, 0.0, True, False),
        (429, {}, Result.BUSY, 0.0, False, False),
        (429, {"X-Backoff-Ms": "480"}, Result.BUSY, 480.0, False, False),
        (429, {"X-Backoff-Ms": "soon"}, Result.BUSY, 0.0, False, False),
        (503, {}, Result.BUSY, 0.0, False, False),
        (503, {"X-Egress-Full": "1"}, Result.NOT_STARTED, 0.0, False, False),
        (503, {"Connection": "close"}, Result.CONNECTION_LIMIT, 0.0, False, False),
        (503, {"Connection": "close", "X-Egress-Full": "1"}, Result.NOT_STARTED, 0.0, False, False),
        (503, {"Connection": "close", "X-Backend-Load": "x0=0,x1=9"}, Result.BUSY, 0.0, False, False),
        (504, {}, Result.NOT_STARTED, 0.0, False, False),
        (410, {}, Result.NOT_STARTED, 0.0, False, True),
        (302, {}, Result.ERROR, 0.0, True, False),
    ],
)
def test_each_response_status(
    code: int, fields: dict[str, str], result: Result, wait: float, may_have_run: bool, over: bool
) -> None:
    outcome = outcomes.response_outcome(code, lambda name: fields.get(name, ""), False)
    assert (outcome.result, outcome.wait, outcome.may_have_run, outcome.rejected) == (
        result,
        wait,
        may_have_run,
        over,
    )
    reused = outcomes.response_outcome(code, lambda name: fields.get(name, ""), True).result
    assert reused is (Result.BUSY if result is Result.CONNECTION_LIMIT else result), (
        "a reused connection cannot exceed the limit"
    )


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("x0=0.4,x1=25", (0.4, 25.0)),
        ("x1=25, x0=0", (0.0, 25.0)),
        ("x0=0.4", (0.4, None)),
        ("", (None, None)),
        ("x0=0.4,x1=", (None, None)),
        ("x0=nan,x1=2", (None, None)),
        ("x0=7,x1=2", (None, None)),
        ("x0=0.1,x0=0.2", (None, None)),
        ("{]", (None, None)),
        ("x0=0.4,x1=-2", (None, None)),
        ("x0=1" + "0" * 400, (None, None)),
    ],
)
def test_malformed_load_reports_are_ignored(text: str, expected: tuple[float | None, float | None]) -> None:
    assert outcomes.parse_load_report(text) == expected


def test_notices() -> None:
    assert build_notice("a", FinalAnswer(Answer.REFUSED, "", 480.7)).wait_ms == 480
    assert (
        build_notice("a", FinalAnswer(Answer.FAILED)).result,
        build_notice("a", FinalAnswer(Answer.REFUSED)).result,
    ) == ("dead", "bounced")


def configured(uid: str) -> dict[str, Any]:
    return {
        "uid": uid,
        "endpoint": "10.0.0.1:80",
        "pod_group": 1,
        "state": "active",
        "az": "nowhere",
        "model": "unheard of",
    }


def target(uid: str, state: str = "active", port: int = 80, home: int = 1) -> Target:
    return Target(uid, f"10.0.0.1:{port}", home, state, "a", "office", 4.0)


def test_a_list_reports_differences_with_drains_first() -> None:
    endpoint_list = EndpointList()
    endpoint_list.apply(Change(1, True, [target("a"), target("b"), target("c")]), ListKind.CACHED)
    update = endpoint_list.apply(Change(2, False, [target("d"), target("b", "leaving")]))
    assert [(info.name, info.state) for info in update.entries] == [
        ("b", EntryState.DRAINING),
        ("d", EntryState.READY),
    ]
    update = endpoint_list.apply(Change(3, True, [target("a"), target("d"), target("e", "leaving", 81)]))
    assert {(info.name, info.state) for info in update.entries} == {
        ("b", EntryState.GONE),
        ("c", EntryState.GONE),
        ("e", EntryState.DRAINING),
    }
    assert (
        endpoint_list.url("b") is None
        and endpoint_list.url("e") == "http://10.0.0.1:81/receive"
        and endpoint_list.rev == 3
    )
    assert endpoint_list.apply(Change(4, False, [target("z", "left")])).entries == (), (
        "never known, nothing changes"
    )
    assert (
        endpoint_list.knows_destination(1)
        and not endpoint_list.knows_destination(2)
        and set(endpoint_list.known) == {"a", "d", "e"} == set(endpoint_list.urls)
    )


def test_an_address_that_moves() -> None:
    endpoint_list = EndpointList()
    endpoint_list.apply(Change(1, True, [target("a")]))
    assert endpoint_list.apply(Change(2, False, [target("a", port=81)])).entries == ()
    assert endpoint_list.url("a") == "http://10.0.0.1:81/receive"


@pytest.mark.parametrize(
    "change",
    [
        {"state": "odd"},
        {"uid": ""},
        {"endpoint": "host:80"},
        {"endpoint": "10.0.0.1"},
        {"pod_group": "x"},
        {"capacity_hint": -1},
        {"endpoint": "10.0.0.1:99999"},
        {"pod_group": -1},
    ],
)
def test_an_invalid_list_is_refused_as_a_whole(change: dict[str, Any]) -> None:
    entry = {"uid": "a", "endpoint": "10.0.0.1:80", "pod_group": 1, "state": "active", **change}
    with pytest.raises(ListError):
        parse_change(json.dumps({"rev": 1, "all": True, "targets": [entry]}).encode())
    with pytest.raises(ListError):
        parse_change(b"\xff{")


def test_settings_are_parsed_by_the_adapter() -> None:
    given = configuration()
    given["settings"]["Specifics"]["KindBatch"] = [20]  # ignored: a call over HTTP carries one message
    config = settings.parse_config(json.dumps(given).encode())
    sets = config.settings
    assert (
        [cls.name for cls in sets.classes] == ["note", "order", "pay"]
        and sets.slots == 30
        and sets.concurrent_attempts
    )
    assert (
        (sets.kinds[0].name, sets.kinds[0].batch) == ("office", 1)
        and sets.few_connections
        and sets.weights == "rough"
        and config.seed == 0x1F
        and config.known is not None
    )


@pytest.mark.parametrize(
    ("change", "field"),
    [
        ({"listen": "somewhere"}, "listen"),
        ({"seed": "xyz"}, "seed"),
        ({"name": 3}, "name"),
        ({"limits": {"sockets": 3}}, "limits"),
        ({"settings": {}}, "Classes.count"),
        ({"settings": {**configuration()["settings"], "Balancers": 0}}, "senders"),
        ({"settings": {**configuration()["settings"], "Specifics": {"CallSlots": 0}}}, "slots"),
        ({"limits": {"disk_mb": 0}}, "limits"),
        ({"known": {"rev": 1, "all": True, "targets": [configured("a"), configured("a")]}}, "appears twice"),
        ({"known": {"rev": 1, "all": True, "targets": [{"uid": "a"}]}}, "endpoint"),
    ],
)
def test_an_invalid_configuration_names_its_field(change: dict[str, Any], field: str) -> None:
    with pytest.raises(settings.NodeConfigError, match=field):
        settings.parse_config(json.dumps({**configuration(), **change}).encode())


@pytest.mark.parametrize(
    "text",
    [
        '{"a": 1}\n\n{"b": 2}\n',
        '{\n "a": "}{",\n\n "b": {\n }\n}\n\r\n{"c": "\\"}"}\n',
        '{"a": "\\\\", "b": {"}": ["{"]\n}}\n\n',
        "]\n{}\n",
    ],
)
def test_objects_are_split_by_their_braces_in_any_chunks(text: str) -> None:
    whole = text.encode()
    wanted = [b"".join(item.split()) for item in ObjectSplitter(1000).feed(whole)]
    assert b"".join(wanted) == b"".join(whole.split()) and len(wanted) > 1
    for size in (1, 2, 3, 7):
        objects = ObjectSplitter(1000)
        pieces = [whole[i : i + size] for i in range(0, len(whole), size)]
        assert [b"".join(item.split()) for piece in pieces for item in objects.feed(piece)] == wanted


@pytest.mark.parametrize("part", [b"x", b'{"a":\n', b'"\\', b'"'])
def test_an_object_that_never_ends_is_bounded(part: bytes) -> None:
    objects = ObjectSplitter(1000)
    with pytest.raises(ListError, match="over 1000 bytes"):
        for _ in range(1001):
            assert list(objects.feed(part)) == []
    assert len(objects.object_lines) + len(objects.partial_line) <= 1000 + len(part)
