"""Decodes RESP2 commands and encodes replies. No I/O.

Every length is checked before its bytes are buffered, so a connection buffers at most one command of maximum
size. After an error nothing more is decoded, because the start of the next command cannot be known. A command
can be discarded while it arrives: its bytes are dropped, but counted, so that the next command is found.
"""

from __future__ import annotations

MAX_LENGTH_LINE_BYTES = 64
MAX_ARGS = 16
MAX_COMMAND_BYTES = 64 * 1024 + 4 * 1024  # of all parts of a command: a 64 KiB body and its arguments


class Malformed(ValueError):
    """The bytes received are not a valid command, or exceed a limit."""


class Decoder:
    """An incremental decoder for one connection."""

    __slots__ = (
        "args",
        "buffer",
        "discarding",
        "failed",
        "part_length",
        "parts_bytes",
        "position",
        "remaining_parts",
    )

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.position = 0
        self.remaining_parts = 0  # of the current command
        self.parts_bytes = 0  # of the current command's decoded parts
        self.part_length: int | None = None  # of the current part, once its length line is decoded
        self.args: list[bytes] = []
        self.discarding = False  # the current command is dropped as it arrives
        self.failed = False

    @property
    def partial(self) -> bool:
        """Whether part of a command has been received."""
        return self.remaining_parts > 0 or self.position < len(self.buffer)

    @property
    def unread_bytes(self) -> int:
        """Bytes that are not decoded yet."""
        return len(self.buffer) - self.position

    @property
    def buffered_bytes(self) -> int:
        """Bytes in memory: undecoded ones and the decoded parts of an incomplete command."""
        keeps_parts = self.remaining_parts > 0 and not self.discarding
        return self.unread_bytes + (self.parts_bytes if keeps_parts else 0)

    @property
    def discardable(self) -> bool:
        """Whether :meth:`discard_command` would free memory."""
        return (
            self.remaining_parts > 0 and not self.discarding and self.buffered_bytes > MAX_LENGTH_LINE_BYTES
        )

    def feed(self, data: bytes | memoryview) -> None:
        """Appends received bytes; ignored after an error."""
        if not self.failed:
            self.buffer += data

    def discard_command(self) -> None:
        """Drops the command that has arrived in part, and what is still to come of it.

        Once :meth:`next` has returned None, at most a length line of it stays in memory.
        """
        if self.remaining_parts and not self.failed:
            self.discarding = True
            self.args = []
            self._skip_part()
            self._trim()

    def next(self) -> list[bytes] | None:
        """Returns the parts of the next complete command, or None if more bytes are needed.

        For a discarded command the list is empty. Raises Malformed, once.
        """
        if self.failed:
            return None
        try:
            return self._next()
        except Malformed:
            self.failed = True
            self.discarding = False
            self.buffer.clear()
            self.args, self.position, self.remaining_parts = [], 0, 0
            raise

    def _next(self) -> list[bytes] | None:
        """Decodes the next command; keeps the parts decoded so far if it is incomplete."""
        if not self.remaining_parts and not self._begin_command():
            return None
        while self.remaining_parts:
            if not self._next_part():
                self._trim()
                return None
        args, self.args, self.discarding = self.args, [], False
        if self.position == len(self.buffer):
            self.buffer.clear()
            self.position = 0
        return args

    def _begin_command(self) -> bool:
        """Decodes the number of parts; returns False if it is incomplete."""
        count = self._read_length(b"*", "a command is an array of bulk strings")
        if count is None:
            self._trim()
            return False
        if not 1 <= count <= MAX_ARGS:
            raise Malformed(f"a command has 1 to {MAX_ARGS} parts")
        self.remaining_parts, self.parts_bytes, self.part_length = count, 0, None
        return True

    def _next_part(self) -> bool:
        """Decodes or skips the current part; returns False if it is incomplete."""
        if self.part_length is None:
            length = self._read_length(b"$", "parts of a command are bulk strings")
            if length is None:
                return False
            if self.parts_bytes + length > MAX_COMMAND_BYTES:
                raise Malformed(f"a command has at most {MAX_COMMAND_BYTES} bytes")
            self.part_length = length
        if self.discarding:
            self._skip_part()
        end = self.position + self.part_length
        if len(self.buffer) < end + 2:
            if bytes(self.buffer[end:]) not in (b"", b"\r"):
                raise Malformed("a bulk string does not end where it should")
            return False
        if self.buffer[end : end + 2] != b"\r\n":
            raise Malformed("a bulk string does not end where it should")
        if not self.discarding:
            self.args.append(bytes(self.buffer[self.position : end]))
            self.parts_bytes += self.part_length
        self.position = end + 2
        self.remaining_parts -= 1
        self.part_length = None
        return True

    def _skip_part(self) -> None:
        """Drops what has arrived of the current part; its length still counts toward the command's limit."""
        if self.part_length is None:
            return
        skipped = min(self.part_length, self.unread_bytes)
        self.position += skipped
        self.part_length -= skipped
        self.parts_bytes += skipped

    def _read_length(self, prefix: bytes, reason: str) -> int | None:
        """Reads a length line; returns None if it is incomplete. ``reason``: the error for a wrong prefix."""
        start = self.position
        if start < len(self.buffer) and self.buffer[start] != prefix[0]:
            raise Malformed(reason)
        end = self.buffer.find(b"\r\n", start, start + MAX_LENGTH_LINE_BYTES)
        if end < 0:
            if len(self.buffer) - start >= MAX_LENGTH_LINE_BYTES:
                raise Malformed("a length line does not end")
            return None
        digits = self.buffer[start + 1 : end]
        if not digits.isdigit():
            raise Malformed("a length is a number that is not negative")
        self.position = end + 2
        return int(digits)

    def _trim(self) -> None:
        """Frees the decoded bytes."""
        if self.position:
            del self.buffer[: self.position]
            self.position = 0


def error(reason: str) -> bytes:
    """Returns an error reply; ``reason`` must not contain line ends."""
    return f"-ERR {reason}\r\n".encode("ascii", "replace")


def busy(wait_ms: float) -> bytes:
    """Returns a refusal, with the milliseconds to wait before submitting again if there are any."""
    return f"-BUSY {wait_ms:.0f}\r\n".encode() if wait_ms >= 0.5 else b"-BUSY\r\n"


OK = b"+OK\r\n"
BUSY = busy(0.0)
PONG = b"+PONG\r\n"
