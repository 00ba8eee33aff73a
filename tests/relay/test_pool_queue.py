"""Calls queued in a pool while the list is unconfirmed: none begins on the outdated list."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from brassweir.core.ports import Answer, FinalAnswer, Payload, Submission
from brassweir.relay.endpoint_list import Change
from tests.relay.test_list_crossings import process, target
from tests.relay.virtual_time import Peer, answer_200, now, run_virtual


async def slow(writer: asyncio.StreamWriter) -> None:
    """Answer after 0.2 s."""
    await asyncio.sleep(0.2)
    await answer_200(writer)


@pytest.mark.parametrize("count", [2, 4])
def test_calls_queued_for_a_connection_wait_until_the_list_is_confirmed(tmp_path: Path, count: int) -> None:
    """The connection becomes free after the watch was cut and before another one is confirmed."""

    async def scenario() -> None:
        async with Peer(slow) as old, Peer(answer_200) as spare:
            sender = process(tmp_path, target("a", "active", old.address))
            sender.pools.connections_per_endpoint = 1
            answers: list[FinalAnswer] = []
            for i in range(count):
                given = Submission("c", f"m{i}", "note", 1, 4000.0, payload=Payload("", b"x"))
                sender.engine.submit(given, answers.append)
            await old.wait_for_requests(1)
            sender.list.discovery.listeners.on_lost("cut", now())
            await asyncio.sleep(0.5)
            assert len(old.requests) == 1 and len(answers) == 1, (
                "the connection was free, and no call began on it"
            )
            sender.list.apply(
                Change(6, False, [target("a", "leaving", old.address), target("b", "active", spare.address)])
            )
            sender.list.discovery.listeners.on_confirmed()
            await asyncio.sleep(0.5)
            assert [answer.answer for answer in answers] == [Answer.DELIVERED] * count
            assert len(old.requests) == 1 and len(spare.requests) == count - 1
            sender.journal.close()

    run_virtual(scenario())


def test_a_retry_that_is_due_meanwhile_waits_too(tmp_path: Path) -> None:
    """The first attempt breaks; its retry is due while the list is unconfirmed."""

    async def breaks(writer: asyncio.StreamWriter) -> None:
        writer.transport.abort()

    async def scenario() -> None:
        async with Peer(breaks) as old, Peer(answer_200) as spare:
            sender = process(tmp_path, target("a", "active", old.address))
            answers: list[FinalAnswer] = []
            given = Submission("c", "m", "note", 1, 4000.0, payload=Payload("", b"x"))
            sender.engine.submit(given, answers.append)
            await old.wait_for_requests(1)
            asked = len(old.requests)
            sender.list.discovery.listeners.on_lost("cut", now())
            await asyncio.sleep(1.0)
            assert len(old.requests) == asked and not answers
            sender.list.apply(
                Change(6, False, [target("a", "leaving", old.address), target("b", "active", spare.address)])
            )
            sender.list.discovery.listeners.on_confirmed()
            await asyncio.sleep(1.0)
            assert [answer.answer for answer in answers] == [Answer.DELIVERED] and len(spare.requests) == 1
            sender.journal.close()

    run_virtual(scenario())
