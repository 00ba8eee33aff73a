"""The requests and responses of the HTTP/1.1 server, and the checks on a request's head."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from email.utils import formatdate
from http import HTTPStatus

from brassweir.net.headers import Headers
from brassweir.net.parse import IncomingMessage


@dataclass(slots=True)
class Request:
    """A complete request. ``disconnected`` is set once its connection is closed."""

    method: str
    path: str
    headers: Headers
    body: bytes
    peer: str
    disconnected: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(slots=True)
class Response:
    """A response; ``close`` closes the connection after it."""

    status: int
    headers: Headers = field(default_factory=Headers)
    body: bytes = b""
    close: bool = False


class Abort(Exception):
    """Raised by a handler to close the connection, after writing ``final_bytes`` if there are any."""

    def __init__(self, final_bytes: bytes = b"") -> None:
        super().__init__("connection aborted by the handler")
        self.final_bytes = final_bytes


Handler = Callable[[Request], Awaitable[Response]]
ErrorReporter = Callable[[str, int, str], None]  # peer, status, reason


def encode_response(response: Response, keep_alive: bool, omit_body: bool = False) -> bytes:
    """Returns the response as bytes; ``omit_body`` leaves out the body, for HEAD requests."""
    headers = Headers(response.headers.pairs)
    headers.add("Date", formatdate(usegmt=True))
    headers.add("Content-Length", str(len(response.body)))
    headers.add("Connection", "keep-alive" if keep_alive else "close")
    phrase = HTTPStatus(response.status).phrase
    return headers.encode_head(f"HTTP/1.1 {response.status} {phrase}") + (b"" if omit_body else response.body)


def head_error(message: IncomingMessage) -> tuple[int, str] | None:
    """Returns the status and reason to reject a request's head with, or None if it is acceptable."""
    headers = message.headers
    if message.version == "1.1" and len(headers.all("host")) != 1:
        return 400, "one Host field is needed"
    codings = headers.all("transfer-encoding")
    if codings and (message.version != "1.1" or [coding.lower() for coding in codings] != ["chunked"]):
        return 501, "only chunked is served as transfer coding, and only in HTTP/1.1"
    if headers.first("expect").lower() not in ("", "100-continue"):
        return 417, "unknown expectation"
    return None
