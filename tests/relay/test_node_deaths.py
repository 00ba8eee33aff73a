"""``node`` killed at exact moments of a call or a notice: no message is lost or repeated against its class."""

from __future__ import annotations

import asyncio
import json
import signal
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path

import pytest

from brassweir.lab.judges.platform_rules import SLACK_MS
from brassweir.lab.standins.platform import SERVING, Call, Endpoint, answer, good, hang
from tests.relay.scenarios import run_all, run_alone
from tests.relay.world import World

WINDOW = 1000.0  # ms, of the class with an idempotency key
CLASSES = ("note", "order", "pay")
MOMENTS = ("read", "answered")


class ShortWindowWorld(World):
    """A world whose keyed class has a window of one second."""

    def write(self, discovery: object = None) -> None:
        super().write()
        path = self.directory / "config.json"
        config = json.loads(path.read_text())
        config["settings"]["Classes"] = [
            dict(cls, Window=WINDOW if cls["Name"] == "order" else 0.0)
            for cls in config["settings"]["Classes"]
        ]
        path.write_text(json.dumps(config))


def kill_during(world: World, step: str) -> Callable[[Call, asyncio.StreamWriter], Awaitable[None]]:
    """Kill the sender after a complete call, either before the answer or with the answer unread in its socket."""

    async def manner(call: Call, writer: asyncio.StreamWriter) -> None:
        assert world.process is not None
        if step == "answered":
            world.process.send_signal(signal.SIGSTOP)
            writer.write(answer(200))
            await writer.drain()
        world.endpoints[0].manner = good
        await world.kill()

    SERVING.add(manner)
    return manner


async def check_kill(directory: Path, cls: str, step: str) -> None:
    world = ShortWindowWorld(directory)
    try:
        await world.open(Endpoint("a", 1))
        world.endpoints[0].manner = kill_during(world, step)
        client = await world.client()
        assert await client.put("m1", cls, 1, 5000.0, key="k1" if cls == "order" else "") == b"+OK\r\n"
        assert world.process is not None
        await asyncio.wait_for(world.process.wait(), 5.0)
        await world.start()
        await world.settled(1)
        later_client = await world.client()
        assert await later_client.put("m2", cls, 1, 5000.0, key="k2" if cls == "order" else "") == b"+OK\r\n"
        await world.settled(2)  # by then the first has been repeated, if it is repeated
        calls = [call.at for call in world.endpoints[0].calls if call.id == "m1"]
        results = [notice["result"] for _, notice in world.discovery.notices if notice["ref"] == "m1"]
        if cls == "pay":
            assert len(calls) == 1 and results == ["dead"]
        elif cls == "note":
            assert len(calls) == 2 and results == []
        else:
            assert calls[-1] <= calls[0] + WINDOW, "repeated after its window"
            assert (len(calls), results) in ((2, []), (1, ["dead"]), (1, ["bounced"]))
        assert [call.id for call in world.endpoints[0].calls].count("m2") == 1
    finally:
        await world.close(cls != "pay")


@pytest.fixture(scope="module")
def failures(tmp_path_factory: pytest.TempPathFactory) -> dict[tuple[str, str], BaseException | None]:
    """The exception of each case, or None."""
    scenarios = [(cls, step) for cls in CLASSES for step in MOMENTS]
    return dict(
        zip(
            scenarios,
            run_all(
                [partial(check_kill, tmp_path_factory.mktemp("day"), *scenario) for scenario in scenarios]
            ),
            strict=True,
        )
    )


@pytest.mark.parametrize("step", MOMENTS)
@pytest.mark.parametrize("cls", CLASSES)
def test_killed_during_a_call_it_repeats_what_its_class_allows(
    failures: dict[tuple[str, str], BaseException | None], cls: str, step: str
) -> None:
    failure = failures[cls, step]
    if failure is not None:
        raise failure


def test_killed_during_a_notice_it_sends_the_same_one_once_more(tmp_path: Path) -> None:
    async def scenario(world: World) -> None:
        def on_notice() -> None:
            assert world.process is not None
            if not world.discovery.notices[1:]:
                world.process.send_signal(signal.SIGKILL)

        world.discovery.told = on_notice
        client = await world.client()
        assert await client.put("m1", "note", 1, 700.0) == b"+OK\r\n"
        assert world.process is not None
        await asyncio.wait_for(world.process.wait(), 5.0)
        world.endpoints[0].manner = good
        for _ in range(2):
            await world.start()
            assert await (await world.client()).put(f"m{len(world.clients)}", "note", 1) == b"+OK\r\n"
            await world.settled(len(world.clients))
            await world.kill()
        notices = [(notice["ref"], notice["result"]) for _, notice in world.discovery.notices]
        assert notices == [("m1", "bounced")] * 2 and "m1" not in world.endpoints[0].delivered
        first = world.clients[0].sent[0]
        assert world.discovery.notices[0][0] <= first.at + first.span + SLACK_MS, (
            "the first notice was in time"
        )

    run_alone(tmp_path, scenario, Endpoint("a", 1, hang), judged=False)


def test_killed_between_append_and_reply_a_message_ends_once(
    tmp_path: Path,
) -> None:
    async def scenario(world: World) -> None:
        await world.kill()
        await world.start(dies_at=-4)  # appends: reserve, header, Began, the message
        client = await world.client()
        assert await client.put("m1", "pay", 1, 5000.0) == b""
        await world.start()
        assert await (await world.client()).put("m2", "pay", 1, 5000.0) == b"+OK\r\n"
        await world.settled(2)
        assert sorted(world.endpoints[0].delivered) == ["m1", "m2"] and not world.discovery.notices

    run_alone(tmp_path, scenario, Endpoint("a", 1))
