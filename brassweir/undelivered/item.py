"""The file format of an undelivered message, and the storage quota. No I/O."""

from __future__ import annotations

import hashlib
import re

import google_crc32c
import msgspec

MAGIC = b"bwkept1\n"
SUFFIX = ".kept"


class UndeliveredItem(msgspec.Struct, frozen=True, array_like=True):
    """One undelivered message, with its owner and identity, and the reason why it was not delivered.

    ``at`` is when it was stored (ms since 1970), ``label`` its tag or subject.
    """

    owner: str
    identity: str
    destination: str
    class_name: str
    label: str
    reason: str
    at: float
    content_type: str
    content: bytes


_decoder = msgspec.msgpack.Decoder(UndeliveredItem)


def file_name(owner: str, identity: str) -> str:
    """Return the name of a message's file; it is the same however often the message is submitted."""
    return hashlib.sha256(f"{owner}\0{identity}".encode()).hexdigest()[:40] + SUFFIX


def is_file_name(name: str) -> bool:
    """Whether ``name`` is one that :func:`file_name` could return."""
    return re.fullmatch(rf"[0-9a-f]{{40}}{re.escape(SUFFIX)}", name) is not None


def encode(item: UndeliveredItem) -> bytes:
    """Return a file's content: the magic bytes, the CRC-32C of the encoded item, and the encoded item."""
    body = msgspec.msgpack.encode(item)
    return MAGIC + int(google_crc32c.value(body)).to_bytes(4, "big") + body


def decode(data: bytes) -> UndeliveredItem:
    """Read a file's content. Raises ValueError if it is of another format or damaged."""
    if not data.startswith(MAGIC):
        raise ValueError("no kept message of a known version")
    body = data[len(MAGIC) + 4 :]
    if int(google_crc32c.value(body)).to_bytes(4, "big") != data[len(MAGIC) : len(MAGIC) + 4]:
        raise ValueError("damaged: its checksum does not hold")
    try:
        return _decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ValueError(f"no kept message: {error}") from None


class StorageQuota:
    """Counts the stored bytes against a limit of ``max_bytes``.

    Stored messages are never dropped to make space: only the operator removes them, and until then the source
    keeps what does not fit.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes = max_bytes
        self.sizes: dict[str, int] = {}
        self.total = 0

    def has(self, name: str) -> bool:
        """Whether this file is counted already."""
        return name in self.sizes

    def fits(self, size: int) -> bool:
        """Whether a file of ``size`` bytes fits."""
        return self.total + size <= self.max_bytes

    def add(self, name: str, size: int) -> None:
        """Count a file that is stored, or about to be."""
        self.drop(name)
        self.sizes[name] = size
        self.total += size

    def drop(self, name: str) -> None:
        """Uncount a file that was removed, or could not be stored."""
        self.total -= self.sizes.pop(name, 0)
