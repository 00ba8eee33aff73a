"""The records of a journal, and their encoding. docs/journal-format.md specifies them.

Times are wall clock milliseconds since 1970; ids are those of the ledger. Each record's docstring states its
invariant: what is true if the record is in the journal, and what may be true if it is not.
"""

from __future__ import annotations

import msgspec

from brassweir.interface import Recovery, Result

VERSION = 3  # 1 has no result for an endpoint at its connection limit, up to 2 segments have no key


class Taken(msgspec.Struct, tag="t", array_like=True, frozen=True):
    """A message was accepted. Without this record the client has received no answer that it can rely on.

    ``deadline`` is when it ends without delivery; ``ran`` is when an attempt of an earlier submission may
    first have run, or 0; ``reply`` holds the front's own data for delivering the answer, and is empty if the
    answer only goes to a client that asks.
    """

    id: int
    owner: str
    identity: str
    class_name: str
    destination: str
    key: str
    deadline: float
    content_type: str
    subject: str
    content: bytes
    reply: bytes = b""
    ran: float = 0.0


class Intent(msgspec.Struct, tag="i", array_like=True, frozen=True):
    """An attempt may be sent from now on. Without this record, no byte of an attempt whose class must not be
    repeated was sent."""

    id: int
    number: int
    endpoint: str
    at: float


class Ended(msgspec.Struct, tag="o", array_like=True, frozen=True):
    """An attempt ended with this result. Without this record, an attempt with an intent may have run, and may
    still be running. ``wait`` is the requested wait in ms, or 0."""

    id: int
    number: int
    endpoint: str
    result: str
    at: float
    wait: float = 0.0


class Final(msgspec.Struct, tag="f", array_like=True, frozen=True):
    """The final answer. Without this record, no client has received one."""

    id: int
    answer: str
    reason: str
    retry_after: float
    at: float


class Told(msgspec.Struct, tag="r", array_like=True, frozen=True):
    """The receipt of a message was delivered. Without this record it may have been, and is sent again."""

    id: int


class Began(msgspec.Struct, tag="s", array_like=True, frozen=True):
    """A process began to write. Attempts of earlier processes are not in flight at this one."""

    at: float
    sender: str


class Recovering(msgspec.Struct, tag="c", array_like=True, frozen=True):
    """What the sender concluded of a destination, or of an endpoint with a route of its own: that it may be
    down, or is back from an outage ``since`` a time. Without this record the endpoint's outcomes tell."""

    destination: str
    endpoint: str
    recovery: str
    since: float


class Whole(msgspec.Struct, tag="w", array_like=True, frozen=True):
    """The end of a snapshot: the ``records`` before it in this segment replace all earlier segments."""

    records: int


Record = Taken | Intent | Ended | Final | Told | Began | Recovering | Whole

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Record)


def encode(record: Record) -> bytes:
    """Encode a record."""
    return _encoder.encode(record)


def decode(data: bytes) -> Record:
    """Decode a record. Raises ValueError if the bytes are none, or name an unknown result."""
    try:
        record: Record = _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise ValueError(f"invalid record: {error}") from None
    if isinstance(record, Ended) and record.result not in {result.value for result in Result}:
        raise ValueError(f"invalid record: unknown result {record.result!r}")
    if isinstance(record, Recovering) and record.recovery not in {recovery.value for recovery in Recovery}:
        raise ValueError(f"invalid record: unknown recovery {record.recovery!r}")
    return record
