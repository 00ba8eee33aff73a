"""The front over loopback sockets: acks, refusals, stored chunks and unreadable ones."""

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
from tests.forward.harness import FAILED, REFUSED, chunk, running_front, send


@pytest.mark.parametrize("mode", list(Mode))
def test_every_mode_is_delivered_and_acked(tmp_path: Path, mode: Mode) -> None:
    async def work() -> None:
        async with running_front(tmp_path) as harness:
            assert await send(await harness.connect_source(), "c1", chunk("c1", mode=mode)) == "acked"
            (given,) = harness.engine.submissions
            assert (given.owner, given.identity, given.class_name, given.destination) == (
                "edge-0",
                "c1",
                "status",
                1,
            )
            assert isinstance(given.payload, Payload) and given.payload.content_type == events.LINES
            assert given.payload.content.count(b"\n") == (1 if mode is Mode.MESSAGE else 2)
            assert given.time_left == 4900.0
            assert await send(harness.clients[0], "c2", chunk("c2", "pay.x", mode)) == "acked"
            packed = harness.engine.submissions[1].payload
            assert (
                isinstance(packed, Payload)
                and packed.content_type == events.PACKED
                and harness.engine.submissions[1].key == "edge-0\nx"
            )
            assert harness.front.scheduler.held_bytes == 0

    run(work())


def test_a_repeated_chunk_joins_or_gets_the_same_answer(tmp_path: Path) -> None:
    async def work() -> None:
        async with running_front(tmp_path) as harness:
            harness.engine.release = asyncio.Event()
            first, second = await harness.connect_source(), await harness.connect_source()
            both = [asyncio.ensure_future(send(client, "c1", chunk("c1"))) for client in (first, second)]
            await asyncio.sleep(0.1)
            first.close()
            harness.engine.release.set()
            assert await asyncio.gather(*both) == ["closed", "acked"]
            assert (
                await send(await harness.connect_source(), "c1", chunk("c1")) == "acked"
            )  # as after a lost ack
            assert len(harness.engine.submissions) == 1
            assert await send(await harness.connect_source(1), "c1", chunk("c1")) == "acked"
            assert len(harness.engine.submissions) == 2, "the same id from another source is another chunk"

    run(work())


def test_a_refusal_closes_at_once_and_the_requested_wait_is_observed(tmp_path: Path) -> None:
    async def work() -> None:
        loop = asyncio.get_running_loop()
        async with running_front(tmp_path) as harness:
            harness.engine.answers["c1"] = REFUSED
            started = loop.time()
            assert await send(await harness.connect_source(), "c1", chunk("c1")) == "closed"
            assert loop.time() - started < 0.25, "closed at once"
            harness.engine.answers.clear()
            other = await harness.connect_source(1)
            assert await send(other, "d1", chunk("d1"), 0.2) == "acked", "others are read from meanwhile"
            again = await harness.connect_source()
            assert await send(again, "c1", chunk("c1")) == "acked"
            assert loop.time() - started > 0.3, "it was not read before the wait was over"
            assert not harness.items()

    run(work())


def test_a_failed_chunk_is_stored_once_then_acked(tmp_path: Path) -> None:
    async def work() -> None:
        async with running_front(tmp_path) as harness:
            harness.engine.answers["c1"] = FAILED
            assert await send(await harness.connect_source(), "c1", chunk("c1", "pay.x")) == "acked"
            (item,) = harness.items()
            assert (item.owner, item.identity, item.destination, item.reason, item.label) == (
                "edge-0",
                "c1",
                "bank",
                "the destination said no",
                "pay.x",
            )
            assert len(list(events.unpack(item.content, 9))) == 2
            assert await send(await harness.connect_source(), "c1", chunk("c1", "pay.x")) == "acked"
            assert len(harness.items()) == 1 and len(harness.engine.submissions) == 1

    run(work())


def test_a_chunk_that_cannot_be_stored_is_not_acked(tmp_path: Path) -> None:
    async def work() -> None:
        async with running_front(tmp_path, kept=10) as harness:
            harness.engine.answers["c1"] = FAILED
            assert await send(await harness.connect_source(), "c1", chunk("c1")) == "closed"
            assert harness.logged("not_kept")[0]["lost"] is False and not harness.items()

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
def test_an_unreadable_chunk_is_stored_unchanged(tmp_path: Path, data: bytes, reason: str) -> None:
    async def work() -> None:
        async with running_front(tmp_path) as harness:
            client = await harness.connect_source()
            assert await send(client, "c1", data) == "acked"
            (item,) = harness.items()
            assert reason in item.reason and item.content == message.read(data).data
            assert await send(client, "c2", chunk("c2")) == "acked", "the connection stays open"

    run(work())


@pytest.mark.parametrize(("tag", "expected"), [("unknown", "no rule"), ("far", "no destination 'nowhere'")])
def test_a_chunk_without_a_route_is_left_with_its_source(tmp_path: Path, tag: str, expected: str) -> None:
    async def work() -> None:
        async with running_front(tmp_path) as harness:
            assert await send(await harness.connect_source(), "c1", chunk("c1", tag)) == "closed"
            assert expected in str(harness.logged("forward_closed")[0]["reason"]) and not harness.items()
            assert harness.front.scheduler.sources["edge-0"].paused_until > 0

    run(work())


def test_chunks_without_an_id(tmp_path: Path) -> None:
    async def work() -> None:
        async with running_front(tmp_path / "a") as harness:
            client = await harness.connect_source()
            client.writer.write(chunk(""))
            await asyncio.wait_for(asyncio.shield(client.task or asyncio.sleep(0)), 5.0)
            assert not client.usable and not harness.engine.submissions
        async with running_front(tmp_path / "b", acks=False) as harness:
            client = await harness.connect_source()
            harness.engine.release = asyncio.Event()
            client.writer.write(chunk("") + chunk("") + b"\xc0" + chunk("c3"))
            await asyncio.sleep(0.1)
            assert len(harness.engine.submissions) == 3
            harness.engine.answers[harness.engine.submissions[0].identity] = REFUSED
            harness.engine.release.set()
            assert await send(client, "c4", chunk("c4")) == "acked"
            await asyncio.sleep(0.1)
            assert [item.reason for item in harness.items()] == ["not now"], (
                "nobody sends it again, so it is stored"
            )

    run(work())


def test_a_wrong_size_is_logged_and_ignored(tmp_path: Path) -> None:
    async def work() -> None:
        async with running_front(tmp_path) as harness:
            data = message.build(Mode.FORWARD, "log.a", [Event(EventTime(1), {"a": 1})] * 3, "c1", size=99)
            assert await send(await harness.connect_source(), "c1", data) == "acked"
            assert harness.logged("forward_size") == [{"tag": "log.a", "told": 99, "counted": 3}]

    run(work())
