"""A recording handler for the server, and raw sockets that send requests."""

from __future__ import annotations

import asyncio

from brassweir.net.limits import Limits
from brassweir.net.server import Abort, Request, Response, Server

SMALL_LIMITS = Limits(
    head_bytes=2000,
    max_headers=20,
    body_bytes=5000,
    buffered_bytes=20_000,
    connections=50,
    head_ms=300.0,
    body_ms=300.0,
    idle_ms=600.0,
    write_ms=300.0,
)


class RecordingHandler:
    """An echo handler that records requests and reported errors."""

    def __init__(self) -> None:
        self.requests: list[Request] = []
        self.errors: list[tuple[int, str]] = []
        self.release: asyncio.Event | None = None

    async def __call__(self, request: Request) -> Response:
        self.requests.append(request)
        if self.release is not None:
            await self.release.wait()
        if request.path == "/boom":
            raise RuntimeError("a fault")
        if request.path == "/abort":
            raise Abort(b"HTTP/1.1 2")
        return Response(200, body=request.body)

    def report_error(self, peer: str, status: int, reason: str) -> None:
        self.errors.append((status, reason))


async def exchange(
    raw: bytes,
    handler: RecordingHandler,
    limits: Limits = SMALL_LIMITS,
    *,
    pieces: int = 1,
    eof: bool = False,
    wait: float = 3.0,
) -> bytes:
    server = Server(handler, limits, handler.report_error)
    port = await server.listen("127.0.0.1", 0)
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        step = max(1, len(raw) // pieces)
        for start in range(0, len(raw), step):
            writer.write(raw[start : start + step])
            await writer.drain()
            if pieces > 1:
                await asyncio.sleep(0.001)
        if eof:
            writer.write_eof()
        async with asyncio.timeout(wait):
            return await reader.read()
    except (ConnectionError, TimeoutError):
        return b""
    finally:
        writer.close()
        server.abort()


def post(body: bytes = b"abc", extra: str = "", path: str = "/", close: bool = True) -> bytes:
    connection = "Connection: close\r\n" if close else ""
    return (
        f"POST {path} HTTP/1.1\r\nHost: a\r\n{connection}{extra}Content-Length: {len(body)}\r\n\r\n".encode()
        + body
    )
