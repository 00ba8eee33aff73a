"""Sealed buckets: the compressed pieces of which a large immutable map is made. Pure.

Compressed bytes differ between builds of zlib, so a bucket is known by the checksum of its plain bytes.
"""

from __future__ import annotations

import hashlib
import zlib
from collections.abc import Sequence
from typing import Annotated, Any

import msgspec

BUCKET_COUNT = 1_024
MAX_BUCKET_BYTES = 1 << 26  # bytes of a bucket before compression
COMPRESSION_LEVEL = 1  # of 9: a change of many entries seals all buckets anew
_MASK = BUCKET_COUNT - 1
_encoder = msgspec.msgpack.Encoder()


class BucketError(ValueError):
    """Bytes that are no bucket, or not the one that they should be."""


class Bucket(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Rows in their one order: the checksum and length of their plain bytes, and these compressed."""

    checksum: bytes
    length: Annotated[int, msgspec.Meta(ge=0, le=MAX_BUCKET_BYTES)]
    packed: bytes


def bucket_index(name: str) -> int:
    """The bucket that a name belongs to."""
    return zlib.crc32(name.encode()) & _MASK


def pack_bucket(rows: Sequence[Any]) -> Bucket:
    """A bucket of rows, which must be in their one order."""
    data = _encoder.encode(rows)
    return Bucket(_checksum(data), len(data), zlib.compress(data, COMPRESSION_LEVEL))


def unpack_bucket(bucket: Bucket) -> bytes:
    """The plain bytes. Raises BucketError unless they are what the checksum says."""
    data = decompress(bucket.packed, bucket.length)
    if len(data) != bucket.length or _checksum(data) != bucket.checksum:
        raise BucketError("a bucket that does not fit its checksum")
    return data


def decompress(packed: bytes, most: int) -> bytes:
    """Decompress at most ``most`` bytes. Raises BucketError for more of them, or for what is no such data."""
    data, rest = decompress_first(packed, most)
    if rest:
        raise BucketError("compressed data that is followed by more")
    return data


def decompress_first(packed: bytes, most: int) -> tuple[bytes, bytes]:
    """The same for data that may be followed by more, which is returned as well."""
    reader = zlib.decompressobj()
    try:
        data = reader.decompress(packed, most + 1)
    except zlib.error:
        raise BucketError("no compressed data") from None
    if len(data) > most:
        raise BucketError(f"more than {most} bytes when decompressed")
    if not reader.eof:
        raise BucketError("compressed data that is cut short")
    return data, reader.unused_data


def _checksum(data: bytes) -> bytes:
    return hashlib.blake2b(data, digest_size=16).digest()


EMPTY_BUCKET = pack_bucket(())
