"""The last byte of a call is held back: what came meanwhile is read before it goes, also by a loop that stood still."""

from __future__ import annotations

import asyncio
import socket
import struct
import threading

from brassweir.net.client import Address, CallFailed, HttpPool, Stage
from brassweir.net.headers import Headers
from brassweir.net.limits import Limits
from tests.conftest import run

HOLD = 0.0005  # seconds, over long before the loop goes on


class Resetting:
    """A peer of its own thread, which resets the connection as the request begins to come."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.got, self.done = b"", threading.Event()
        self.thread = threading.Thread(target=self.serve, daemon=True)
        self.thread.start()

    def serve(self) -> None:
        connection, _ = self.listener.accept()
        self.got = connection.recv(4)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.close()
        self.done.set()


def test_a_reset_that_came_while_the_loop_stood_still_is_read_before_the_last_byte() -> None:
    async def work() -> None:
        loop, peer = asyncio.get_running_loop(), Resetting()
        pool = HttpPool(
            Address.parse(f"http://127.0.0.1:{peer.listener.getsockname()[1]}/x"), Limits(), 4, 500.0, 300.0
        )

        def begins() -> bool:
            loop.call_soon(
                lambda: peer.done.wait(2.0)
            )  # behind the first bytes the loop stands until the reset has come
            return True

        try:
            await pool.post(Headers(), b"body", loop.time() + 2.0, loop.time() + 2.0, begins, HOLD)
        except CallFailed as failed:
            assert failed.stage is Stage.CONNECT, "it never had it whole, and cannot have run it"
        else:
            raise AssertionError("it has no answer")
        peer.listener.close()

    run(work())
