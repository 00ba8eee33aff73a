"""How calls of the client end, and which stage a failure reports."""

from __future__ import annotations

import asyncio

import pytest

from brassweir.net.client import Address, CallFailed, HttpPool, Reply, Stage
from brassweir.net.headers import DuplicateHeader, Headers
from tests.conftest import run
from tests.net.raw_peer import LIMITS, ok, post, request, respond_with, with_peer


@pytest.mark.parametrize(
    ("raw", "status", "body"),
    [
        (ok(), 200, b"fine"),
        (b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + ok(), 200, b"fine"),
        (b"HTTP/1.1 503 No\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", 503, b"ab"),
        (b"HTTP/1.0 200 OK\r\n\r\nuntil the end", 200, b"until the end"),
        (b"HTTP/1.1 204 No Content\r\n\r\n", 204, b""),
    ],
)
def test_complete_responses(raw: bytes, status: int, body: bytes) -> None:
    reply = run(with_peer(respond_with(raw), post))
    assert isinstance(reply, Reply) and (reply.status, reply.body) == (status, body)


@pytest.mark.parametrize(
    ("raw", "stage"),
    [
        (b"", Stage.SENT),
        (b"HTTP/1.1 2", Stage.HEAD),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", Stage.BODY),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nabc", Stage.BODY),
        (b"hello\r\n\r\n", Stage.GARBLED),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 6000\r\n\r\n", Stage.GARBLED),
        (b"HTTP/1.1 200 OK\r\nX: " + b"y" * 3000 + b"\r\n\r\n", Stage.GARBLED),
    ],
)
def test_incomplete_or_invalid_responses(raw: bytes, stage: Stage) -> None:
    with pytest.raises(CallFailed) as caught:
        run(with_peer(respond_with(raw), post))
    assert caught.value.stage is stage and not caught.value.timed_out


def test_timed_out_connection_is_not_reused() -> None:
    async def hang(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await request(reader)
        await asyncio.sleep(0.3)
        writer.write(ok(b"late"))

    async def work(pool: HttpPool) -> object:
        with pytest.raises(CallFailed) as caught:
            await post(pool, 0.1)
        assert (caught.value.stage, caught.value.timed_out) == (Stage.SENT, True)
        await asyncio.sleep(0.05)
        return pool.open, len(pool.idle)

    assert run(with_peer(hang, work)) == (0, 0)


def test_connection_refused() -> None:
    async def work() -> list[tuple[Stage, bool]]:
        failures = []
        server = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        server.close()
        await server.wait_closed()
        pool = HttpPool(Address.parse(f"http://127.0.0.1:{port}/"), LIMITS, 1, 100.0, 200.0)
        try:
            await post(pool)
        except CallFailed as failure:
            failures.append((failure.stage, failure.timed_out))
        assert pool.open == 0
        return failures

    assert run(work()) == [(Stage.CONNECT, False)]


@pytest.mark.parametrize(
    "url",
    [
        "ftp://a/",
        "http:///x",
        "http://u:p@a/",
        "http://a/#f",
        "http://a/b c",
        "x",
        "http://a:99999/",
        "http://a/\r\nX: y",
    ],
)
def test_invalid_urls(url: str) -> None:
    with pytest.raises(ValueError):
        Address.parse(url)


def test_headers_reject_injection_and_contradictory_values() -> None:
    headers = Headers()
    for name, value in (("A", "x\r\nB: y"), ("A\r\n", "x"), ("", "x"), ("A:", "x"), ("A", "\0")):
        with pytest.raises(ValueError):
            headers.add(name, value)
    headers.add("AS2-From", "a")
    headers.add("as2-from", "a")
    assert headers.one("As2-From") == "a"
    headers.add("AS2-FROM", "b")
    with pytest.raises(DuplicateHeader):
        headers.one("as2-from")
