"""The forward front: timeouts, bad input, reconnects, backpressure, drain, heartbeats, order by key."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path

import pytest
from msgpack import packb

from brassweir.forward import events, message
from brassweir.forward.errors import ForwardError
from brassweir.forward.events import Event, EventTime
from brassweir.forward.ports import FrontLimits
from brassweir.lab.standins.shipper import Line, connect
from tests.conftest import run
from tests.forward.harness import chunk, running_front, send


def test_an_unfinished_chunk_times_out(tmp_path: Path) -> None:
    async def work() -> None:
        async with running_front(tmp_path, FrontLimits(chunk_ms=200.0)) as harness:
            client = await harness.connect_source()
            client.writer.write(chunk("c1")[:-5])
            await asyncio.sleep(0.1)
            assert harness.front.scheduler.held_bytes > 0
            await asyncio.wait_for(asyncio.shield(client.task or asyncio.sleep(0)), 5.0)
            assert "not ended in time" in str(harness.logged("forward_turned_away")[0]["reason"])
            await asyncio.sleep(0.05)
            assert (
                harness.front.scheduler.held_bytes == 0
                and not harness.front.scheduler.readers
                and not harness.front.connection_by_reader
            )

    run(work())


def test_missing_and_failed_handshakes_are_rejected(tmp_path: Path) -> None:
    async def work() -> None:
        async with running_front(tmp_path, FrontLimits(handshake_ms=150.0)) as harness:
            silent = socket.create_connection(("127.0.0.1", harness.port))
            for name, key in (("edge-0", b"wrong"), ("nobody", b"key edge-0")):
                with pytest.raises(ForwardError, match="shared key mismatch"):
                    await connect("127.0.0.1", harness.port, name, key)
            await asyncio.sleep(0.3)
            assert any(
                "no handshake" in str(note["reason"]) for note in harness.logged("forward_turned_away")
            )
            assert not harness.front.connections
            silent.close()

    run(work())


def test_a_changed_key_applies_to_new_connections_only(tmp_path: Path) -> None:
    async def work() -> None:
        async with running_front(tmp_path) as harness:
            client = await harness.connect_source()
            harness.gate.names["edge-0"] = b"a new key"
            assert await send(client, "c1", chunk("c1")) == "acked"
            with pytest.raises(ForwardError, match="mismatch"):
                await harness.connect_source()
            fresh = await connect("127.0.0.1", harness.port, "edge-0", b"a new key")
            harness.clients.append(fresh)
            assert await send(fresh, "c2", chunk("c2")) == "acked"

    run(work())


def test_garbage_after_the_handshake_ends_only_its_connection(tmp_path: Path) -> None:
    async def work() -> None:
        async with running_front(tmp_path) as harness:
            bad, good = await harness.connect_source(), await harness.connect_source(1)
            bad.writer.write(b"\xc1\xc1\xc1")
            await asyncio.wait_for(asyncio.shield(bad.task or asyncio.sleep(0)), 5.0)
            assert await send(good, "c1", chunk("c1")) == "acked"
            assert "no msgpack" in str(harness.logged("forward_turned_away")[0]["reason"])

    run(work())


def test_a_hundred_thousand_entries(tmp_path: Path) -> None:
    async def work() -> None:
        async with running_front(tmp_path) as harness:
            data = chunk("c1", count=100_000)
            assert await send(await harness.connect_source(), "c1", data, 30.0) == "acked"
            assert harness.front.scheduler.held_bytes == 0
            too_many = chunk("c2", count=200_001)
            assert await send(harness.clients[0], "c2", too_many, 30.0) == "acked"
            assert "more than 200000 entries" in harness.items()[0].reason

    run(work())


def test_two_hundred_sources_reconnect_at_once(tmp_path: Path) -> None:
    async def work() -> None:
        async with running_front(tmp_path, sources=200) as harness:
            harness.engine.release = asyncio.Event()

            async def reconnect(number: int) -> str:
                await send_and_drop(await harness.connect_source(number), chunk(f"c{number}"))
                return await send(
                    await harness.connect_source(number), f"c{number}", chunk(f"c{number}"), 20.0
                )

            async def send_and_drop(client: Line, data: bytes) -> None:
                client.writer.write(data)
                await client.writer.drain()
                await asyncio.sleep(0.2)
                client.close()

            reconnects = [asyncio.ensure_future(reconnect(number)) for number in range(200)]
            await asyncio.sleep(1.0)
            harness.engine.release.set()
            assert set(await asyncio.gather(*reconnects)) == {"acked"}
            assert len(harness.engine.submissions) == 200, "each once, though each was sent twice"

    run(work())


def test_buffered_bytes_stay_bounded_under_backpressure(tmp_path: Path) -> None:
    """Guards against unbounded memory when many sources send while nothing is answered."""

    async def work() -> None:
        capacity, count = 3_000_000, 60
        async with running_front(
            tmp_path, FrontLimits(buffered_bytes=capacity, chunk_bytes=200_000), sources=count
        ) as harness:
            harness.engine.release = asyncio.Event()
            data = [
                message.packed_message("log.a", packb([1, {"x": "y" * 50_000}]), f"c{i}", 1)
                for i in range(20)
            ]
            clients = [await harness.connect_source(number) for number in range(count)]
            for client in clients:
                for frame in data:
                    client.writer.write(frame)
            max_held_bytes = 0
            for _ in range(40):
                await asyncio.sleep(0.02)
                max_held_bytes = max(max_held_bytes, harness.front.scheduler.held_bytes)
            slices = count * harness.front.scheduler.read_slice
            assert capacity / 2 < max_held_bytes < capacity + slices + 200_000 * 2
            held = [source.held_bytes for source in harness.front.scheduler.sources.values()]
            assert min(held) > 0, "no source is starved"
            harness.engine.release.set()
            waiting = []
            for client in clients:
                for i in range(20):
                    waiting.append(
                        client.acks.setdefault(f"c{i}", asyncio.get_running_loop().create_future())
                    )
            await asyncio.wait_for(asyncio.gather(*waiting), 30.0)
            assert len(harness.engine.submissions) == count * 20 and harness.front.scheduler.held_bytes == 0

    run(work())


def test_the_drain_reads_no_new_chunk_and_acks_received_ones(tmp_path: Path) -> None:
    async def work() -> None:
        async with running_front(tmp_path) as harness:
            harness.engine.release = asyncio.Event()
            busy, idle = await harness.connect_source(), await harness.connect_source(1)
            waiting = asyncio.ensure_future(send(busy, "c1", chunk("c1")))
            await asyncio.sleep(0.05)
            harness.front.stop_accepting()
            busy.writer.write(chunk("c2"))
            harness.front.drain()
            await asyncio.wait_for(asyncio.shield(idle.task or asyncio.sleep(0)), 5.0)
            harness.engine.release.set()
            assert await waiting == "acked"
            await asyncio.wait_for(asyncio.shield(busy.task or asyncio.sleep(0)), 5.0)
            assert [given.identity for given in harness.engine.submissions] == [
                "c1"
            ] and not harness.front.connections
            with pytest.raises(OSError):
                await harness.connect_source()

    run(work())


@pytest.mark.parametrize("behind", [b"\xc1\xc1\xc1", None, b""])
def test_chunks_read_before_a_connection_ends_are_acked(tmp_path: Path, behind: bytes | None) -> None:
    """Guards against acks that are lost with the connection: garbage, half a chunk, or EOF behind the chunk."""

    async def work() -> None:
        async with running_front(tmp_path, FrontLimits(chunk_ms=100.0)) as harness:
            harness.engine.release = asyncio.Event()
            client = await harness.connect_source()
            waiting = asyncio.ensure_future(send(client, "c1", chunk("c1")))
            await asyncio.sleep(0.05)
            if behind:
                client.writer.write(behind)
            elif behind is None:
                client.writer.write(chunk("c2")[:-5])
            else:
                client.writer.write_eof()
            await asyncio.sleep(0.2)
            readers = harness.front.scheduler.readers.values()
            assert not any(reader.partial_bytes for reader in readers), "nothing is kept of the rest"
            harness.engine.release.set()
            assert await waiting == "acked"
            assert len(harness.engine.submissions) == 1

    run(work())


def test_heartbeats(tmp_path: Path) -> None:
    async def work() -> None:
        async with running_front(tmp_path, udp_heartbeats=True) as harness:
            client = await harness.connect_source()
            client.writer.write(b"\xc0\xc0")
            assert await send(client, "c1", chunk("c1")) == "acked"
            loop = asyncio.get_running_loop()
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp_socket:
                udp_socket.setblocking(False)
                udp_socket.connect(("127.0.0.1", harness.port))
                await loop.sock_sendall(udp_socket, b"\0")
                assert await asyncio.wait_for(loop.sock_recv(udp_socket, 10), 5.0) == b"\0"

    run(work())


def test_order_by_key_is_kept_when_a_chunk_decodes_slowly(tmp_path: Path) -> None:
    async def work() -> None:
        async with running_front(tmp_path) as harness:
            client = await harness.connect_source()
            big = message.packed_message(
                "pay.x",
                events.pack([Event(EventTime(1), {"n": i}) for i in range(30_000)]),
                "c1",
                30_000,
                compress=True,
            )
            both = [
                asyncio.ensure_future(send(client, "c1", big)),
                asyncio.ensure_future(send(client, "c2", chunk("c2", "pay.x"))),
            ]
            assert await asyncio.gather(*both) == ["acked", "acked"]
            assert [given.identity for given in harness.engine.submissions] == ["c1", "c2"]

    run(work())
