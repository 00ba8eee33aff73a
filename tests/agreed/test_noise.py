"""No message of an authenticated copy makes a core raise."""

from __future__ import annotations

from random import Random
from typing import Any, get_args

import msgspec

from brassweir.agreed import messages as m
from brassweir.agreed.events import Received, Send, Write, Written
from brassweir.lab.models.logscene import NAMES, Scene, founded


def drawn(kind: Any, rng: Random) -> Any:
    """A random value of a field's type."""
    small = rng.choice((0, 1, 2, 3, 4, 7, 1 << 40))
    if kind is m.Entry:
        data = msgspec.msgpack.encode(m.Membership((("a", "aa"), ("b", "bb"))))
        return m.Entry(
            rng.randint(0, 6), rng.randint(0, 3), rng.randint(0, 3), rng.choice((b"", b"x", data)), "s", 1, 1
        )
    args = get_args(kind)
    if args and args[-1] is Ellipsis:
        return tuple(drawn(args[0], rng) for _ in range(rng.randint(0, 3)))
    if len(args) == 5:
        return ("aa", 1, 1, small, small)
    base = args[0] if args else kind
    return {
        bool: rng.random() < 0.5,
        str: rng.choice(("", "a", "b", "c", "s")),
        bytes: b"\x91x",
        int: small,
        float: 1.0,
    }[base]


def test_noise_is_borne() -> None:
    kinds = get_args(m.Message)
    types: dict[Any, Any] = {kind: msgspec.structs.fields(kind) for kind in kinds}
    for seed in range(60):
        rng = Random(seed)
        scene: Scene = founded()
        core = scene.places["a"].core
        core.rng = rng
        now = 0.0
        for _ in range(120):
            kind = rng.choice(kinds)
            body = kind(**{field.name: drawn(field.type, rng) for field in types[kind]})
            sender = rng.choice(NAMES[1:])
            envelope = m.Envelope(
                1, rng.choice(("g", "g", "g", "", "h")), sender * 2, rng.randint(0, 2), 1, body
            )
            now += rng.choice((0.0, 10.0, 700.0))
            for step in core.step(now, [Received(sender, envelope)]):
                if isinstance(step, Write):
                    core.step(now, [Written(step.token)])
                elif isinstance(step, Send):
                    m.decode(m.encode(step.envelope))
