"""CompressedData (RFC 3274)."""

from __future__ import annotations

import zlib

from asn1crypto import cms

from brassweir.as2.cms.common import (
    content_info,
    guarded,
)
from brassweir.as2.errors import As2Error, Modifier


def compress(content: bytes) -> bytes:
    """A CompressedData with zlib, DER (RFC 3274)."""
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


@guarded(Modifier.DECOMPRESSION, "cannot be decompressed")
def decompress(data: bytes, most: int) -> bytes:
    """The content of a CompressedData, at most ``most`` bytes. Raises As2Error."""
    info = content_info(data)
    if info["content_type"].native != "compressed_data":
        raise As2Error(Modifier.DECOMPRESSION, "no CompressedData where one is due")
    packed = info["content"]["encap_content_info"]["content"].native
    if not isinstance(packed, bytes):
        raise As2Error(Modifier.DECOMPRESSION, "CompressedData without content")
    machine = zlib.decompressobj()
    content = machine.decompress(packed, most + 1)
    if len(content) > most:
        raise As2Error(Modifier.DECOMPRESSION, f"more than {most} bytes when decompressed")
    if not machine.eof:
        raise As2Error(Modifier.DECOMPRESSION, "compressed content was cut")
    return content
