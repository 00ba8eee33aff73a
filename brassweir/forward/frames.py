"""Cuts a stream of bytes into whole msgpack values, however it is split. No I/O.

A value is stepped over until it is whole and only then looked into: a header that claims thousands of
millions of entries costs five bytes until they come; a peer can make us hold what it has sent, never more.
"""

from __future__ import annotations

from msgpack import OutOfData, Unpacker
from msgpack.exceptions import BufferFull, StackError

from brassweir.forward.errors import ForwardError

_READ = 4096  # the stepper's own buffer at first, bytes
_SMALL = 65_536  # a stepper that came to hold more than this is made anew: its buffer never shrinks


class Frames:
    """One direction of one connection. ``most`` bounds a value in bytes and may be changed."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.buffer = bytearray()
        self.stepper: Unpacker | None = None
        self.base = 0  # where the buffer begins in the stepper's count
        self.high = 0

    @property
    def partial(self) -> int:
        """Bytes held of a value that is not whole."""
        return len(self.buffer)

    def feed(self, data: bytes) -> None:
        """Take bytes as they come; :meth:`next` gives what they complete."""
        if self.stepper is None:
            self.stepper = Unpacker(read_size=_READ, max_buffer_size=(1 << 31) - 1)
            self.base = self.high = 0
        self.buffer += data
        self.high = max(self.high, len(self.buffer))
        try:
            self.stepper.feed(data)
        except BufferFull:
            raise ForwardError("more than 2 GiB in one value") from None

    def next(self) -> bytes | None:
        """The next whole value, or None until more comes. Raises ForwardError, after which all is lost."""
        if self.stepper is None:
            return None
        try:
            self.stepper.skip()
        except OutOfData:
            if len(self.buffer) > self.most:
                raise ForwardError(f"more than {self.most} bytes in one value") from None
            if not self.buffer:
                self.rest()
            return None
        except StackError:
            raise ForwardError("nested too deep") from None
        except ValueError:
            raise ForwardError("no msgpack") from None
        end = self.stepper.tell() - self.base
        if end > self.most:
            raise ForwardError(f"more than {self.most} bytes in one value")
        whole = bytes(self.buffer[:end])
        del self.buffer[:end]
        self.base += end
        if not self.buffer:
            self.rest()
        return whole

    def rest(self) -> None:
        """Let go of what an idle connection need not hold."""
        if self.high > _SMALL:
            self.buffer = bytearray()
        self.stepper = None
