"""The commands of log level 2, which change the endpoint configuration. Pure.

A small change is one command. A larger one is a transfer: its chunks are staged, and one more command applies
them together. ``after`` is the version that the change was made from; ``digest`` is that of the resulting
catalog, over uncompressed bytes.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from brassweir.agreed import commands as agreed
from brassweir.agreed.commands import Command, CommandError
from brassweir.configstream.validation import UNCONFIRMED, Confirmation

LEVEL = 2  # the lowest log level at which these commands may be proposed
MAX_CHUNK_BYTES = 5_600  # of a packed delta; leaves space for the command's other fields
MAX_CHUNKS = 1_024  # of one version

_Transfer = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-z]{1,40}\Z")]
_Version = Annotated[int, msgspec.Meta(ge=0, le=1 << 62)]
_Digest = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{32}\Z")]
_Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9._-]{1,60}\Z")]
_Chunk = Annotated[bytes, msgspec.Meta(min_length=1, max_length=MAX_CHUNK_BYTES)]


class Stage(Command, frozen=True, tag="stage"):
    """Stages chunk ``part`` of a packed delta until its transfer is committed, abandoned or evicted."""

    transfer: _Transfer
    part: Annotated[int, msgspec.Meta(ge=0, lt=MAX_CHUNKS)]
    body: _Chunk


class Commit(Command, frozen=True, tag="commit"):
    """Applies the staged chunks 0 to ``parts`` - 1 of a transfer as the next version."""

    transfer: _Transfer
    after: _Version
    parts: Annotated[int, msgspec.Meta(ge=1, le=MAX_CHUNKS)]
    digest: _Digest
    by: _Name
    confirmation: Confirmation = UNCONFIRMED


class Change(Command, frozen=True, tag="change"):
    """Applies a packed delta that fits one command as the next version."""

    after: _Version
    body: _Chunk
    digest: _Digest
    by: _Name
    confirmation: Confirmation = UNCONFIRMED


class Abandon(Command, frozen=True, tag="abandon"):
    """Drops the staged chunks of a transfer."""

    transfer: _Transfer


AnyCommand = Stage | Commit | Change | Abandon
_decoder = msgspec.msgpack.Decoder(AnyCommand)


def encode(command: AnyCommand) -> bytes:
    """Encode a command for the log. Raises CommandError if it is too large."""
    return agreed.encode(command, LEVEL)


def decode(body: bytes) -> AnyCommand:
    """Decode a command body of level 2. Raises CommandError."""
    try:
        return _decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        raise CommandError("no command of its level") from None  # every copy must give the same text
