"""``node`` killed at exact moments of a call or a notice: no message is lost or repeated against its class."""

from __future__ import annotations

import asyncio
import json
import signal
from collections.abc import Awaitable, Callable
from functools import partial
from pathlib import Path

import pytest

from brassweir.lab.judges.platform_rules import SLACK
from brassweir.lab.standins.platform import SERVING, Call, Endpoint, answer, good, hang
from tests.relay.plays import play, together
from tests.relay.world import World

WINDOW = 1000.0  # ms, of the class with an idempotency key
CLASSES = ("note", "order", "pay")
STEPS = ("read", "answered")


class Short(World):
    """A world whose keyed class has a window of one second."""

    def write(self, discovery: object = None) -> None:
        super().write()
        path = self.folder / "config.json"
        found = json.loads(path.read_text())
        found["settings"]["Classes"] = [
            dict(one, Window=WINDOW if one["Name"] == "order" else 0.0)
            for one in found["settings"]["Classes"]
        ]
        path.write_text(json.dumps(found))


def killing(world: World, step: str) -> Callable[[Call, asyncio.StreamWriter], Awaitable[None]]:
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


async def death(folder: Path, cls: str, step: str) -> None:
    world = Short(folder)
    try:
        await world.open(Endpoint("a", 1))
        world.endpoints[0].manner = killing(world, step)
        client = await world.client()
        assert await client.put("m1", cls, 1, 5000.0, key="k1" if cls == "order" else "") == b"+OK\r\n"
        assert world.process is not None
        await asyncio.wait_for(world.process.wait(), 5.0)
        await world.start()
        await world.settled(1)
        late = await world.client()
        assert await late.put("m2", cls, 1, 5000.0, key="k2" if cls == "order" else "") == b"+OK\r\n"
        await world.settled(2)  # by then the first has been repeated, if it is repeated
        calls = [one.at for one in world.endpoints[0].calls if one.id == "m1"]
        told = [one["result"] for _, one in world.discovery.notices if one["ref"] == "m1"]
        if cls == "pay":
            assert len(calls) == 1 and told == ["dead"]
        elif cls == "note":
            assert len(calls) == 2 and told == []
        else:
            assert calls[-1] <= calls[0] + WINDOW, "repeated after its window"
            assert (len(calls), told) in ((2, []), (1, ["dead"]), (1, ["bounced"]))
        assert [one.id for one in world.endpoints[0].calls].count("m2") == 1
    finally:
        await world.close(cls != "pay")


@pytest.fixture(scope="module")
def ends(tmp_path_factory: pytest.TempPathFactory) -> dict[tuple[str, str], BaseException | None]:
    """The exception of each case, or None."""
    days = [(cls, step) for cls in CLASSES for step in STEPS]
    return dict(
        zip(
            days,
            together([partial(death, tmp_path_factory.mktemp("day"), *day) for day in days]),
            strict=True,
        )
    )


@pytest.mark.parametrize("step", STEPS)
@pytest.mark.parametrize("cls", CLASSES)
def test_killed_under_a_call_it_repeats_what_its_class_allows(
    ends: dict[tuple[str, str], BaseException | None], cls: str, step: str
) -> None:
    wrong = ends[cls, step]
    if wrong is not None:
        raise wrong


def test_killed_under_a_notice_it_brings_the_same_one_again_and_no_third(tmp_path: Path) -> None:
    async def day(world: World) -> None:
        def told() -> None:
            assert world.process is not None
            if not world.discovery.notices[1:]:
                world.process.send_signal(signal.SIGKILL)

        world.discovery.told = told
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
        notices = [(one["ref"], one["result"]) for _, one in world.discovery.notices]
        assert notices == [("m1", "bounced")] * 2 and "m1" not in world.endpoints[0].delivered
        first = world.clients[0].sent[0]
        assert world.discovery.notices[0][0] <= first.at + first.span + SLACK, "the first notice was in time"

    play(tmp_path, day, Endpoint("a", 1, hang), judged=False)


def test_killed_between_its_record_and_its_promise_a_message_ends_once_and_its_client_may_hand_it_in_anew(
    tmp_path: Path,
) -> None:
    async def day(world: World) -> None:
        await world.kill()
        await world.start(dies_at=-4)  # appends: reserve, header, Began, the message
        client = await world.client()
        assert await client.put("m1", "pay", 1, 5000.0) == b""
        await world.start()
        assert await (await world.client()).put("m2", "pay", 1, 5000.0) == b"+OK\r\n"
        await world.settled(2)
        assert sorted(world.endpoints[0].delivered) == ["m1", "m2"] and not world.discovery.notices

    play(tmp_path, day, Endpoint("a", 1))
