"""Calls queued in a pool while the list is unconfirmed: none begins on the outdated list."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from brassweir.core.ports import Answer, FinalAnswer, Payload, Submission
from brassweir.relay.endpoint_list import Change
from tests.relay.moved import Peer, moved, now, says_200
from tests.relay.test_list_crossings import process, target


async def slow(writer: asyncio.StreamWriter) -> None:
    """Answer after 0.2 s."""
    await asyncio.sleep(0.2)
    await says_200(writer)


@pytest.mark.parametrize("count", [2, 4])
def test_calls_queued_for_the_one_connection_wait_until_the_list_is_confirmed(
    tmp_path: Path, count: int
) -> None:
    """The connection becomes free after the watch was cut and before another one is confirmed."""

    async def play() -> None:
        async with Peer(slow) as old, Peer(says_200) as spare:
            sender = process(tmp_path, target("a", "active", old.address))
            sender.pools.connections_per_endpoint = 1
            answers: list[FinalAnswer] = []
            for i in range(count):
                given = Submission("c", f"m{i}", "note", 1, 4000.0, payload=Payload("", b"x"))
                sender.engine.submit(given, answers.append)
            await old.asked(1)
            sender.list.discovery.hearers.lost("cut", now())
            await asyncio.sleep(0.5)
            assert len(old.seen) == 1 and len(answers) == 1, (
                "the connection was free, and no call began on it"
            )
            sender.list.take(
                Change(6, False, [target("a", "leaving", old.address), target("b", "active", spare.address)])
            )
            sender.list.discovery.hearers.confirmed()
            await asyncio.sleep(0.5)
            assert [one.answer for one in answers] == [Answer.DELIVERED] * count
            assert len(old.seen) == 1 and len(spare.seen) == count - 1
            sender.journal.close()

    moved(play())


def test_a_repeat_that_is_due_meanwhile_waits_too(tmp_path: Path) -> None:
    """The first attempt breaks; its retry is due while the list is unconfirmed."""

    async def breaks(writer: asyncio.StreamWriter) -> None:
        writer.transport.abort()

    async def play() -> None:
        async with Peer(breaks) as old, Peer(says_200) as spare:
            sender = process(tmp_path, target("a", "active", old.address))
            answers: list[FinalAnswer] = []
            given = Submission("c", "m", "note", 1, 4000.0, payload=Payload("", b"x"))
            sender.engine.submit(given, answers.append)
            await old.asked(1)
            asked = len(old.seen)
            sender.list.discovery.hearers.lost("cut", now())
            await asyncio.sleep(1.0)
            assert len(old.seen) == asked and not answers
            sender.list.take(
                Change(6, False, [target("a", "leaving", old.address), target("b", "active", spare.address)])
            )
            sender.list.discovery.hearers.confirmed()
            await asyncio.sleep(1.0)
            assert [one.answer for one in answers] == [Answer.DELIVERED] and len(spare.seen) == 1
            sender.journal.close()

    moved(play())
