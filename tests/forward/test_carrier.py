"""The carrier against sinks that ack, spoil, hang, refuse, and do not know the key; and against a second front."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from msgpack import packb

from brassweir.core.identity import delivery_id
from brassweir.core.offload import Offload
from brassweir.core.ports import BlockReason, Payload
from brassweir.forward import events, handshake, message
from brassweir.forward.carrier import ForwardCarrier
from brassweir.forward.link import Credentials
from brassweir.forward.message import Message, Mode
from brassweir.forward.session import Admitted, Denied, Session
from brassweir.interface import Result
from brassweir.lab.standins.sink import Keys
from brassweir.net.limits import Limits
from brassweir.net.pool_manager import PoolManager
from tests.conftest import run
from tests.forward.server import (
    KEY,
    Act,
    Line,
    Server,
    Urls,
    ack,
    attempt,
    carry,
    drop,
    made,
    outcomes,
    payload,
)
from tests.forward.stage import stage


def test_an_ack_is_delivery_and_entries_go_on_as_they_came() -> None:
    (one,), server = outcomes(ack)
    assert one.result is Result.OK and not one.rejected
    (got,) = server.got
    assert (got.tag, got.chunk, got.data, got.size) == (
        "log.a",
        delivery_id("edge", "c0"),
        payload().content,
        2,
    )
    assert server.lines[0].session.source == "s1"


@pytest.mark.parametrize(
    ("act", "result", "may_have_run"),
    [
        (drop, Result.RESET, True),
        (lambda line, given: None, Result.TIMEOUT, True),
        (lambda line, given: line.say(b"\xc1"), Result.ERROR, True),
        (lambda line, given: line.say(message.ack("other")), Result.ERROR, True),
        (lambda line, given: line.say(packb(["no", "ack"])), Result.ERROR, True),
        (lambda line, given: line.say(message.ack(given.chunk)[:4]) or drop(line, given), Result.RESET, True),  # type: ignore[func-returns-value]
    ],
)
def test_endings_after_the_first_byte_may_have_run(act: Act, result: Result, may_have_run: bool) -> None:
    (one,), _ = outcomes(act, span=0.3)
    assert (one.result, one.may_have_run) == (result, may_have_run)


def test_who_is_not_let_in_has_sent_nothing() -> None:
    (one,), server = outcomes(ack, key=b"wrong")
    assert one.result is Result.NO_CONNECTION and "not let in" in one.reason and not server.got
    (one,), server = outcomes(ack, mute=True)
    assert one.result is Result.NO_CONNECTION and not server.got


def test_a_server_that_does_not_know_the_key_gets_nothing() -> None:
    """It lets everybody in and cannot prove the key: a chunk is not for it."""

    class Impostor(Session):
        def _admit(self, frame: bytes) -> Admitted | Denied:
            given = handshake.read_ping(frame)
            self.source = given.hostname
            return Admitted(self.source, handshake.Pong(True, "", "sink", "0" * 128).encode())

    async def work() -> None:
        server = Server(ack)
        url = await server.start()
        original = Line.connection_made

        def made_up(line: Line, transport: asyncio.BaseTransport) -> None:
            line.session = Impostor(Keys(KEY), "sink", b"n", b"", 1000)
            original(line, transport)

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(Line, "connection_made", made_up)
            (one,) = await carry(made(url), [attempt(1)])
        assert (
            one.result is Result.NO_CONNECTION
            and "does not know the shared key" in one.reason
            and not server.got
        )
        server.stop()

    run(work())


def test_a_batch_shares_a_call_and_each_has_its_own_ending() -> None:
    def act(line: Line, given: Message) -> None:
        if given.chunk != delivery_id("edge", "c1"):
            ack(line, given)

    found, server = outcomes(act, attempts=3, batch=4, span=0.4)
    assert [one.result for one in found] == [Result.OK, Result.TIMEOUT, Result.OK]
    assert len(server.lines) == 1 and len(server.got) == 3
    found, server = outcomes(ack, attempts=5, batch=2)
    assert [one.result for one in found] == [Result.OK] * 5 and len(server.lines) == 3


def test_a_connection_is_used_again_unless_acks_are_missing_or_the_server_says_no() -> None:
    async def work(server: Server, calls: int) -> int:
        carrier = made(await server.start())
        for number in range(calls):
            await carry(carrier, [attempt(number, 0.2)])
            await asyncio.sleep(0.02)
        carrier.pools.close_all_idle()
        server.stop()
        return len(server.lines)

    assert run(work(Server(ack), 3)) == 1
    assert run(work(Server(ack, keepalive=False), 3)) == 3
    assert run(work(Server(lambda line, given: None), 2)) == 2, "a late ack must not meet a later call"


def test_no_server_no_address_no_entries() -> None:
    async def work() -> None:
        server = Server(ack)
        url = await server.start()
        server.stop()
        await asyncio.sleep(0.05)
        (one,) = await carry(made(url), [attempt(1)])
        assert one.result is Result.NO_CONNECTION
        (one,) = await carry(made(None), [attempt(1)])
        assert one.result is Result.NO_CONNECTION
        (one,) = await carry(made(url), [attempt(1, content=Payload(events.PACKED, b"\xc1", "t"))])
        assert one.result is Result.NO_CONNECTION and "cannot be built" in one.reason

    run(work())


def test_an_open_server_without_a_key_is_served_without_a_handshake() -> None:
    async def work() -> None:
        got = bytearray()

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            got.extend(await reader.read(10_000))
            writer.write(message.ack(message.read(bytes(got)).chunk))

        listener = await asyncio.start_server(serve, "127.0.0.1", 0)
        url = f"forward://127.0.0.1:{listener.sockets[0].getsockname()[1]}"
        (one,) = await carry(made(url, key=b""), [attempt(1)])
        assert one.result is Result.OK and message.read(bytes(got)).mode is Mode.PACKED
        listener.close()

    run(work())


def test_a_chain_of_two(tmp_path: Path) -> None:
    """What one sender carries, another takes: the ack of the second is the delivery of the first."""

    async def work() -> None:
        async with stage(tmp_path) as second:
            carrier = ForwardCarrier(
                Urls(f"forward://127.0.0.1:{second.port}"),
                PoolManager(Limits(), 8, 5000.0, 500.0),
                Credentials("edge-0", b"key edge-0"),
                Offload(1),
                lambda *_: None,
                batch=8,
                compress=True,
            )
            found = await carry(carrier, [attempt(number) for number in range(4)])
            assert [one.result for one in found] == [Result.OK] * 4
            assert {given.identity for given in second.engine.taken} == {
                delivery_id("edge", f"c{number}") for number in range(4)
            }
            again = await carry(carrier, [attempt(2)])
            assert again[0].result is Result.OK and len(second.engine.taken) == 4, (
                "a repeat has no second effect"
            )
            carrier.pools.close_all_idle()

    run(work())


def test_one_that_may_not_begin_any_more_is_not_written_and_says_so_at_once() -> None:
    async def work() -> None:
        server = Server(ack)
        carrier = made(await server.start(), batch=2)
        try:
            start_guard, over = attempt(0, 8.0), attempt(1, 8.0)
            over.start_guard.check = lambda: BlockReason.MESSAGE_OVER
            one, other = await asyncio.wait_for(carry(carrier, [start_guard, over]), 4.0)
            assert one.result is Result.OK and not other.may_have_run
            assert [got.chunk for got in server.got] == [delivery_id("edge", "c0")]
        finally:
            carrier.pools.close_all_idle()
            server.stop()

    run(work())
