"""Compressed hash buckets, of which a large immutable map is made. Pure.

Compressed bytes differ between builds of zlib, so a bucket is identified by the checksum of its uncompressed
bytes.
"""

from __future__ import annotations

import hashlib
import zlib
from collections.abc import Sequence
from typing import Annotated, Any

import msgspec

BUCKET_COUNT = 1_024
MAX_BUCKET_BYTES = 1 << 26  # before compression
COMPRESSION_LEVEL = 1  # of 9; low, as a change of many entries repacks all buckets
_MASK = BUCKET_COUNT - 1
_encoder = msgspec.msgpack.Encoder()


class BucketError(ValueError):
    """Bytes that cannot be decompressed, or differ from their checksum."""


class Bucket(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """Compressed rows, with the checksum and length of their uncompressed bytes."""

    checksum: bytes
    length: Annotated[int, msgspec.Meta(ge=0, le=MAX_BUCKET_BYTES)]
    packed: bytes


def bucket_index(name: str) -> int:
    """Return the index of the bucket that a name belongs to."""
    return zlib.crc32(name.encode()) & _MASK


def pack_bucket(rows: Sequence[Any]) -> Bucket:
    """Compress rows into a bucket; equal sets of rows must come in the same order."""
    data = _encoder.encode(rows)
    return Bucket(_checksum(data), len(data), zlib.compress(data, COMPRESSION_LEVEL))


def unpack_bucket(bucket: Bucket) -> bytes:
    """Decompress a bucket. Raises BucketError if its length or checksum is wrong."""
    data = decompress(bucket.packed, bucket.length)
    if len(data) != bucket.length or _checksum(data) != bucket.checksum:
        raise BucketError("a bucket that does not fit its checksum")
    return data


def decompress(packed: bytes, max_bytes: int) -> bytes:
    """Decompress to at most ``max_bytes``. Raises BucketError for more, or for invalid or trailing data."""
    data, trailing = decompress_first(packed, max_bytes)
    if trailing:
        raise BucketError("compressed data that is followed by more")
    return data


def decompress_first(packed: bytes, max_bytes: int) -> tuple[bytes, bytes]:
    """Decompress the first zlib stream; return its data and the bytes that follow it. Raises BucketError."""
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(packed, max_bytes + 1)
    except zlib.error:
        raise BucketError("no compressed data") from None
    if len(data) > max_bytes:
        raise BucketError(f"more than {max_bytes} bytes when decompressed")
    if not decompressor.eof:
        raise BucketError("compressed data that is cut short")
    return data, decompressor.unused_data


def _checksum(data: bytes) -> bytes:
    return hashlib.blake2b(data, digest_size=16).digest()


EMPTY_BUCKET = pack_bucket(())
