"""The forward front under load and ill will: silence, floods, storms, the drain, heartbeats, order by key."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path

import pytest
from msgpack import packb

from brassweir.forward import events, message
from brassweir.forward.errors import ForwardError
from brassweir.forward.events import Event, EventTime
from brassweir.forward.ports import Bounds
from brassweir.lab.standins.shipper import Line, connect
from tests.conftest import run
from tests.forward.stage import chunk, send, stage


def test_half_a_chunk_then_silence(tmp_path: Path) -> None:
    async def work() -> None:
        async with stage(tmp_path, Bounds(chunk_ms=200.0)) as one:
            line = await one.line()
            line.writer.write(chunk("c1")[:-5])
            await asyncio.sleep(0.1)
            assert one.front.scheduler.held_bytes > 0
            await asyncio.wait_for(asyncio.shield(line.task or asyncio.sleep(0)), 5.0)
            assert "not ended in time" in str(one.noted("forward_turned_away")[0]["reason"])
            await asyncio.sleep(0.05)
            assert (
                one.front.scheduler.held_bytes == 0
                and not one.front.scheduler.readers
                and not one.front.connection_by_reader
            )

    run(work())


def test_no_handshake_in_time_and_wrong_ones(tmp_path: Path) -> None:
    async def work() -> None:
        async with stage(tmp_path, Bounds(handshake_ms=150.0)) as one:
            silent = socket.create_connection(("127.0.0.1", one.port))
            for name, key in (("edge-0", b"wrong"), ("nobody", b"key edge-0")):
                with pytest.raises(ForwardError, match="shared key mismatch"):
                    await connect("127.0.0.1", one.port, name, key)
            await asyncio.sleep(0.3)
            assert any("no handshake" in str(note["reason"]) for note in one.noted("forward_turned_away"))
            assert not one.front.connections
            silent.close()

    run(work())


def test_a_key_that_changes_while_connections_stay(tmp_path: Path) -> None:
    async def work() -> None:
        async with stage(tmp_path) as one:
            line = await one.line()
            one.gate.names["edge-0"] = b"a new key"
            assert await send(line, "c1", chunk("c1")) == "acked"
            with pytest.raises(ForwardError, match="mismatch"):
                await one.line()
            fresh = await connect("127.0.0.1", one.port, "edge-0", b"a new key")
            one.lines.append(fresh)
            assert await send(fresh, "c2", chunk("c2")) == "acked"

    run(work())


def test_garbage_after_the_handshake_ends_only_its_connection(tmp_path: Path) -> None:
    async def work() -> None:
        async with stage(tmp_path) as one:
            bad, good = await one.line(), await one.line(1)
            bad.writer.write(b"\xc1\xc1\xc1")
            await asyncio.wait_for(asyncio.shield(bad.task or asyncio.sleep(0)), 5.0)
            assert await send(good, "c1", chunk("c1")) == "acked"
            assert "no msgpack" in str(one.noted("forward_turned_away")[0]["reason"])

    run(work())


def test_a_hundred_thousand_entries(tmp_path: Path) -> None:
    async def work() -> None:
        async with stage(tmp_path) as one:
            data = chunk("c1", count=100_000)
            assert await send(await one.line(), "c1", data, 30.0) == "acked"
            assert one.front.scheduler.held_bytes == 0
            too_many = chunk("c2", count=200_001)
            assert await send(one.lines[0], "c2", too_many, 30.0) == "acked"
            assert "more than 200000 entries" in one.items()[0].reason

    run(work())


def test_two_hundred_sources_reconnect_at_once(tmp_path: Path) -> None:
    async def work() -> None:
        async with stage(tmp_path, sources=200) as one:
            one.engine.hold = asyncio.Event()

            async def storm(number: int) -> str:
                await send_and_drop(await one.line(number), chunk(f"c{number}"))
                return await send(await one.line(number), f"c{number}", chunk(f"c{number}"), 20.0)

            async def send_and_drop(line: Line, data: bytes) -> None:
                line.writer.write(data)
                await line.writer.drain()
                await asyncio.sleep(0.2)
                line.close()

            storms = [asyncio.ensure_future(storm(number)) for number in range(200)]
            await asyncio.sleep(1.0)
            one.engine.hold.set()
            assert set(await asyncio.gather(*storms)) == {"acked"}
            assert len(one.engine.taken) == 200, "each once, though each was handed in twice"

    run(work())


def test_sources_that_ignore_back_pressure_hold_no_more_than_the_room(tmp_path: Path) -> None:
    """Many sources push as fast as sockets take it while nothing is answered."""

    async def work() -> None:
        capacity, count = 3_000_000, 60
        async with stage(
            tmp_path, Bounds(buffered_bytes=capacity, chunk_bytes=200_000), sources=count
        ) as one:
            one.engine.hold = asyncio.Event()
            data = [
                message.packed_message("log.a", packb([1, {"x": "y" * 50_000}]), f"c{i}", 1)
                for i in range(20)
            ]
            lines = [await one.line(number) for number in range(count)]
            for line in lines:
                for one_chunk in data:
                    line.writer.write(one_chunk)
            max_held_bytes = 0
            for _ in range(40):
                await asyncio.sleep(0.02)
                max_held_bytes = max(max_held_bytes, one.front.scheduler.held_bytes)
            slices = count * one.front.scheduler.read_slice
            assert capacity / 2 < max_held_bytes < capacity + slices + 200_000 * 2
            held = [source.held_bytes for source in one.front.scheduler.sources.values()]
            assert min(held) > 0, "nobody is shut out"
            one.engine.hold.set()
            waiting = []
            for line in lines:
                for i in range(20):
                    waiting.append(line.acks.setdefault(f"c{i}", asyncio.get_running_loop().create_future()))
            await asyncio.wait_for(asyncio.gather(*waiting), 30.0)
            assert len(one.engine.taken) == count * 20 and one.front.scheduler.held_bytes == 0

    run(work())


def test_the_drain_reads_nothing_new_and_acks_what_is_open(tmp_path: Path) -> None:
    async def work() -> None:
        async with stage(tmp_path) as one:
            one.engine.hold = asyncio.Event()
            busy, idle = await one.line(), await one.line(1)
            waiting = asyncio.ensure_future(send(busy, "c1", chunk("c1")))
            await asyncio.sleep(0.05)
            one.front.stop_taking()
            busy.writer.write(chunk("c2"))
            one.front.drain()
            await asyncio.wait_for(asyncio.shield(idle.task or asyncio.sleep(0)), 5.0)
            one.engine.hold.set()
            assert await waiting == "acked"
            await asyncio.wait_for(asyncio.shield(busy.task or asyncio.sleep(0)), 5.0)
            assert [given.identity for given in one.engine.taken] == ["c1"] and not one.front.connections
            with pytest.raises(OSError):
                await one.line()

    run(work())


def test_heartbeats(tmp_path: Path) -> None:
    async def work() -> None:
        async with stage(tmp_path, beats=True) as one:
            line = await one.line()
            line.writer.write(b"\xc0\xc0")
            assert await send(line, "c1", chunk("c1")) == "acked"
            loop = asyncio.get_running_loop()
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
                probe.setblocking(False)
                probe.connect(("127.0.0.1", one.port))
                await loop.sock_sendall(probe, b"\0")
                assert await asyncio.wait_for(loop.sock_recv(probe, 10), 5.0) == b"\0"

    run(work())


def test_order_by_key_holds_whatever_a_chunk_takes_to_open(tmp_path: Path) -> None:
    async def work() -> None:
        async with stage(tmp_path) as one:
            line = await one.line()
            big = message.packed_message(
                "pay.x",
                events.pack([Event(EventTime(1), {"n": i}) for i in range(30_000)]),
                "c1",
                30_000,
                compress=True,
            )
            both = [
                asyncio.ensure_future(send(line, "c1", big)),
                asyncio.ensure_future(send(line, "c2", chunk("c2", "pay.x"))),
            ]
            assert await asyncio.gather(*both) == ["acked", "acked"]
            assert [given.identity for given in one.engine.taken] == ["c1", "c2"]

    run(work())
