"""Compresses and decompresses CompressedData (RFC 3274)."""

from __future__ import annotations

import zlib

from asn1crypto import cms

from brassweir.as2.cms.common import (
    content_info,
    raising_as2_error,
)
from brassweir.as2.errors import As2Error, Modifier


def compress(content: bytes) -> bytes:
    """Returns a CompressedData with zlib, in DER."""
    return bytes(
        cms.ContentInfo(
            {
                "content_type": "compressed_data",
                "content": cms.CompressedData(
                    {
                        "version": "v0",
                        "compression_algorithm": {"algorithm": "zlib"},
                        "encap_content_info": {"content_type": "data", "content": zlib.compress(content)},
                    }
                ),
            }
        ).dump()
    )


@raising_as2_error(Modifier.DECOMPRESSION, "cannot be decompressed")
def decompress(data: bytes, max_bytes: int) -> bytes:
    """Returns the content of a CompressedData. Raises As2Error, also if it exceeds ``max_bytes``."""
    info = content_info(data)
    if info["content_type"].native != "compressed_data":
        raise As2Error(Modifier.DECOMPRESSION, "no CompressedData where one is due")
    compressed = info["content"]["encap_content_info"]["content"].native
    if not isinstance(compressed, bytes):
        raise As2Error(Modifier.DECOMPRESSION, "CompressedData without content")
    decompressor = zlib.decompressobj()
    content = decompressor.decompress(compressed, max_bytes + 1)
    if len(content) > max_bytes:
        raise As2Error(Modifier.DECOMPRESSION, f"more than {max_bytes} bytes when decompressed")
    if not decompressor.eof:
        raise As2Error(Modifier.DECOMPRESSION, "compressed content was cut")
    return content
