"""Byte transcripts written from the specification."""

from __future__ import annotations

import gzip

LIMIT = 1_000_000  # bytes

MESSAGE = bytes.fromhex("93a56d792e6170ce55ecdfe581a36b6579a376616c")  # ["my.ap", t, {"key": "val"}]
MESSAGE_ACK = bytes.fromhex(
    "94a56d792e6170d70055ecdfe50000002a81a36b6579a376616c81a56368756e6ba3694431"
)  # EventTime in fixext8, {"chunk": "iD1"}
FORWARD = bytes.fromhex(
    "93"
    "a5"
    "6d792e6170"
    "92"
    "92"
    "ce"
    "55ecdfe5"
    "81"
    "a3"
    "6b6579"
    "01"
    "92"
    "c7"
    "08"
    "00"
    "55ecdfe6"
    "000f4240"
    "81"
    "a3"
    "6b6579"
    "02"  # EventTime in ext8
    "82"
    "a4"
    "73697a65"
    "02"
    "a5"
    "6368756e6b"
    "a3"
    "694432"
)
ENTRIES = bytes.fromhex("92ce55ecdfe581a36b65790192ce55ecdfe681a36b657902")
PACKED = bytes.fromhex("93a56d792e6170c418") + ENTRIES + bytes.fromhex("81a56368756e6ba3694433")
PACKED_OLD = bytes.fromhex("92a56d792e6170b8") + ENTRIES  # as str, from peers older than the msgpack bin type
HELO = bytes.fromhex("92a448454c4f83a56e6f6e6365c4020102a461757468c400a96b656570616c697665c3")


def compressed(members: list[bytes]) -> bytes:
    blob = b"".join(gzip.compress(member, mtime=0) for member in members)
    return (
        bytes.fromhex("93a56d792e6170c5")
        + len(blob).to_bytes(2, "big")
        + blob
        + bytes.fromhex("82a56368756e6ba3694434aa")
        + b"compressed"
        + bytes.fromhex("a4")
        + b"gzip"
    )
