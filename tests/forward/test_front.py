"""The front over loopback sockets: what a source is told, and what it can make us hold."""

from __future__ import annotations

import asyncio
import gzip
from pathlib import Path

import pytest
from msgpack import packb

from brassweir.core.ports import Payload
from brassweir.forward import events, message
from brassweir.forward.events import Event, EventTime
from brassweir.forward.message import Mode
from tests.conftest import run
from tests.forward.stage import FAILED, REFUSED, chunk, send, stage


@pytest.mark.parametrize("mode", list(Mode))
def test_every_mode_is_delivered_and_acked(tmp_path: Path, mode: Mode) -> None:
    async def work() -> None:
        async with stage(tmp_path) as one:
            assert await send(await one.line(), "c1", chunk("c1", mode=mode)) == "acked"
            (given,) = one.engine.taken
            assert (given.owner, given.identity, given.class_name, given.destination) == (
                "edge-0",
                "c1",
                "status",
                1,
            )
            assert isinstance(given.payload, Payload) and given.payload.content_type == events.LINES
            assert given.payload.content.count(b"\n") == (1 if mode is Mode.MESSAGE else 2)
            assert given.time_left == 4900.0
            assert await send(one.lines[0], "c2", chunk("c2", "pay.x", mode)) == "acked"
            packed = one.engine.taken[1].payload
            assert (
                isinstance(packed, Payload)
                and packed.content_type == events.PACKED
                and one.engine.taken[1].key == "edge-0\nx"
            )
            assert one.front.scheduler.held_bytes == 0

    run(work())


def test_a_chunk_that_comes_again_joins_or_is_told_the_same(tmp_path: Path) -> None:
    async def work() -> None:
        async with stage(tmp_path) as one:
            one.engine.hold = asyncio.Event()
            first, second = await one.line(), await one.line()
            both = [asyncio.ensure_future(send(line, "c1", chunk("c1"))) for line in (first, second)]
            await asyncio.sleep(0.1)
            first.close()
            one.engine.hold.set()
            assert await asyncio.gather(*both) == ["closed", "acked"]
            assert await send(await one.line(), "c1", chunk("c1")) == "acked"  # the ack was lost, say
            assert len(one.engine.taken) == 1
            assert await send(await one.line(1), "c1", chunk("c1")) == "acked"
            assert len(one.engine.taken) == 2, "another source's chunk of the same name is another one"

    run(work())


def test_a_refusal_closes_at_once_and_the_told_wait_is_kept(tmp_path: Path) -> None:
    async def work() -> None:
        loop = asyncio.get_running_loop()
        async with stage(tmp_path) as one:
            one.engine.answers["c1"] = REFUSED
            begun = loop.time()
            assert await send(await one.line(), "c1", chunk("c1")) == "closed"
            assert loop.time() - begun < 0.25, "told at once"
            one.engine.answers.clear()
            other = await one.line(1)
            assert await send(other, "d1", chunk("d1"), 0.2) == "acked", "others are read from meanwhile"
            again = await one.line()
            assert await send(again, "c1", chunk("c1")) == "acked"
            assert loop.time() - begun > 0.3, "it was not read before the wait was over"
            assert not one.items()

    run(work())


def test_a_failure_is_kept_then_acked_once(tmp_path: Path) -> None:
    async def work() -> None:
        async with stage(tmp_path) as one:
            one.engine.answers["c1"] = FAILED
            assert await send(await one.line(), "c1", chunk("c1", "pay.x")) == "acked"
            (item,) = one.items()
            assert (item.owner, item.identity, item.destination, item.reason, item.label) == (
                "edge-0",
                "c1",
                "bank",
                "the destination said no",
                "pay.x",
            )
            assert len(list(events.unpack(item.content, 9))) == 2
            assert await send(await one.line(), "c1", chunk("c1", "pay.x")) == "acked"
            assert len(one.items()) == 1 and len(one.engine.taken) == 1

    run(work())


def test_what_cannot_be_kept_is_not_acked(tmp_path: Path) -> None:
    async def work() -> None:
        async with stage(tmp_path, kept=10) as one:
            one.engine.answers["c1"] = FAILED
            assert await send(await one.line(), "c1", chunk("c1")) == "closed"
            assert one.noted("not_kept")[0]["lost"] is False and not one.items()

    run(work())


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (packb(["log.a", packb([1, {}]) + packb([2, "no map"]), {"chunk": "c1"}]), "no map"),
        (packb(["log.a", b"", {"chunk": "c1"}]), "without entries"),
        (packb(["log.a", b"not gzip", {"chunk": "c1", "compressed": "gzip"}]), "no gzip"),
        (
            packb(["log.a", gzip.compress(b"\0" * 80_000_000), {"chunk": "c1", "compressed": "gzip"}]),
            "when decompressed",
        ),
    ],
)
def test_what_cannot_be_read_is_kept_as_it_came(tmp_path: Path, data: bytes, reason: str) -> None:
    async def work() -> None:
        async with stage(tmp_path) as one:
            line = await one.line()
            assert await send(line, "c1", data) == "acked"
            (item,) = one.items()
            assert reason in item.reason and item.content == message.read(data).data
            assert await send(line, "c2", chunk("c2")) == "acked", "the connection lives on"

    run(work())


@pytest.mark.parametrize(("tag", "words"), [("unknown", "no rule"), ("far", "no destination 'nowhere'")])
def test_what_has_no_place_yet_is_left_with_its_source(tmp_path: Path, tag: str, words: str) -> None:
    async def work() -> None:
        async with stage(tmp_path) as one:
            assert await send(await one.line(), "c1", chunk("c1", tag)) == "closed"
            assert words in str(one.noted("forward_closed")[0]["reason"]) and not one.items()
            assert one.front.scheduler.sources["edge-0"].paused_until > 0

    run(work())


def test_chunks_without_an_id(tmp_path: Path) -> None:
    async def work() -> None:
        async with stage(tmp_path / "a") as one:
            line = await one.line()
            line.writer.write(chunk(""))
            await asyncio.wait_for(asyncio.shield(line.task or asyncio.sleep(0)), 5.0)
            assert not line.usable and not one.engine.taken
        async with stage(tmp_path / "b", acks=False) as one:
            line = await one.line()
            one.engine.hold = asyncio.Event()
            line.writer.write(chunk("") + chunk("") + b"\xc0" + chunk("c3"))
            await asyncio.sleep(0.1)
            assert len(one.engine.taken) == 3
            one.engine.answers[one.engine.taken[0].identity] = REFUSED
            one.engine.hold.set()
            assert await send(line, "c4", chunk("c4")) == "acked"
            await asyncio.sleep(0.1)
            assert [item.reason for item in one.items()] == ["not now"], "nobody sends it again: it is kept"

    run(work())


def test_a_wrong_size_is_noted_and_changes_nothing(tmp_path: Path) -> None:
    async def work() -> None:
        async with stage(tmp_path) as one:
            data = message.build(Mode.FORWARD, "log.a", [Event(EventTime(1), {"a": 1})] * 3, "c1", size=99)
            assert await send(await one.line(), "c1", data) == "acked"
            assert one.noted("forward_size") == [{"tag": "log.a", "told": 99, "counted": 3}]

    run(work())
