"""One kept message as bytes, and what there is room for. No I/O."""

from __future__ import annotations

import hashlib
import re

import google_crc32c
import msgspec

MAGIC = b"bwkept1\n"
SUFFIX = ".kept"


class UndeliveredItem(msgspec.Struct, frozen=True, array_like=True):
    """One kept message: who handed it in under which name, where it was to go, why it did not, and its
    content.

    ``at`` is when it was kept (ms since 1970); ``label`` its tag or subject.
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
    """The file that a message is kept in: the same however often it is handed in."""
    return hashlib.sha256(f"{owner}\0{identity}".encode()).hexdigest()[:40] + SUFFIX


def is_file_name(name: str) -> bool:
    """Is it the name of a kept message's file?"""
    return re.fullmatch(rf"[0-9a-f]{{40}}{re.escape(SUFFIX)}", name) is not None


def encode(item: UndeliveredItem) -> bytes:
    """A file's whole content: magic, CRC-32C of the rest, and the item."""
    body = msgspec.msgpack.encode(item)
    return MAGIC + int(google_crc32c.value(body)).to_bytes(4, "big") + body


def decode(data: bytes) -> UndeliveredItem:
    """Read a file's content. Raises ValueError with the reason."""
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
    """How much is kept, and whether one more fits. Nothing is ever dropped to make room: that is the
    operator's to do, and until then the source keeps what does not fit."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.sizes: dict[str, int] = {}
        self.total = 0

    def has(self, name: str) -> bool:
        """Is it kept already?"""
        return name in self.sizes

    def fits(self, size: int) -> bool:
        """Is there room for one of this size?"""
        return self.total + size <= self.most

    def add(self, name: str, size: int) -> None:
        """It is kept, or about to be."""
        self.drop(name)
        self.sizes[name] = size
        self.total += size

    def drop(self, name: str) -> None:
        """It is not kept any more, or could not be."""
        self.total -= self.sizes.pop(name, 0)
