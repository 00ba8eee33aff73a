"""RESP2 as a server reads it: bytes in, commands or one error out. No I/O.

Every length is judged before its bytes are kept, so a stranger never makes us hold more than one command's
bounds. After an error nothing more is read: where the next command begins cannot be known.
"""

from __future__ import annotations

LINE = 64  # bytes of a length line; 20 digits are more than any length has
MOST_ARGS = 16
MOST_BYTES = 64 * 1024 + 4 * 1024  # of all parts of one command: a body and what goes with it


class Malformed(ValueError):
    """What came is no command within the bounds."""


class Decoder:
    """The reading end of one connection."""

    __slots__ = ("args", "buffer", "failed", "left", "position", "size")

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.position = 0
        self.left = 0  # parts of the present command still to come
        self.size = 0  # bytes of its parts
        self.args: list[bytes] = []
        self.failed = False

    @property
    def partial(self) -> bool:
        """Has a command begun that is not whole?"""
        return self.left > 0 or self.position < len(self.buffer)

    @property
    def held(self) -> int:
        """Bytes that are not read yet."""
        return len(self.buffer) - self.position

    @property
    def weight(self) -> int:
        """Bytes that are kept: those, and the parts of a command that is not whole."""
        return self.held + (self.size if self.left else 0)

    def feed(self, data: bytes) -> None:
        """Take what came."""
        if not self.failed:
            self.buffer += data

    def next(self) -> list[bytes] | None:
        """The next whole command; None until more has come. Raises Malformed, once."""
        if self.failed:
            return None
        try:
            return self._next()
        except Malformed:
            self.failed = True
            self.buffer.clear()
            self.args, self.position = [], 0
            raise

    def _next(self) -> list[bytes] | None:
        if not self.left:
            count = self._length(b"*", "a command is an array of bulk strings")
            if count is None:
                self._trim()
                return None
            if not 1 <= count <= MOST_ARGS:
                raise Malformed(f"a command has 1 to {MOST_ARGS} parts")
            self.left, self.size, self.args = count, 0, []
        while self.left:
            start = self.position
            length = self._length(b"$", "parts of a command are bulk strings")
            if length is None:
                self._trim()
                return None
            if self.size + length > MOST_BYTES:
                raise Malformed(f"a command has at most {MOST_BYTES} bytes")
            end = self.position + length
            if len(self.buffer) < end + 2:
                # The length is read again once the rest is there: it is judged, and that is what matters.
                if bytes(self.buffer[end:]) not in (b"", b"\r"):
                    raise Malformed("a bulk string does not end where it should")
                self.position = start
                self._trim()
                return None
            if self.buffer[end : end + 2] != b"\r\n":
                raise Malformed("a bulk string does not end where it should")
            self.args.append(bytes(self.buffer[self.position : end]))
            self.position = end + 2
            self.size += length
            self.left -= 1
        args, self.args = self.args, []
        if self.position == len(self.buffer):
            self.buffer.clear()
            self.position = 0
        return args

    def _length(self, sign: bytes, wanted: str) -> int | None:
        """Read one length line; None if it is not whole yet."""
        at = self.position
        if at < len(self.buffer) and self.buffer[at] != sign[0]:
            raise Malformed(wanted)
        end = self.buffer.find(b"\r\n", at, at + LINE)
        if end < 0:
            if len(self.buffer) - at >= LINE:
                raise Malformed("a length line does not end")
            return None
        digits = self.buffer[at + 1 : end]
        if not digits.isdigit():
            raise Malformed("a length is a number that is not negative")
        self.position = end + 2
        return int(digits)

    def _trim(self) -> None:
        """Let go of what is read."""
        if self.position:
            del self.buffer[: self.position]
            self.position = 0


def error(reason: str) -> bytes:
    """An error line; the reason is ours and holds no line end."""
    return f"-ERR {reason}\r\n".encode("ascii", "replace")


def busy(wait: float) -> bytes:
    """A refusal, with the milliseconds until a hand-in makes sense if there are any."""
    return f"-BUSY {wait:.0f}\r\n".encode() if wait >= 0.5 else b"-BUSY\r\n"


OK = b"+OK\r\n"
PONG = b"+PONG\r\n"
