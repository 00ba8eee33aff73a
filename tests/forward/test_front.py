"""The front over loopback sockets: what a source is told, and what it can make us hold."""

from __future__ import annotations

import asyncio
import gzip
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
from msgpack import packb

from brassweir.core.ledger import Ledger, Record, Taken
from brassweir.core.offload import Offload
from brassweir.core.ports import Answer, FinalAnswer, Payload, Submission
from brassweir.forward import events, message
from brassweir.forward.decide.rules import Body, TagRule
from brassweir.forward.errors import ForwardError
from brassweir.forward.events import Event, EventTime
from brassweir.forward.front import ForwardFront
from brassweir.forward.message import Mode
from brassweir.forward.ports import Bounds, Source
from brassweir.interface import Effect, MessageClass
from brassweir.lab.shipper import Line, connect
from brassweir.undelivered.item import Item
from brassweir.undelivered.store import Kept, read_all
from tests.conftest import run

CLASSES = {"status": MessageClass("status", 500.0, 5000.0, Effect.SAFE),
           "order": MessageClass("order", 500.0, 5000.0, Effect.KEYED, window=10_000.0, in_order=True)}
RULES = (TagRule("log.**", "status", "store"), TagRule("pay.*", "order", "bank", Body.PACKED, "{1}"), TagRule("far", "status", "nowhere"))
DELIVERED, FAILED = FinalAnswer(Answer.DELIVERED), FinalAnswer(Answer.FAILED, "the destination said no")
REFUSED = FinalAnswer(Answer.REFUSED, "not now", 300.0)


class Engine:
    """A ledger, and answers as a test scripts them; ``hold`` keeps them back."""

    def __init__(self) -> None:
        self.ledger = Ledger(CLASSES, 60_000.0, 1000)
        self.answers: dict[str, FinalAnswer] = {}
        self.taken: list[Submission] = []
        self.hold: asyncio.Event | None = None

    @property
    def now(self) -> float:
        return asyncio.get_running_loop().time() * 1000.0

    def knows(self, owner: str, identity: str) -> bool:
        record = self.ledger.by_name.get((owner, identity))
        return record is not None and (record.answer is None or self.ledger.reopens(record, self.now) <= 0.0)

    def submit(self, submission: Submission, waiter: Callable[[FinalAnswer], None]) -> tuple[Taken, Record]:
        how, record = self.ledger.take(submission, self.now, waiter)
        loop = asyncio.get_running_loop()
        if how is Taken.ENDED:
            assert record.answer is not None
            loop.call_soon(waiter, record.answer)
        elif how is Taken.NEW:
            self.taken.append(submission)
            loop.create_task(self._end(record))
        return how, record

    async def _end(self, record: Record) -> None:
        if self.hold is not None:
            await self.hold.wait()
        answer = self.answers.get(record.submission.identity, DELIVERED)
        for waiter in self.ledger.finish(record.id, answer, self.now) or []:
            waiter(answer)


class Gate:
    def __init__(self, names: dict[str, bytes]) -> None:
        self.names = names

    def keys(self, source: str) -> tuple[bytes, ...]:
        return (self.names[source],) if source in self.names else ()

    def password(self, source: str, username: str) -> bytes | None:
        return None

    def needs_user(self) -> bool:
        return False


class Stage:
    """A front, its engine, and what it noted."""

    def __init__(self, folder: Path, bounds: Bounds, sources: int, acks: bool, kept: int) -> None:
        self.engine, self.folder = Engine(), folder
        self.notes: list[tuple[str, dict[str, object]]] = []
        names = [f"edge-{i}" for i in range(sources)]
        self.kept = Kept(folder, kept)
        self.gate = Gate({name: f"key {name}".encode() for name in names})
        self.front = ForwardFront(
            {name: Source(name, RULES, acks) for name in names}, self.gate, "hub", CLASSES,
            {"store": 1, "bank": 2}.get, self.engine, Offload(2), self._keep, lambda event, details: self.notes.append((event, details)), bounds)
        self.port = 0
        self.lines: list[Line] = []

    async def _keep(self, item: Item) -> None:
        await asyncio.to_thread(self.kept.keep, item)

    async def line(self, number: int = 0) -> Line:
        one = await connect("127.0.0.1", self.port, f"edge-{number}", f"key edge-{number}".encode())
        self.lines.append(one)
        return one

    def noted(self, event: str) -> list[dict[str, object]]:
        return [details for name, details in self.notes if name == event]

    def items(self) -> list[Item]:
        return [item for _, item in read_all(self.folder) if isinstance(item, Item)]


@asynccontextmanager
async def stage(folder: Path, bounds: Bounds | None = None, sources: int = 2, acks: bool = True, kept: int = 10_000_000,
                **kwargs: Any) -> AsyncIterator[Stage]:
    one = Stage(folder / "kept", bounds or Bounds(), sources, acks, kept)
    one.port = await one.front.listen("127.0.0.1", 0, **kwargs)
    try:
        yield one
    finally:
        for line in one.lines:
            line.close()
        one.front.abort()
        one.front.offload.close()


def chunk(ident: str, tag: str = "log.a", mode: Mode = Mode.PACKED, count: int = 2) -> bytes:
    return message.build(mode, tag, [Event(EventTime(1_700_000_000), {"n": i}) for i in range(1 if mode is Mode.MESSAGE else count)], ident)


async def send(line: Line, ident: str, data: bytes, seconds: float = 5.0) -> str:
    waiting: asyncio.Future[str] = asyncio.get_running_loop().create_future()
    line.acks[ident] = waiting
    line.writer.write(data)
    async with asyncio.timeout(seconds):
        return await waiting


@pytest.mark.parametrize("mode", list(Mode))
def test_every_mode_is_delivered_and_acked(tmp_path: Path, mode: Mode) -> None:
    async def work() -> None:
        async with stage(tmp_path) as one:
            assert await send(await one.line(), "c1", chunk("c1", mode=mode)) == "acked"
            (given,) = one.engine.taken
            assert (given.owner, given.identity, given.class_name, given.destination) == ("edge-0", "c1", "status", 1)
            assert isinstance(given.payload, Payload) and given.payload.content_type == events.LINES
            assert given.payload.content.count(b"\n") == (1 if mode is Mode.MESSAGE else 2)
            assert given.left == 4900.0
            assert await send(one.lines[0], "c2", chunk("c2", "pay.x", mode)) == "acked"
            packed = one.engine.taken[1].payload
            assert isinstance(packed, Payload) and packed.content_type == events.PACKED and one.engine.taken[1].key == "edge-0\nx"
            assert one.front.turns.held == 0

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
                "edge-0", "c1", "bank", "the destination said no", "pay.x")
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


@pytest.mark.parametrize(("data", "reason"), [
    (packb(["log.a", packb([1, {}]) + packb([2, "no map"]), {"chunk": "c1"}]), "no map"),
    (packb(["log.a", b"", {"chunk": "c1"}]), "without entries"),
    (packb(["log.a", b"not gzip", {"chunk": "c1", "compressed": "gzip"}]), "no gzip"),
    (packb(["log.a", gzip.compress(b"\0" * 80_000_000), {"chunk": "c1", "compressed": "gzip"}]), "when decompressed"),
])
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
            assert one.front.turns.sources["edge-0"].until > 0

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


def test_half_a_chunk_then_silence(tmp_path: Path) -> None:
    async def work() -> None:
        async with stage(tmp_path, Bounds(chunk_time=200.0)) as one:
            line = await one.line()
            line.writer.write(chunk("c1")[:-5])
            await asyncio.sleep(0.1)
            assert one.front.turns.held > 0
            await asyncio.wait_for(asyncio.shield(line.task or asyncio.sleep(0)), 5.0)
            assert "not ended in time" in str(one.noted("forward_turned_away")[0]["reason"])
            await asyncio.sleep(0.05)
            assert one.front.turns.held == 0 and not one.front.turns.readers and not one.front.readers

    run(work())


def test_no_handshake_in_time_and_wrong_ones(tmp_path: Path) -> None:
    async def work() -> None:
        async with stage(tmp_path, Bounds(handshake_time=150.0)) as one:
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
            assert one.front.turns.held == 0
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
        room, count = 3_000_000, 60
        async with stage(tmp_path, Bounds(room=room, chunk=200_000), sources=count) as one:
            one.engine.hold = asyncio.Event()
            data = [message.packed_message("log.a", packb([1, {"x": "y" * 50_000}]), f"c{i}", 1) for i in range(20)]
            lines = [await one.line(number) for number in range(count)]
            for line in lines:
                for one_chunk in data:
                    line.writer.write(one_chunk)
            most = 0
            for _ in range(40):
                await asyncio.sleep(0.02)
                most = max(most, one.front.turns.held)
            slices = count * one.front.turns.slice
            assert room / 2 < most < room + slices + 200_000 * 2
            held = [source.held for source in one.front.turns.sources.values()]
            assert min(held) > 0, "nobody is shut out"
            one.engine.hold.set()
            waiting = []
            for line in lines:
                for i in range(20):
                    waiting.append(line.acks.setdefault(f"c{i}", asyncio.get_running_loop().create_future()))
            await asyncio.wait_for(asyncio.gather(*waiting), 30.0)
            assert len(one.engine.taken) == count * 20 and one.front.turns.held == 0

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
            big = message.packed_message("pay.x", events.pack([Event(EventTime(1), {"n": i}) for i in range(30_000)]), "c1", 30_000, compress=True)
            both = [asyncio.ensure_future(send(line, "c1", big)), asyncio.ensure_future(send(line, "c2", chunk("c2", "pay.x")))]
            assert await asyncio.gather(*both) == ["acked", "acked"]
            assert [given.identity for given in one.engine.taken] == ["c1", "c2"]

    run(work())
