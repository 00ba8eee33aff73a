"""What an HTTP/1.1 server hands its handler, and what it is given back."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from email.utils import formatdate
from http import HTTPStatus

from brassweir.net.headers import Headers
from brassweir.net.parse import Incoming


@dataclass(slots=True)
class Request:
    """One whole request. ``gone`` is set once its client has dropped the connection."""

    method: str
    path: str
    headers: Headers
    body: bytes
    peer: str
    gone: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(slots=True)
class Response:
    """What goes back; ``close`` ends the connection after it."""

    status: int
    headers: Headers = field(default_factory=Headers)
    body: bytes = b""
    close: bool = False


class Abort(Exception):
    """A handler wants the connection cut, after these bytes and no more."""

    def __init__(self, last: bytes = b"") -> None:
        super().__init__("cut by the handler")
        self.last = last


Handler = Callable[[Request], Awaitable[Response]]
Complaint = Callable[[str, int, str], None]  # peer, status, reason


def encoded(response: Response, keep: bool, bare: bool = False) -> bytes:
    """One whole response as it is written; ``bare`` without its body, for HEAD."""
    headers = Headers(response.headers.pairs)
    headers.add("Date", formatdate(usegmt=True))
    headers.add("Content-Length", str(len(response.body)))
    headers.add("Connection", "keep-alive" if keep else "close")
    phrase = HTTPStatus(response.status).phrase
    return headers.head(f"HTTP/1.1 {response.status} {phrase}") + (b"" if bare else response.body)


def fault_of(incoming: Incoming) -> tuple[int, str] | None:
    """What is wrong with a request's head, as status and reason."""
    headers = incoming.headers
    if incoming.version == "1.1" and len(headers.all("host")) != 1:
        return 400, "one Host field is needed"
    codings = headers.all("transfer-encoding")
    if codings and (incoming.version != "1.1" or [one.lower() for one in codings] != ["chunked"]):
        return 501, "only chunked is served as transfer coding, and only in HTTP/1.1"
    if headers.first("expect").lower() not in ("", "100-continue"):
        return 417, "unknown expectation"
    return None
