"""File descriptors of the watch: none leak, and their shortage only delays it."""

from __future__ import annotations

import asyncio
import os
import resource
from contextlib import suppress

from brassweir.relay.discovery import MOST_UNCONFIRMED
from tests.conftest import run
from tests.relay.moved import Full, Heard, Peer, change, moved, now, says


def descriptors() -> int:
    return len(os.listdir("/proc/self/fd"))


def test_connections_that_never_come_up_are_let_go() -> None:
    """After timeouts, and after moves during connection setup."""

    async def play() -> None:
        with Full() as here, Full() as there:
            heard = Heard(here)
            heard.watch.start()
            await asyncio.sleep(0.01)
            before = descriptors() - 1
            await asyncio.sleep(10.0)
            assert heard.watch.opened > 50 and heard.notes
            for address in (there, here, there, there):
                heard.watch.move(address)
                await asyncio.sleep(0.01)
            assert descriptors() <= before + MOST_UNCONFIRMED
            async with Peer(says(change(2))) as peer:
                heard.watch.move(peer.address)
                await heard.until(2)
            heard.watch.stop()
            await asyncio.sleep(0.01)
            assert descriptors() <= before

    moved(play())


def test_connections_that_are_left_are_let_go_in_service() -> None:
    """The same after moves alone, on a real event loop."""

    async def play() -> None:
        with Full() as here:
            heard = Heard(here)
            heard.watch.start()
            await asyncio.sleep(0.01)
            before = descriptors()
            for _ in range(5):
                heard.watch.move(here)
                await asyncio.sleep(0.01)
            assert descriptors() <= before
            heard.watch.stop()

    run(play())


def test_no_descriptor_left_puts_the_watch_off_and_no_more() -> None:
    async def play() -> None:
        async with Peer(says(change(2))) as peer:
            heard = Heard(peer.address)
            soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
            taken: list[int] = []
            try:
                resource.setrlimit(
                    resource.RLIMIT_NOFILE, (max(map(int, os.listdir("/proc/self/fd"))) + 2, hard)
                )
                with suppress(OSError):
                    while True:
                        taken.append(os.dup(0))
                heard.watch.start()
                while not heard.notes:
                    await asyncio.sleep(0.001)
            finally:
                resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
                for one in taken:
                    os.close(one)
            began = now()
            assert await heard.until(2) - began < 0.25 and "open files" in str(heard.notes[0])
            heard.watch.stop()

    run(play())
