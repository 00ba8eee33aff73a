"""Older versions drop a message of an unknown kind; a plain core ignores it, and its event."""

from __future__ import annotations

import typing

import msgspec
import pytest

from brassweir.agreed import messages as m
from brassweir.agreed.events import Received, Send, VersionInForce
from brassweir.lab.models.logworld import World

ENVELOPE = m.Envelope(1, "g", "m", 1, 7, m.Acknowledge(3, (9, 0), (b"\1\2", b"\4"), 5))


def test_it_is_read_as_it_was_written() -> None:
    assert m.decode(m.encode(ENVELOPE)) == ENVELOPE


def test_an_older_version_drops_it() -> None:
    kinds = [kind for kind in typing.get_args(m.Message) if kind is not m.Acknowledge]
    older = msgspec.defstruct(
        "Envelope",
        [("version", int), ("group", str), ("member", str), ("life", int), ("nonce", int)]
        + [("body", typing.Union[tuple(kinds)])],  # noqa: UP007
        array_like=True,
    )
    decoder = msgspec.msgpack.Decoder(older)
    with pytest.raises(msgspec.ValidationError):
        decoder.decode(m.encode(ENVELOPE))
    pull = m.Envelope(1, "g", "m", 1, 7, m.PullEntries(4))
    assert decoder.decode(m.encode(pull)).body == m.PullEntries(4)  # type: ignore[attr-defined]


def test_a_plain_core_passes_message_and_fact_over() -> None:
    world = World(4, 3, 2)
    world.run(5_000.0)
    for name in world.names:
        core = world.nodes[name].core
        assert core is not None
        identity = core.identity
        envelope = m.Envelope(1, identity.group, "m", 1, 7, ENVELOPE.body)
        actions = core.step(world.now, [VersionInForce(3), Received("x", envelope)])
        assert not [
            action
            for action in actions
            if isinstance(action, Send) and isinstance(action.envelope.body, m.Acknowledge)
        ]
    world.propose("l1")
    world.run(world.now + 2_000.0)
    assert world.judge.told_of == 1
