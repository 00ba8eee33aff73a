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
from tests.relay.settings_samples import ABSENT, changed_config, classes


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
@pytest.mark.parametrize("value", [ABSENT, None])
def test_optional_settings_may_be_absent(name: str, value: object) -> None:
    assert len(settings.parse_config(changed_config(**{name: value})).settings.classes) == 3


@pytest.mark.parametrize(
    ("changes", "field"),
    [
        ({"Allowed__ConnectTimeout": ABSENT}, "Allowed.ConnectTimeout"),
        ({"Allowed": 7}, "Allowed.MaxOpen"),
        ({"Classes": []}, "Classes.count"),
        ({"Classes": {}}, "Classes.count"),
        ({"Classes": [7, {"Name": "a"}]}, "Classes.0.Idempotency"),
        ({"Classes__1__Name": ABSENT}, "Classes.1.Name"),
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
def test_invalid_settings_raise_one_line_that_names_the_field(changes: dict[str, Any], field: str) -> None:
    with pytest.raises(settings.NodeConfigError, match=field) as caught:
        settings.parse_config(changed_config(**changes))
    assert "\n" not in str(caught.value) and len(str(caught.value)) < 300


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"[]",
        b"null",
        b"\xff\xfe",
        changed_config()[:-1],
        changed_config(Note="deep").replace(b'"deep"', b'{"a":' * 5000 + b"1" + b"}" * 5000),
        changed_config(Note="deep").replace(b'"deep"', b'{"a":' * 985 + b"1" + b"}" * 985),
    ],
)
def test_a_malformed_file_raises_no_other_error(data: bytes) -> None:
    try:
        settings.parse_config(data)
    except settings.NodeConfigError as error:
        assert "\n" not in str(error)


@pytest.mark.parametrize("name", ["a b", "a=b", "Gate.open/2", "größe", "__", "7"])
def test_a_class_is_found_by_its_exact_name(name: str) -> None:
    classes_by_name = {
        cls.name: cls
        for cls in settings.parse_config(changed_config(Classes=classes({"Name": name}))).settings.classes
    }
    args = [b"MSG.PUT", b"0", b"id", f"c={name},d=100,dest=7".encode(), b""]
    assert msg_put.parse(args, classes_by_name, {7}.__contains__).class_name == name
    assert settings.parse_config(
        changed_config(Skus=[name, "x"], Specifics__KindApart=[True])
    ).settings.kinds == (
        DestinationKind(name, True),
        DestinationKind("x"),
    )


def test_one_class_and_sixty() -> None:
    for count in (1, 60):
        config = settings.parse_config(
            changed_config(Classes=classes(*({"Name": f"c{i}", "HardLimit": 300 + i} for i in range(count))))
        ).settings
        assert [(cls.name, cls.deadline) for cls in config.classes] == [
            (f"c{i}", 300.0 + i) for i in range(count)
        ]
    with pytest.raises(settings.NodeConfigError, match="classes") as caught:
        settings.parse_config(changed_config(Classes=classes(*({"Name": f"c{i % 59}"} for i in range(60)))))
    assert len(str(caught.value)) < 500, "the names, not the full settings of sixty classes"


def test_an_integer_may_be_written_as_a_float() -> None:
    config = settings.parse_config(
        changed_config(
            Specifics__CallSlots=30.0, Allowed__MaxOpen=6e1, Specifics__KindBatch=[1.0], Balancers=2.0
        )
    ).settings
    assert (config.slots, config.max_open, config.senders) == (30, 60, 2)


@pytest.mark.parametrize(("mode", "asks"), [("push", False), ("ask", True), ("odd", False), (3, False)])
def test_the_list_is_watched_whatever_its_mode(mode: object, asks: bool) -> None:
    """The watch is opened in every mode; the mode only lets the decision module request the list as well."""
    assert settings.parse_config(changed_config(RegistryMode=mode)).settings.request_list is asks


@pytest.mark.parametrize("names", [["x0", "x1"], ["x1", "x0"], ["x1"], [], ["load"]])
def test_a_load_report_is_parsed_in_any_order(names: list[str]) -> None:
    settings.parse_config(changed_config(Report__Names=names))
    values = {"x0": "0.4", "x1": "25", "load": "7"}
    text = ",".join(f"{name}={values[name]}" for name in names)
    assert outcomes.parse_load_report(text) == (
        0.4 if "x0" in names else None,
        25.0 if "x1" in names else None,
    )


@pytest.mark.parametrize(
    "more", [{}, {"Projects": [{"Name": "hill", "QuotaRps": 3.5}, {"Name": "lake"}]}, {"Projects": []}]
)
def test_tenants_do_not_change_the_settings(more: dict[str, Any]) -> None:
    assert (
        settings.parse_config(changed_config(**more)).settings
        == settings.parse_config(changed_config()).settings
    )


@pytest.mark.parametrize("window", [0, ABSENT])
def test_a_keyed_class_without_a_window_is_sent_once(window: object) -> None:
    config = settings.parse_config(
        changed_config(Classes=classes({"Idempotency": "token"}), Classes__0__Window=window)
    ).settings
    assert (config.classes[0].effect, config.classes[0].window) == (Effect.KEYED, 0.0)
    sender = Sender(config, 1, 0.0)
    list_news = ListUpdate(ListKind.FULL, tuple(EndpointInfo(name, 1, "office") for name in "ab"))
    sent = [
        action
        for action in sender.handle(0.0, [list_news, NewMessage(1, "note", 1, 5000.0, "k")])
        if isinstance(action, Send)
    ]
    assert len(sent) == 1
    then = sender.handle(900.0, [AttemptEnded(1, 0, sent[0].endpoint, Result.TIMEOUT, 900.0)])
    assert not [action for action in then if isinstance(action, Send)], (
        "it may have run, and the endpoint would not drop a repeat"
    )


@pytest.mark.parametrize(
    ("deadlines", "seconds"), [((300.0,), 0.3), ((300.0, 2500.0), 2.5), ((1200.0, 28000.0), 28.0)]
)
def test_the_longest_deadline(deadlines: tuple[float, ...], seconds: float) -> None:
    config = classes(*({"Name": f"c{i}", "HardLimit": one} for i, one in enumerate(deadlines)))
    assert settings.parse_config(changed_config(Classes=config)).longest_deadline == seconds
