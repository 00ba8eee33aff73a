"""Versions of the list that are behind or equal, and changes at each loop turn between a submission and its call."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import pytest
import structlog

from brassweir.core.ports import Answer, FinalAnswer, Payload, Submission
from brassweir.interface import EntryState
from brassweir.relay import settings
from brassweir.relay.endpoint_list import Change, Target
from brassweir.service.node import NodeProcess
from tests.relay.virtual_time import BlackholeAddress, Peer, answer_200, run_virtual
from tests.relay.world import configuration

CHANGE_TURNS = range(12)  # loop turns from the submission on: the call has begun long before the last


def target(uid: str, state: str = "active", endpoint: str = "127.0.0.1:1") -> Target:
    return Target(uid, endpoint, 1, state, "a", "office", 50.0)


def process(directory: Path, *targets: Target, rev: int = 5) -> NodeProcess:
    """A sender that knows these endpoints and does not listen."""
    config: dict[str, Any] = configuration()
    sender = NodeProcess(
        settings.parse_config(json.dumps(config).encode()), directory, structlog.get_logger()
    )
    sender._recover()
    sender.list.apply(Change(rev, True, list(targets)))
    return sender


@pytest.mark.parametrize(
    ("change", "more", "states", "rev"),
    [
        (
            Change(4, True, [target("a"), target("b")]),
            [],
            {"a": EntryState.READY, "b": EntryState.DRAINING},
            5,
        ),
        (Change(4, False, [target("b")]), [], {"a": EntryState.READY, "b": EntryState.DRAINING}, 5),
        (Change(4, True, []), [], {"a": EntryState.READY, "b": EntryState.DRAINING}, 5),
        (
            Change(5, True, [target("a"), target("b", "leaving")]),
            [],
            {"a": EntryState.READY, "b": EntryState.DRAINING},
            5,
        ),
        (Change(5, False, []), [], {"a": EntryState.READY, "b": EntryState.DRAINING}, 5),
        (
            Change(5, False, [target("c")]),
            [],
            {"a": EntryState.READY, "b": EntryState.DRAINING, "c": EntryState.READY},
            5,
        ),
        (Change(6, True, [target("b", "leaving")]), [], {"b": EntryState.DRAINING}, 6),
        (
            Change(6, True, [target("a", "leaving"), target("b")]),
            [],
            {"a": EntryState.DRAINING, "b": EntryState.READY},
            6,
        ),
        (Change(9, False, [target("a", "left")]), [], {"b": EntryState.DRAINING}, 9),
        (Change(6, True, []), [Change(7, False, [target("a")])], {"a": EntryState.READY}, 7),
        (
            Change(6, True, []),
            [Change(5, True, [target("a")]), Change(6, True, [target("b")])],
            {"b": EntryState.READY},
            6,
        ),
    ],
    ids=[
        "a snapshot that is behind",
        "a delta that is behind",
        "an empty snapshot that is behind",
        "the same version",
        "no change",
        "the same version with more",
        "a snapshot without an endpoint",
        "a snapshot that swaps the states",
        "skipped versions",
        "a missing endpoint returns",
        "behind, then caught up",
    ],
)
def test_what_a_version_may_change(
    tmp_path: Path, change: Change, more: list[Change], states: dict[str, EntryState], rev: int
) -> None:
    """As after a move to an agent that is behind, equal or ahead."""

    async def scenario() -> None:
        sender = process(tmp_path, target("a"), target("b", "leaving"))
        await asyncio.sleep(0.0)
        for update in (change, *more):
            sender.list.apply(update)
            await asyncio.sleep(0.01)
        known = sender.list.endpoints.known
        assert (
            {name: info.state for name, info in known.items()}
            == states
            == {name: info.state for name, info in sender.engine.endpoints.items()}
        )
        assert sender.list.endpoints.rev == rev and set(sender.list.endpoints.urls) == set(states)
        usable = {
            name
            for dest in sender.engine.sender.destinations.values()
            for name, endpoint in dest.endpoints.items()
            if endpoint.usable
        }
        assert not usable - {name for name, state in states.items() if state is EntryState.READY}
        sender.journal.close()

    run_virtual(scenario())


@pytest.mark.parametrize("turns", CHANGE_TURNS)
@pytest.mark.parametrize("state", ["leaving", "left"])
def test_changes_at_each_turn_from_a_submission_to_its_call(tmp_path: Path, turns: int, state: str) -> None:
    """The only endpoint drains while the message is on its way from the journal to a connection that is never
    established: the message goes to the new endpoint at once."""

    async def scenario() -> None:
        async with Peer(answer_200) as other:
            with BlackholeAddress() as full:
                sender = process(tmp_path, target("a", "active", full))
                answers: list[FinalAnswer] = []
                sender.engine.submit(
                    Submission("c", "m1", "pay", 1, 4000.0, payload=Payload("", b"x")), answers.append
                )
                for _ in range(turns):
                    await asyncio.sleep(0.0)
                sender.list.apply(
                    Change(6, False, [target("a", state, full), target("b", "active", other.address)])
                )
                await asyncio.sleep(0.1)
                assert [answer.answer for answer in answers] == [Answer.DELIVERED] and len(
                    other.requests
                ) == 1
                assert not sender.engine.unstarted.by_destination
                await asyncio.sleep(0.5)  # the connection setup has timed out
                assert f"http://{full}/receive a" not in sender.pools.budget.holders
            sender.journal.close()

    run_virtual(scenario())
