"""Reads HTTP/1.1 messages with httptools and limits their sizes, for server and client.

httptools (llhttp in strict mode) itself rejects conflicting lengths, bare LF, folded fields and spaces before
the colon (RFC 9112, sections 2.2, 5, 6.3 and 11.2).
"""

from __future__ import annotations

from collections import deque
from typing import Any

import httptools

from brassweir.net.headers import Headers
from brassweir.net.limits import Limits


class TooLarge(Exception):
    """A head or body exceeds its limit; ``status`` is the one a server responds with."""

    def __init__(self, reason: str, status: int) -> None:
        super().__init__(reason)
        self.status = status


class IncomingMessage:
    """A request or response while it is received."""

    __slots__ = (
        "body",
        "done",
        "head_done",
        "head_size",
        "headers",
        "keep_alive",
        "method",
        "status",
        "status_line_done",
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
        self.status_line_done = False  # responses only
        self.head_done = self.done = self.keep_alive = False


class MessageReader:
    """Parser callbacks for one connection. ``queue`` holds complete messages, the last may be incomplete."""

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self.queue: deque[IncomingMessage] = deque()
        self.error: TooLarge | None = None
        self.parser: Any = None  # httptools' request or response parser, which has no type hints
        self.unfinished_head_bytes = 0  # bytes fed since the current head began

    def feed(self, data: bytes) -> None:
        """Parses the next bytes. Raises httptools' errors, and TooLarge if a limit is exceeded."""
        self.parser.feed_data(data)
        if self.error is not None:
            raise self.error
        # Counted here, because an endless field would reach no callback.
        head_open = not self.queue or self.queue[-1].done or not self.queue[-1].head_done
        self.unfinished_head_bytes = (
            self.unfinished_head_bytes + len(data) if head_open and not self.complete else 0
        )
        if self.unfinished_head_bytes > self.limits.head_bytes:
            raise TooLarge("head over the limit", 431)

    @property
    def complete(self) -> bool:
        """Whether the newest message is complete."""
        return bool(self.queue) and self.queue[-1].done

    def _fail(self, reason: str, status: int) -> None:
        """Stores the first error for feed() to raise: the parser would wrap one raised in a callback."""
        self.error = self.error or TooLarge(reason, status)

    def on_message_begin(self) -> None:
        """Starts a message at its first byte."""
        self.queue.append(IncomingMessage())

    def on_status(self, _: bytes) -> None:
        """Stores the status once a part of the reason phrase is received."""
        self.queue[-1].status = int(self.parser.get_status_code())

    def on_url(self, url: bytes) -> None:
        """Appends a part of the request target."""
        message = self.queue[-1]
        message.target += url
        message.head_size += len(url)
        if message.head_size > self.limits.head_bytes:
            self._fail("request line over the limit", 414)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Appends a complete header field."""
        message = self.queue[-1]
        message.head_size += len(name) + len(value) + 4
        if (
            message.head_size > self.limits.head_bytes
            or len(message.headers.pairs) >= self.limits.max_headers
        ):
            self._fail("header fields over the limit", 431)
        elif not message.head_done:  # trailer fields are ignored
            message.headers.pairs.append((name.decode("latin-1"), value.decode("latin-1").strip()))

    def on_headers_complete(self) -> None:
        """Ends the head; checks the declared length."""
        message = self.queue[-1]
        message.head_done = True
        message.version = self.parser.get_http_version()
        if isinstance(self.parser, httptools.HttpRequestParser):
            message.method = self.parser.get_method().decode("ascii")
        else:
            message.status = int(self.parser.get_status_code())
        length = message.headers.first("content-length")
        if length.isdigit() and int(length) > self.limits.body_bytes:
            self._fail("body over the limit", 413)

    def on_body(self, part: bytes) -> None:
        """Appends a part of the body."""
        message = self.queue[-1]
        if len(message.body) + len(part) > self.limits.body_bytes:
            self._fail("body over the limit", 413)
        elif self.error is None:
            message.body += part

    def on_message_complete(self) -> None:
        """Marks the message as complete, unless it exceeds a limit."""
        message = self.queue[-1]
        if self.error is not None:
            return
        message.done = True
        message.keep_alive = self.parser.should_keep_alive()


class ResponseReader(MessageReader):
    """A client's reader, which also records whether a status line is complete.

    It feeds each status line separately: llhttp has no callback for the end of that line, nor for an empty
    reason phrase.
    """

    def feed(self, data: bytes) -> None:
        """Parses the next bytes, with the errors of MessageReader.feed."""
        at = 0
        while at < len(data):
            message = self.queue[-1] if self.queue else None
            status_known = message is not None and message.status_line_done and message.status >= 200
            end = len(data) if status_known else data.find(b"\n", at) + 1 or len(data)
            piece, at = data[at:end], end
            try:
                super().feed(piece)
                if self.queue and piece.endswith(b"\n"):
                    self.queue[-1].status = int(self.parser.get_status_code())
            finally:
                if self.queue and piece.endswith(b"\n"):
                    self.queue[-1].status_line_done = True
