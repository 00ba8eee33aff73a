"""The server against raw sockets: invalid, oversized and smuggled requests."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from brassweir.net.limits import Limits
from brassweir.net.server import Server
from tests.conftest import run
from tests.net.server_client import SMALL_LIMITS, RecordingHandler, exchange, post


@pytest.mark.parametrize("pieces", [1, 7, 60])
def test_requests_in_any_number_of_pieces(pieces: int) -> None:
    handler = RecordingHandler()
    chunked = (
        b"POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nTrailer: ignored\r\n\r\n"
    )
    for raw, body in ((post(b"x" * 300), b"x" * 300), (chunked, b"abcde")):
        answer = run(exchange(raw, handler, pieces=pieces))
        assert answer.startswith(b"HTTP/1.1 200 OK\r\n") and answer.endswith(b"\r\n\r\n" + body)
        assert not handler.requests[-1].headers.all("trailer")


def test_pipelined_requests_are_answered_in_order_on_one_connection() -> None:
    handler = RecordingHandler()
    answer = run(exchange(post(b"one", close=False) + post(b"two", close=False) + post(b"three"), handler))
    assert [request.body for request in handler.requests] == [b"one", b"two", b"three"]
    assert answer.count(b"HTTP/1.1 200") == 3 and answer.index(b"one") < answer.index(b"two")


@pytest.mark.parametrize(
    ("raw", "status"),
    [
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            b"400",
        ),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc", b"400"),
        (b"POST / HTTP/1.1\nHost: a\nContent-Length: 3\n\nabc", b"400"),
        (b"POST / HTTP/1.1\r\nHost: a\r\nX: b\r\n folded\r\n\r\n", b"400"),
        (b"POST / HTTP/1.1\r\nHost: a\r\nX : b\r\n\r\n", b"400"),
        (b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", b"501"),
        (b"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", b"501"),
        (b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", b"400"),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -3\r\n\r\n", b"400"),
        (b"POST / HTTP/1.1\r\nHost: a\r\nHost: b\r\nContent-Length: 0\r\n\r\n", b"400"),
        (b"POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n", b"400"),
        (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", b"400"),
        (b"GARBAGE\r\n\r\n", b"400"),
        (b"POST / HTTP/1.1\r\nHost: a\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n", b"400"),
        (b"POST / HTTP/1.1\r\nHost: a\r\nExpect: miracles\r\nContent-Length: 1\r\n\r\n", b"417"),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5001\r\n\r\n", b"413"),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1388\r\n"
            + b"x" * 5000
            + b"\r\n5\r\nabcde\r\n0\r\n\r\n",
            b"413",
        ),
        (b"POST / HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 1_000_000 + b"\r\n\r\n", b"431"),
        (b"POST / HTTP/1.1\r\nHost: a\r\n" + b"X: y\r\n" * 30 + b"\r\n", b"431"),
        (b"POST /" + b"y" * 100_000 + b" HTTP/1.1\r\nHost: a\r\n\r\n", b"4"),
    ],
)
def test_bad_requests_are_rejected_and_nothing_after_them_is_read(raw: bytes, status: bytes) -> None:
    handler = RecordingHandler()
    answer = run(exchange(raw + post(b"smuggled"), handler))
    # A peer that is still sending may see a reset instead of the response; the error is reported anyway.
    assert answer == b"" or answer.startswith(b"HTTP/1.1 " + status), answer[:80]
    assert str(handler.errors[0][0]).encode().startswith(status)
    assert not handler.requests


def test_bad_request_after_a_good_one_does_not_affect_it() -> None:
    handler = RecordingHandler()
    answer = run(exchange(post(b"good", close=False) + b"garbage\r\n\r\n", handler))
    assert answer.startswith(b"HTTP/1.1 200") and b"HTTP/1.1 400" in answer
    assert [request.body for request in handler.requests] == [b"good"]


def test_100_continue_is_sent_before_the_body_if_expected() -> None:
    async def work() -> tuple[bytes, bytes]:
        server = Server(RecordingHandler(), SMALL_LIMITS)
        reader, writer = await asyncio.open_connection("127.0.0.1", await server.listen("127.0.0.1", 0))
        head, body = post(b"abc", "Expect: 100-continue\r\n").split(b"\r\n\r\n")
        writer.write(head + b"\r\n\r\n")
        first = await reader.readuntil(b"\r\n\r\n")
        writer.write(body)
        return first, await reader.read()

    first, rest = run(work())
    assert first == b"HTTP/1.1 100 Continue\r\n\r\n" and rest.endswith(b"abc")


def test_handler_exception_is_a_500_and_abort_cuts_the_response() -> None:
    handler = RecordingHandler()
    assert run(exchange(post(path="/boom"), handler)).startswith(b"HTTP/1.1 500")
    assert handler.errors == [(500, "RuntimeError: a fault")]
    assert run(exchange(post(path="/abort"), handler)) == b"HTTP/1.1 2"


@settings(max_examples=60, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(
    st.lists(
        st.one_of(
            st.binary(max_size=60),
            st.sampled_from(
                [
                    b"POST / HTTP/1.1\r\n",
                    b"Host: a\r\n",
                    b"\r\n",
                    b"Content-Length: 3\r\n",
                    b"0\r\n\r\n",
                    b"Transfer-Encoding: chunked\r\n",
                    b"Expect: 100-continue\r\n",
                    post(),
                ]
            ),
        ),
        max_size=8,
    )
)
def test_no_bytes_crash_the_server(parts: list[bytes]) -> None:
    async def work() -> bytes:
        handler = RecordingHandler()
        server = Server(
            handler, Limits(head_bytes=2000, body_bytes=500, head_ms=50.0, body_ms=50.0, idle_ms=50.0)
        )
        port = await server.listen("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            for part in parts:
                writer.write(part)
            writer.write_eof()
            await reader.read()
        except (ConnectionError, OSError):
            pass
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(post(b"still here"))
        answer = await reader.read()
        assert not any(status == 500 for status, _ in handler.errors)
        server.abort()
        return answer

    assert run(work()).endswith(b"still here")
