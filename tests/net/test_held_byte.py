"""A reset received while the event loop is blocked is noticed before the last byte of a call is sent."""

from __future__ import annotations

import asyncio
import socket
import struct
import threading

from brassweir.net.client import Address, CallFailed, HttpPool, Stage
from brassweir.net.headers import Headers
from brassweir.net.limits import Limits
from tests.conftest import run

HOLD_SECONDS = 0.0005  # passes while the loop is blocked


class ResettingPeer:
    """A peer in its own thread that resets the connection once it receives the first bytes of the request."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.received, self.done = b"", threading.Event()
        self.thread = threading.Thread(target=self.serve, daemon=True)
        self.thread.start()

    def serve(self) -> None:
        connection, _ = self.listener.accept()
        self.received = connection.recv(4)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.close()
        self.done.set()


def test_reset_during_a_blocked_loop_is_read_before_the_last_byte() -> None:
    async def work() -> None:
        loop, peer = asyncio.get_running_loop(), ResettingPeer()
        pool = HttpPool(
            Address.parse(f"http://127.0.0.1:{peer.listener.getsockname()[1]}/x"), Limits(), 4, 500.0, 300.0
        )

        def may_start() -> bool:
            loop.call_soon(lambda: peer.done.wait(2.0))  # blocks the loop until the reset is sent
            return True

        try:
            await pool.post(Headers(), b"body", loop.time() + 2.0, loop.time() + 2.0, may_start, HOLD_SECONDS)
        except CallFailed as failure:
            assert failure.stage is Stage.CONNECT, "the peer never had the complete request"
        else:
            raise AssertionError("the peer sends no response")
        peer.listener.close()

    run(work())
