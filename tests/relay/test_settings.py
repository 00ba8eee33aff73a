"""Settings of other deployments are accepted, or refused with one error that names the field."""

from __future__ import annotations

from typing import Any

import pytest

from brassweir.control import Sender
from brassweir.interface import (
    AttemptEnded,
    DestinationKind,
    Effect,
    EndpointInfo,
    ListKind,
    ListUpdate,
    NewMessage,
    Result,
    Send,
)
from brassweir.relay import outcomes, settings
from brassweir.resp import msg_put
from tests.relay.settings_samples import GONE, classes, told


@pytest.mark.parametrize(
    "name",
    [
        "Allowed__IdleClose",
        "Allowed__MaxRetryAfter",
        "Allowed__RetryAfter",
        "Allowed__SecondCopies",
        "Balancers",
        "RegistryMode",
        "Report",
        "Resolution",
        "Rules",
        "Skus",
        "Weights",
        "Specifics__KindApart",
        "Specifics__KindBatch",
        "Specifics__Decay",
        "Classes__0__Objective",
        "Classes__0__Window",
        "Classes__0__LateWorth",
        "Classes__0__Group",
    ],
)
@pytest.mark.parametrize("value", [GONE, None])
def test_what_may_be_absent_is_not_missed(name: str, value: object) -> None:
    assert len(settings.read(told(**{name: value})).settings.classes) == 3


@pytest.mark.parametrize(
    ("changes", "field"),
    [
        ({"Allowed__ConnectTimeout": GONE}, "Allowed.ConnectTimeout"),
        ({"Allowed": 7}, "Allowed.MaxOpen"),
        ({"Classes": []}, "Classes.count"),
        ({"Classes": {}}, "Classes.count"),
        ({"Classes": [7, {"Name": "a"}]}, "Classes.0.Idempotency"),
        ({"Classes__1__Name": GONE}, "Classes.1.Name"),
        ({"Classes__0__Idempotency": "odd"}, "Classes.0.Idempotency"),
        ({"Classes__0__HardLimit": 0}, "note.deadline"),
        ({"Classes__0__HardLimit": "soon"}, "Classes.0.HardLimit"),
        ({"Classes__0__Window": -1}, "note.window"),
        ({"Classes__1__Name": "note"}, "classes"),
        ({"Specifics__CallSlots": 2.5}, "Specifics.CallSlots"),
        ({"Specifics__KindBatch": ["x"]}, "Specifics.KindBatch"),
        ({"Skus": ["a", "a"]}, "kinds"),
        ({"Resolution": 0}, "tick"),
        ({"Rules__StartCapacity": 0}, "start_capacity"),
    ],
)
def test_what_cannot_be_served_is_one_line_that_names_the_field(changes: dict[str, Any], field: str) -> None:
    with pytest.raises(settings.NodeError, match=field) as caught:
        settings.read(told(**changes))
    assert "\n" not in str(caught.value) and len(str(caught.value)) < 300


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"[]",
        b"null",
        b"\xff\xfe",
        told()[:-1],
        told(Note="deep").replace(b'"deep"', b'{"a":' * 5000 + b"1" + b"}" * 5000),
        told(Note="deep").replace(b'"deep"', b'{"a":' * 985 + b"1" + b"}" * 985),
    ],
)
def test_a_file_that_is_no_configuration_is_no_other_error(data: bytes) -> None:
    try:
        settings.read(data)
    except settings.NodeError as error:
        assert "\n" not in str(error)


@pytest.mark.parametrize("name", ["a b", "a=b", "Gate.open/2", "größe", "__", "7"])
def test_a_class_is_found_by_its_name_as_it_stands(name: str) -> None:
    found = {cls.name: cls for cls in settings.read(told(Classes=classes({"Name": name}))).settings.classes}
    args = [b"MSG.PUT", b"0", b"id", f"c={name},d=100,dest=7".encode(), b""]
    assert msg_put.parse(args, found, {7}.__contains__).class_name == name
    assert settings.read(told(Skus=[name, "x"], Specifics__KindApart=[True])).settings.kinds == (
        DestinationKind(name, True),
        DestinationKind("x"),
    )


def test_one_class_and_sixty() -> None:
    for count in (1, 60):
        found = settings.read(
            told(Classes=classes(*({"Name": f"c{i}", "HardLimit": 300 + i} for i in range(count))))
        ).settings
        assert [(cls.name, cls.deadline) for cls in found.classes] == [
            (f"c{i}", 300.0 + i) for i in range(count)
        ]
    with pytest.raises(settings.NodeError, match="classes") as caught:
        settings.read(told(Classes=classes(*({"Name": f"c{i % 59}"} for i in range(60)))))
    assert len(str(caught.value)) < 500, "the names, not the full settings of sixty classes"


def test_a_whole_number_may_come_as_a_fraction() -> None:
    found = settings.read(
        told(Specifics__CallSlots=30.0, Allowed__MaxOpen=6e1, Specifics__KindBatch=[1.0], Balancers=2.0)
    ).settings
    assert (found.slots, found.max_open, found.senders) == (30, 60, 2)


@pytest.mark.parametrize(("mode", "asks"), [("push", False), ("ask", True), ("odd", False), (3, False)])
def test_the_list_is_watched_whatever_its_mode(mode: object, asks: bool) -> None:
    """The watch is opened in every mode; the mode only lets the decision module request the list as well."""
    assert settings.read(told(RegistryMode=mode)).settings.request_list is asks


@pytest.mark.parametrize("names", [["x0", "x1"], ["x1", "x0"], ["x1"], [], ["load"]])
def test_a_report_is_read_by_its_names_whatever_their_order(names: list[str]) -> None:
    settings.read(told(Report__Names=names))
    values = {"x0": "0.4", "x1": "25", "load": "7"}
    text = ",".join(f"{name}={values[name]}" for name in names)
    assert outcomes.report(text) == (0.4 if "x0" in names else None, 25.0 if "x1" in names else None)


@pytest.mark.parametrize(
    "more", [{}, {"Projects": [{"Name": "hill", "QuotaRps": 3.5}, {"Name": "lake"}]}, {"Projects": []}]
)
def test_tenants_are_no_matter_of_the_sender(more: dict[str, Any]) -> None:
    assert settings.read(told(**more)).settings == settings.read(told()).settings


@pytest.mark.parametrize("window", [0, GONE])
def test_a_keyed_class_without_a_window_goes_out_once(window: object) -> None:
    given = settings.read(told(Classes=classes({"Idempotency": "token"}), Classes__0__Window=window)).settings
    assert (given.classes[0].effect, given.classes[0].window) == (Effect.KEYED, 0.0)
    sender = Sender(given, 1, 0.0)
    list_news = ListUpdate(ListKind.FULL, tuple(EndpointInfo(name, 1, "office") for name in "ab"))
    sent = [
        one
        for one in sender.handle(0.0, [list_news, NewMessage(1, "note", 1, 5000.0, "k")])
        if isinstance(one, Send)
    ]
    assert len(sent) == 1
    then = sender.handle(900.0, [AttemptEnded(1, 0, sent[0].endpoint, Result.TIMEOUT, 900.0)])
    assert not [one for one in then if isinstance(one, Send)], (
        "it may have run, and the endpoint would not drop a repeat"
    )


@pytest.mark.parametrize(
    ("deadlines", "seconds"), [((300.0,), 0.3), ((300.0, 2500.0), 2.5), ((1200.0, 28000.0), 28.0)]
)
def test_the_longest_deadline(deadlines: tuple[float, ...], seconds: float) -> None:
    given = classes(*({"Name": f"c{i}", "HardLimit": one} for i, one in enumerate(deadlines)))
    assert settings.read(told(Classes=given)).longest == seconds
