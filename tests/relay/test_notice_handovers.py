"""Notices when the platform moves or answers just as a post times out: each is acknowledged once."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable

import pytest

from brassweir.net.limits import Limits
from brassweir.net.pool_manager import PoolManager
from brassweir.relay import notices
from brassweir.relay.notices import Notice, NoticeSender
from tests.conftest import run

ANSWER = b"HTTP/1.1 204 X\r\nContent-Length: 0\r\n\r\n"
Step = Callable[["PlatformAddress", asyncio.StreamWriter], Awaitable[None]]


class PlatformAddress:
    """An address of the platform; the first post is handled by ``step``, all others are answered."""

    def __init__(self, step: Step | None = None) -> None:
        self.step, self.posts = step, list[list[str]]()

    async def start(self) -> str:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                body = await reader.readexactly(
                    int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
                )
                self.posts.append([json.loads(line)["ref"] for line in body.splitlines()])
                step, self.step = self.step, None
                if step is not None:
                    await step(self, writer)
                else:
                    writer.write(ANSWER)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


async def cut(_: PlatformAddress, writer: asyncio.StreamWriter) -> None:
    """Abort the connection instead of answering."""
    writer.transport.abort()


async def answered(_: PlatformAddress, writer: asyncio.StreamWriter) -> None:
    writer.write(ANSWER)


async def silent(_: PlatformAddress, writer: asyncio.StreamWriter) -> None:
    """Never answer."""


async def late(_: PlatformAddress, writer: asyncio.StreamWriter) -> None:
    """Answer just as the post times out."""
    await asyncio.sleep(notices.MIN_POST_TIMEOUT_SECONDS)
    if not writer.is_closing():
        writer.write(ANSWER)


@pytest.mark.parametrize("moves", [False, True])
@pytest.mark.parametrize(("step", "again"), [(cut, True), (answered, False), (silent, True), (late, True)])
def test_a_notice_is_acknowledged_once_whatever_becomes_of_its_post(
    monkeypatch: pytest.MonkeyPatch, step: Step, again: bool, moves: bool
) -> None:
    monkeypatch.setattr(notices, "MIN_POST_TIMEOUT_SECONDS", 0.05)

    async def work() -> None:
        acknowledged, sender = (
            list[int](),
            NoticeSender(
                pools := PoolManager(Limits(), 8, 500.0, 300.0),
                "127.0.0.1:1",
                lambda message: acknowledged.append(message),
                lambda *_: None,
            ),
        )
        new = PlatformAddress()
        new_address = await new.start()

        async def during_post(address: PlatformAddress, writer: asyncio.StreamWriter) -> None:
            sender.add(2, Notice("m2", "dead"))  # while the first is in flight
            if moves:
                sender.move(new_address)
            await step(address, writer)

        old = PlatformAddress(during_post)
        sender.move(await old.start())
        sender.add(1, Notice("m1", "bounced", 500))
        for _ in range(100):
            if len(acknowledged) == 2:
                break
            await asyncio.sleep(0.01)
        assert acknowledged == [1, 2] and not sender.pending
        rest = new.posts if moves else old.posts[1:]
        assert old.posts[0] == ["m1"] and (len(old.posts) == 1 if moves else not new.posts)
        # A notice may arrive twice: a post in flight is cancelled when the platform moves.
        assert rest == [["m1", "m2"]] or (not again and rest == [["m2"]])
        pools.close_all_idle()
        old.server.close()
        new.server.close()

    run(work())
