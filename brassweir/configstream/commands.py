"""The commands of log level 2: versions of the endpoint configuration. Pure.

A version comes in one command, or as staged pieces that one more command puts in force together. ``after`` is
the version that it was made from; ``digest`` is of the catalog that it must lead to, over plain bytes.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from brassweir.agreed import commands as agreed
from brassweir.agreed.commands import Command, CommandError
from brassweir.configstream.validation import UNCONFIRMED, Confirmation

LEVEL = 2  # the agreed level from which on these may be used
MAX_CHUNK_BYTES = 5_600  # bytes of a packed delta in one command: under agreed.commands.MAX_COMMAND_BYTES
MAX_CHUNKS = 1_024  # pieces of one version

_Transfer = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-z]{1,40}\Z")]
_Version = Annotated[int, msgspec.Meta(ge=0, le=1 << 62)]
_Digest = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{32}\Z")]
_Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9._-]{1,60}\Z")]
_Chunk = Annotated[bytes, msgspec.Meta(min_length=1, max_length=MAX_CHUNK_BYTES)]


class Stage(Command, frozen=True, tag="stage"):
    """A piece of a packed delta, kept until the transfer is committed or dropped."""

    transfer: _Transfer
    part: Annotated[int, msgspec.Meta(ge=0, lt=MAX_CHUNKS)]
    body: _Chunk


class Commit(Command, frozen=True, tag="commit"):
    """The staged pieces, 0 up to ``parts``, make the next version."""

    transfer: _Transfer
    after: _Version
    parts: Annotated[int, msgspec.Meta(ge=1, le=MAX_CHUNKS)]
    digest: _Digest
    by: _Name
    confirmation: Confirmation = UNCONFIRMED


class Change(Command, frozen=True, tag="change"):
    """A packed delta that makes the next version by itself."""

    after: _Version
    body: _Chunk
    digest: _Digest
    by: _Name
    confirmation: Confirmation = UNCONFIRMED


class Abandon(Command, frozen=True, tag="abandon"):
    """The pieces of this transfer are not needed any more."""

    transfer: _Transfer


AnyCommand = Stage | Commit | Change | Abandon
_decoder = msgspec.msgpack.Decoder(AnyCommand)


def encode(command: AnyCommand) -> bytes:
    """A command as the log carries it. Raises CommandError if it is too large."""
    return agreed.encode(command, LEVEL)


def decode(body: bytes) -> AnyCommand:
    """A body of this level. Raises CommandError."""
    try:
        return _decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        raise CommandError("no command of its level") from None  # a library's words may change
