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
from brassweir.relay.notices import Notice, NoticeSender
from brassweir.service.node import RESPONSE_LIMITS, NodeProcess
from tests.relay.virtual_time import BlackholeAddress, Peer, answer_204, now, run_virtual, silent
from tests.relay.world import configuration

MAX_DELAY_SECONDS = 0.3  # after which a notice counts as lost


class RecordingSender:
    """A notice sender to a peer that records the acknowledged messages in order."""

    def __init__(self, address: str) -> None:
        self.acknowledged: list[int] = []
        self.more = asyncio.Event()
        self.notes: list[str] = []
        self.pools = PoolManager(RESPONSE_LIMITS, 2, 3000.0, 1000.0, ConnectionBudget(2))
        self.notices = NoticeSender(
            self.pools, address, self._record, lambda event, _: self.notes.append(event)
        )

    def _record(self, message: int) -> None:
        self.acknowledged.append(message)
        self.more.set()

    def add(self, *numbers: int) -> float:
        for number in numbers:
            self.notices.add(number, Notice(f"m{number}", "dead"))
        return now()

    async def wait_for(self, *numbers: int) -> float:
        """Wait until exactly these are acknowledged, each once; return the time. No call is left in flight."""
        while len(self.acknowledged) < len(numbers):
            self.more.clear()
            await self.more.wait()
        at = now()
        await asyncio.sleep(2.0)
        assert (
            self.acknowledged == list(numbers)
            and not self.notices.pending
            and not any(holder.busy for holder in self.pools.budget.holders.values())
        )
        return at


def refs(peer: Peer) -> list[list[str]]:
    return [[json.loads(line)["ref"] for line in body.splitlines()] for body in peer.bodies]


def later(seconds: float) -> Callable[[asyncio.StreamWriter], Awaitable[None]]:
    async def manner(writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(seconds)
        await answer_204(writer)

    return manner


@pytest.mark.parametrize("setups", [False, True], ids=["calls that hang", "set-ups that hang"])
def test_hanging_calls_and_setups_leave_connections_for_notices(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, setups: bool
) -> None:
    async def scenario() -> None:
        async with Peer(silent) as hanging, Peer(silent) as also_hanging, Peer(answer_204) as platform:
            given = configuration(discovery=platform.address)
            given["limits"]["sockets"] = 64
            process = NodeProcess(
                settings.parse_config(json.dumps(given).encode()), tmp_path, structlog.get_logger()
            )
            acknowledged: list[int] = []
            process.notices.on_acknowledged = acknowledged.append
            with BlackholeAddress() as full:
                addresses = [full] * 2 if setups else [*[hanging.address] * 7, also_hanging.address]
                calls = [
                    asyncio.ensure_future(
                        process.pools.http_pool(f"http://{address}/receive").post(Headers(), b"", now() + 4.0)
                    )
                    for address in addresses
                ]
                await asyncio.sleep(0.02)
                process.notices.add(1, Notice("m1", "dead"))
                await asyncio.sleep(MAX_DELAY_SECONDS - 0.05)
                assert acknowledged == [1] and refs(platform) == [["m1"]], process.pools.budget.open
                assert not any(call.done() for call in calls)
                errors = await asyncio.gather(*calls, return_exceptions=True)
                assert all(isinstance(error, CallFailed) for error in errors)
            process.journal.close()

    monkeypatch.setattr("brassweir.service.node.MAX_CONNECTION_SETUPS", 1 if setups else 64)
    run_virtual(scenario())


def test_a_silent_connection_delays_no_notice() -> None:
    async def scenario() -> None:
        calls: list[int] = []

        async def once(writer: asyncio.StreamWriter) -> None:
            calls.append(1)
            if len(calls) != 2:
                await answer_204(writer)

        async with Peer(once) as platform:
            sender = RecordingSender(platform.address)
            sender.add(1)
            await sender.wait_for(1)
            added_at = sender.add(2)
            assert await sender.wait_for(1, 2) - added_at < MAX_DELAY_SECONDS
            assert refs(platform) == [["m1"], ["m2"], ["m2"]]

    run_virtual(scenario())


def test_a_post_that_times_out_as_its_answer_comes_ends_each_message_once() -> None:
    async def scenario() -> None:
        async with Peer(later(notices.MIN_POST_TIMEOUT_SECONDS), answer_204) as platform:
            sender = RecordingSender(platform.address)
            sender.add(1, 2)
            await asyncio.sleep(notices.MIN_POST_TIMEOUT_SECONDS / 2)
            sender.add(3)
            await sender.wait_for(1, 2, 3)
            assert refs(platform)[0] == ["m1", "m2"] and {ref for post in refs(platform) for ref in post} == {
                "m1",
                "m2",
                "m3",
            }

    run_virtual(scenario())


def test_a_slow_platform_gets_the_notice_in_the_end() -> None:
    """The timeout grows with each post, so that a slow platform is not asked forever."""

    async def scenario() -> None:
        async with Peer(later(0.9)) as platform:
            sender = RecordingSender(platform.address)
            sender.add(1)
            await sender.wait_for(1)
            assert set(sender.notes) == {"notice_failed"}

    run_virtual(scenario())


@pytest.mark.parametrize(
    "after", [0.01, 0.1, 2.0], ids=["while it is posted", "a little later", "between tries"]
)
@pytest.mark.parametrize("there", ["silent", "refused", "not reached"])
def test_notices_go_to_the_new_address_at_once_after_a_move(there: str, after: float) -> None:
    async def scenario() -> None:
        async with Peer(silent) as quiet, Peer(answer_204) as new:
            with BlackholeAddress() as full:
                sender = RecordingSender(
                    {"silent": quiet.address, "refused": "127.0.0.1:1", "not reached": full}[there]
                )
                sender.add(1)
                await asyncio.sleep(after)
                sender.add(2)
                sender.notices.move(new.address)
                moved_at = now()
                assert await sender.wait_for(1, 2) - moved_at < 0.05
                assert refs(new) == [["m1", "m2"]]

    run_virtual(scenario())


def test_a_platform_that_answers_as_it_moves_ends_each_message_once() -> None:
    async def scenario() -> None:
        async with Peer(silent) as old, Peer(answer_204) as new:
            sender = RecordingSender(old.address)
            sender.add(1)
            await old.wait_for_requests(1)
            old.write(b"HTTP/1.1 204 X\r\nContent-Length: 0\r\n\r\n")
            sender.notices.move(new.address)
            sender.add(2)
            await sender.wait_for(1, 2)
            assert refs(old) == [["m1"]] and refs(new)[-1][-1] == "m2"

    run_virtual(scenario())
