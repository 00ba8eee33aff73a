"""Notices in virtual time: connections of their own, a platform that moves or falls silent, no duplicates."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
import structlog

from brassweir.destinations.budget import ConnectionBudget
from brassweir.net.client import CallFailed
from brassweir.net.headers import Headers
from brassweir.net.pool_manager import PoolManager
from brassweir.relay import notices, settings
from brassweir.relay.notices import Notice, Notices
from brassweir.service.node import ANSWERS, NodeProcess
from tests.relay.moved import Full, Peer, answers_204, moved, now, silent
from tests.relay.world import configuration

DUE = 0.3  # seconds after which a notice counts as lost


class Told:
    """A notice sender to a peer that records the acknowledged messages in order."""

    def __init__(self, address: str) -> None:
        self.told: list[int] = []
        self.more = asyncio.Event()
        self.notes: list[str] = []
        self.pools = PoolManager(ANSWERS, 2, 3000.0, 1000.0, ConnectionBudget(2))
        self.line = Notices(self.pools, address, self.tell, lambda event, _: self.notes.append(event))

    def tell(self, message: int) -> None:
        self.told.append(message)
        self.more.set()

    def owe(self, *numbers: int) -> float:
        for number in numbers:
            self.line.owe(number, Notice(f"m{number}", "dead"))
        return now()

    async def until(self, *numbers: int) -> float:
        """Wait until exactly these are acknowledged, each once; return the time. No call is left in flight."""
        while len(self.told) < len(numbers):
            self.more.clear()
            await self.more.wait()
        at = now()
        await asyncio.sleep(2.0)
        assert (
            self.told == list(numbers)
            and not self.line.owed
            and not any(one.busy for one in self.pools.budget.holders.values())
        )
        return at


def refs(peer: Peer) -> list[list[str]]:
    return [[json.loads(line)["ref"] for line in body.splitlines()] for body in peer.bodies]


def later(seconds: float) -> Callable[[asyncio.StreamWriter], Awaitable[None]]:
    async def manner(writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(seconds)
        await answers_204(writer)

    return manner


@pytest.mark.parametrize("setups", [False, True], ids=["calls that hang", "set-ups that hang"])
def test_calls_and_set_ups_that_hang_leave_room_for_notices(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, setups: bool
) -> None:
    async def play() -> None:
        async with Peer(silent) as ill, Peer(silent) as worse, Peer(answers_204) as platform:
            given = configuration(discovery=platform.address)
            given["limits"]["sockets"] = 64
            process = NodeProcess(settings.read(json.dumps(given).encode()), tmp_path, structlog.get_logger())
            told: list[int] = []
            process.notices.told = told.append
            with Full() as full:
                wheres = [full] * 2 if setups else [*[ill.address] * 7, worse.address]
                calls = [
                    asyncio.ensure_future(
                        process.pools.http_pool(f"http://{where}/receive").post(Headers(), b"", now() + 4.0)
                    )
                    for where in wheres
                ]
                await asyncio.sleep(0.02)
                process.notices.owe(1, Notice("m1", "dead"))
                await asyncio.sleep(DUE - 0.05)
                assert told == [1] and refs(platform) == [["m1"]], process.pools.budget.open
                assert not any(call.done() for call in calls)
                ended = await asyncio.gather(*calls, return_exceptions=True)
                assert all(isinstance(one, CallFailed) for one in ended)
            process.journal.close()

    monkeypatch.setattr("brassweir.service.node.SETUPS", 1 if setups else 64)
    moved(play())


def test_a_connection_that_fell_silent_makes_no_notice_late() -> None:
    async def play() -> None:
        met: list[int] = []

        async def once(writer: asyncio.StreamWriter) -> None:
            met.append(1)
            if len(met) != 2:
                await answers_204(writer)

        async with Peer(once) as platform:
            told = Told(platform.address)
            told.owe(1)
            await told.until(1)
            owed = told.owe(2)
            assert await told.until(1, 2) - owed < DUE
            assert refs(platform) == [["m1"], ["m2"], ["m2"]]

    moved(play())


def test_a_post_given_up_as_its_answer_comes_ends_each_message_once() -> None:
    async def play() -> None:
        async with Peer(later(notices.WITHIN), answers_204) as platform:
            told = Told(platform.address)
            told.owe(1, 2)
            await asyncio.sleep(notices.WITHIN / 2)
            told.owe(3)
            await told.until(1, 2, 3)
            assert refs(platform)[0] == ["m1", "m2"] and {ref for post in refs(platform) for ref in post} == {
                "m1",
                "m2",
                "m3",
            }

    moved(play())


def test_a_platform_slow_to_answer_is_told_in_the_end() -> None:
    """The timeout grows with each post, so that a slow platform is not asked forever."""

    async def play() -> None:
        async with Peer(later(0.9)) as platform:
            told = Told(platform.address)
            told.owe(1)
            await told.until(1)
            assert set(told.notes) == {"notice_failed"}

    moved(play())


@pytest.mark.parametrize(
    "after", [0.01, 0.1, 2.0], ids=["while it is posted", "a little later", "between tries"]
)
@pytest.mark.parametrize("there", ["silent", "refused", "not reached"])
def test_a_platform_that_moves_is_told_at_its_new_address_at_once(there: str, after: float) -> None:
    async def play() -> None:
        async with Peer(silent) as quiet, Peer(answers_204) as new:
            with Full() as full:
                told = Told({"silent": quiet.address, "refused": "127.0.0.1:1", "not reached": full}[there])
                told.owe(1)
                await asyncio.sleep(after)
                told.owe(2)
                told.line.move(new.address)
                left = now()
                assert await told.until(1, 2) - left < 0.05
                assert refs(new) == [["m1", "m2"]]

    moved(play())


def test_a_platform_that_answers_as_it_moves_ends_each_message_once() -> None:
    async def play() -> None:
        async with Peer(silent) as old, Peer(answers_204) as new:
            told = Told(old.address)
            told.owe(1)
            await old.asked(1)
            old.write(b"HTTP/1.1 204 X\r\nContent-Length: 0\r\n\r\n")
            told.line.move(new.address)
            told.owe(2)
            await told.until(1, 2)
            assert refs(old) == [["m1"]] and refs(new)[-1][-1] == "m2"

    moved(play())
