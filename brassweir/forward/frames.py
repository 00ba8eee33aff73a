"""Splits a byte stream into complete msgpack values. No I/O.

A value is skipped over until it is complete, and unpacked only afterwards. So a header that claims billions
of entries allocates nothing: a peer can make us buffer only what it has sent.
"""

from __future__ import annotations

from msgpack import OutOfData, Unpacker
from msgpack.exceptions import BufferFull, StackError

from brassweir.forward.errors import ForwardError

_READ_BYTES = 4096  # initial buffer of the stepper
_MAX_IDLE_BYTES = 65_536  # buffers that grew larger are released between values


class Frames:
    """One direction of one connection. ``max_bytes`` bounds one value and may be changed."""

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.buffer = bytearray()
        self.stepper: Unpacker | None = None
        self.base = 0  # stepper's offset of the buffer's first byte
        self.high_water = 0

    @property
    def partial(self) -> int:
        """Bytes buffered of an incomplete value."""
        return len(self.buffer)

    def feed(self, data: bytes) -> None:
        """Buffer received bytes; :meth:`next` returns the values. Raises ForwardError beyond 2 GiB."""
        if self.stepper is None:
            self.stepper = Unpacker(read_size=_READ_BYTES, max_buffer_size=(1 << 31) - 1)
            self.base = self.high_water = 0
        self.buffer += data
        self.high_water = max(self.high_water, len(self.buffer))
        try:
            self.stepper.feed(data)
        except BufferFull:
            raise ForwardError("more than 2 GiB in one value") from None

    def next(self) -> bytes | None:
        """Return the next complete value, or None. After ForwardError the stream is unusable."""
        if self.stepper is None:
            return None
        try:
            self.stepper.skip()
        except OutOfData:
            if len(self.buffer) > self.max_bytes:
                raise ForwardError(f"more than {self.max_bytes} bytes in one value") from None
            if not self.buffer:
                self.release()
            return None
        except StackError:
            raise ForwardError("nested too deep") from None
        except ValueError:
            raise ForwardError("no msgpack") from None
        end = self.stepper.tell() - self.base
        if end > self.max_bytes:
            raise ForwardError(f"more than {self.max_bytes} bytes in one value")
        value = bytes(self.buffer[:end])
        del self.buffer[:end]
        self.base += end
        if not self.buffer:
            self.release()
        return value

    def discard(self) -> None:
        """Drop what was received of an incomplete value."""
        self.buffer = bytearray()
        self.stepper = None

    def release(self) -> None:
        """Free memory that an idle connection does not need; the stepper's own buffer never shrinks."""
        if self.high_water > _MAX_IDLE_BYTES:
            self.buffer = bytearray()
        self.stepper = None
