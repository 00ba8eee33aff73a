"""Parsing of MSG.PUT: valid submissions and each kind of invalid one."""

from __future__ import annotations

import pytest

from brassweir.core.ports import Payload
from brassweir.interface import Effect, MessageClass
from brassweir.resp.msg_put import InvalidSubmission, parse

CLASSES = {
    "note": MessageClass("note", 1000.0, 9000.0, Effect.SAFE),
    "order": MessageClass("order", 1000.0, 9000.0, Effect.KEYED, window=4000.0),
    "line": MessageClass("line", 1000.0, 9000.0, Effect.UNSAFE, in_order=True),
}


def args(names: bytes, ident: bytes = b"ab12", body: bytes = b"\r\n\0x", key: bytes = b"0000") -> list[bytes]:
    return [b"MSG.PUT", key, ident, names, body]


def test_valid_submission() -> None:
    submission = parse(args(b"c=order,d=12000,k=k1,dest=7,again=1,new=thing"), CLASSES, {7}.__contains__)
    assert (submission.identity, submission.class_name, submission.destination, submission.key) == (
        "ab12",
        "order",
        7,
        "",
    )
    assert submission.resent and submission.time_left == 9000.0, "limited by the deadline of the class"
    assert submission.payload == Payload("application/octet-stream", b"\r\n\0x", "k1")
    assert not parse(args(b"c=note,d=1.5,dest=7"), CLASSES, {7}.__contains__).resent


@pytest.mark.parametrize(
    ("name", "key", "order"), [(b"line", b"0af1", "0af1"), (b"line", b"0000", ""), (b"note", b"0af1", "")]
)
def test_order_key_is_used_only_if_the_class_requires_order(name: bytes, key: bytes, order: str) -> None:
    assert parse(args(b"c=" + name + b",d=100,dest=7", key=key), CLASSES, {7}.__contains__).key == order


@pytest.mark.parametrize(
    "names",
    [
        b"",
        b"c=note",
        b"c=note,d=100",
        b"c=none,d=100,dest=7",
        b"c=note,d=x,dest=7",
        b"c=note,d=-5,dest=7",
        b"c=note,d=nan,dest=7",
        b"c=note,d=1e9,dest=7",
        b"c=note,d=,dest=7",
        b"c=note,d=0,dest=7",
        b"c=note,d=100,dest=8",
        b"c=note,d=100,dest=-7",
        b"c=note,d=100,dest=7,d=200",
        b"c=note,d=100,dest=7,oops",
        b"c=order,d=100,dest=7",
        b"c=order,d=100,dest=7,k=a b",
        b"c=note,d=100,dest=7,k=\r\nX: y",
        b"c=\xff,d=100,dest=7",
    ],
)
def test_invalid_names(names: bytes) -> None:
    with pytest.raises(InvalidSubmission):
        parse(args(names), CLASSES, {7}.__contains__)


@pytest.mark.parametrize(
    "command",
    [
        args(b"c=note,d=100,dest=7", ident=b""),
        args(b"c=note,d=100,dest=7", ident=b"a" * 65),
        args(b"c=note,d=100,dest=7", ident=b"a\r\nb"),
        args(b"c=note,d=100,dest=7", body=b"x" * 65_537),
        args(b"c=note,d=100,dest=7")[:4],
        [*args(b"c=note,d=100,dest=7"), b""],
    ],
)
def test_invalid_arguments(command: list[bytes]) -> None:
    with pytest.raises(InvalidSubmission):
        parse(command, CLASSES, {7}.__contains__)
