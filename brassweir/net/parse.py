"""The part of parsing that server and client share: httptools' callbacks kept thin, sizes bounded.

httptools (llhttp in strict mode) itself refuses conflicting lengths, bare LF, folded fields and spaces before
the colon (RFC 9112, sections 2.2, 5, 6.3 and 11.2).
"""

from __future__ import annotations

from collections import deque
from typing import Any

import httptools

from brassweir.net.headers import Headers
from brassweir.net.limits import Limits


class TooLarge(Exception):
    """A head or body is over its limit; ``status`` is the answer a server gives."""

    def __init__(self, what: str, status: int) -> None:
        super().__init__(what)
        self.status = status


class Incoming:
    """One message being received."""

    __slots__ = (
        "body",
        "done",
        "head_done",
        "head_size",
        "headers",
        "keep",
        "line",
        "method",
        "status",
        "target",
        "version",
    )

    def __init__(self) -> None:
        self.headers = Headers()
        self.target = b""
        self.body = bytearray()
        self.head_size = 0
        self.method = self.version = ""
        self.status = 0
        self.line = False  # an answer's first line came to its end
        self.head_done = self.done = self.keep = False


class Feed:
    """Callbacks for the life of one connection; whole and unfinished messages wait in ``queue``."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.queue: deque[Incoming] = deque()
        self.error: TooLarge | None = None
        self.parser: Any = None  # httptools' parser of requests or of answers, which has no types
        self.unfinished = 0  # bytes fed since the present head began

    def feed(self, data: bytes) -> None:
        """Parse on. Raises httptools' errors, and TooLarge once something is over its limit."""
        self.parser.feed_data(data)
        if self.error is not None:
            raise self.error
        # One endless field reaches no callback before its end, so unfinished heads are counted here.
        head_open = not self.queue or self.queue[-1].done or not self.queue[-1].head_done
        self.unfinished = self.unfinished + len(data) if head_open and not self.whole else 0
        if self.unfinished > self.limits.head_bytes:
            raise TooLarge("head over the limit", 431)

    @property
    def whole(self) -> bool:
        """Has the newest message ended?"""
        return bool(self.queue) and self.queue[-1].done

    def _fail(self, what: str, status: int) -> None:
        # Kept, not raised: the parser would wrap an exception raised in its callback.
        self.error = self.error or TooLarge(what, status)

    def on_message_begin(self) -> None:
        """The first byte of a message."""
        self.queue.append(Incoming())

    def on_status(self, _: bytes) -> None:
        """Part of the reason phrase, and so the status."""
        self.queue[-1].status = int(self.parser.get_status_code())

    def on_url(self, url: bytes) -> None:
        """Part of the request target."""
        now = self.queue[-1]
        now.target += url
        now.head_size += len(url)
        if now.head_size > self.limits.head_bytes:
            self._fail("request line over the limit", 414)

    def on_header(self, name: bytes, value: bytes) -> None:
        """One whole field."""
        now = self.queue[-1]
        now.head_size += len(name) + len(value) + 4
        if now.head_size > self.limits.head_bytes or len(now.headers.pairs) >= self.limits.max_headers:
            self._fail("header fields over the limit", 431)
        elif not now.head_done:  # a trailer field changes nothing that was read from the head
            now.headers.pairs.append((name.decode("latin-1"), value.decode("latin-1").strip()))

    def on_headers_complete(self) -> None:
        """The head has ended."""
        now = self.queue[-1]
        now.head_done = True
        now.version = self.parser.get_http_version()
        if isinstance(self.parser, httptools.HttpRequestParser):
            now.method = self.parser.get_method().decode("ascii")
        else:
            now.status = int(self.parser.get_status_code())
        length = now.headers.first("content-length")
        if length.isdigit() and int(length) > self.limits.body_bytes:
            self._fail("body over the limit", 413)

    def on_body(self, part: bytes) -> None:
        """Part of the body."""
        now = self.queue[-1]
        if len(now.body) + len(part) > self.limits.body_bytes:
            self._fail("body over the limit", 413)
        elif self.error is None:
            now.body += part

    def on_message_complete(self) -> None:
        """The body has ended."""
        now = self.queue[-1]
        if self.error is not None:
            return  # one over its limits was cut here: it never counts as whole
        now.done = True
        now.keep = self.parser.should_keep_alive()


class Answers(Feed):
    """The feed of a client. Each status line is parsed by itself, to know when it is whole: llhttp calls back
    for parts of a reason phrase, and not for an empty one."""

    def feed(self, data: bytes) -> None:
        """Parse on, as Feed does."""
        at = 0
        while at < len(data):
            now = self.queue[-1] if self.queue else None
            known = now is not None and now.line and now.status >= 200
            end = len(data) if known else data.find(b"\n", at) + 1 or len(data)
            piece, at = data[at:end], end
            try:
                super().feed(piece)
                if self.queue and piece.endswith(b"\n"):
                    self.queue[-1].status = int(self.parser.get_status_code())
            finally:
                if self.queue and piece.endswith(b"\n"):
                    self.queue[-1].line = True
