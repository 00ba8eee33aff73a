"""Commands that the log carries, their encoding, and their results. Pure.

A command is the MessagePack of [level, command]; its level is that of the version that introduced it. While
the agreed level is lower, all versions refuse the command alike, whether they know it or not; a ``Format``
command raises the level once all copies can read it. Any change of what a command does, or of when one is
refused, needs a new level, so that versions side by side never differ in what they apply. Times are the
proposer's wall clock (ms), stated in the command: applying reads no clock.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec

from brassweir.regions.epochs import Epoch

LEVEL = 1  # the newest that this version knows
MAX_COMMAND_BYTES = 6_000  # must fit one message between copies, with the log's own fields

_Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9._-]{1,60}\Z")]
_Place = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,40}\Z")]
_Word = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
_Version = Annotated[int, msgspec.Meta(ge=0, le=1 << 62)]
_Time = Annotated[float, msgspec.Meta(ge=0.0, le=1e15)]
Standing = Literal["well", "suspected", "lost", "returning"]


class Command(msgspec.Struct, frozen=True, tag_field="do", forbid_unknown_fields=True):
    """One change, made from the version ``after``; it is refused if another change came first."""


class Publish(Command, frozen=True, tag="publish"):
    """Publish the next epoch. ``lost`` names a region that an operator has stated to be lost for good."""

    epoch: Epoch
    after: _Version
    lost: Annotated[str, msgspec.Meta(max_length=41)] = ""


class Pin(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Regions where a shard may be: only these (strict), or preferably, in this order."""

    mode: Literal["strict", "preferred"]
    regions: Annotated[tuple[_Place, ...], msgspec.Meta(min_length=1, max_length=16)]


class Place(Command, frozen=True, tag="place"):
    """Set a customer's pin of a shard; ``pin`` None removes it."""

    customer: _Word
    shard: _Word
    pin: Pin | None
    after: _Version


class Judge(Command, frozen=True, tag="judge"):
    """Set the standing of a site, as one copy judged it, and since when."""

    site: _Place
    standing: Standing
    since: _Time
    by: _Name
    after: _Version


class Join(Command, frozen=True, tag="join"):
    """Make a copy a member at this location, which reads commands up to the level ``reads``."""

    name: _Name
    site: _Place
    region: _Place
    reads: Annotated[int, msgspec.Meta(ge=1, le=1000)]


class Leave(Command, frozen=True, tag="leave"):
    """Remove a copy from the members."""

    name: _Name


class Format(Command, frozen=True, tag="format"):
    """Allow commands up to ``level`` from here on."""

    level: Annotated[int, msgspec.Meta(ge=1, le=1000)]


AnyCommand = Publish | Place | Judge | Join | Leave | Format


class Result(msgspec.Struct, frozen=True, omit_defaults=True):
    """Result of a command: ``ok`` with the new version, or the ``field`` that is refused, and why.

    The ``version`` of a refusal is the current one, for another attempt.
    """

    ok: bool
    version: int = 0
    field: str = ""
    why: str = ""


class CommandError(ValueError):
    """Bytes that are no command of their level, or a command that is too large."""


_decoder = msgspec.msgpack.Decoder(tuple[int, msgspec.Raw])
_known = msgspec.msgpack.Decoder(AnyCommand)


def encode(command: Command, level: int = LEVEL) -> bytes:
    """Encode a command for the log. Raises CommandError if it, or a number in it, is too large."""
    try:
        data = msgspec.msgpack.encode((level, command))
    except OverflowError as error:
        raise CommandError(str(error)) from None
    if len(data) > MAX_COMMAND_BYTES:
        raise CommandError(f"a command of {len(data)} bytes; {MAX_COMMAND_BYTES} are the most")
    return data


def split(data: bytes) -> tuple[int, bytes]:
    """Level and body of an encoded command. Raises CommandError."""
    if len(data) > MAX_COMMAND_BYTES:
        raise CommandError(f"{len(data)} bytes; {MAX_COMMAND_BYTES} are the most")
    try:
        level, body = _decoder.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        raise CommandError("no level and command") from None
    return level, bytes(body)


def decode(body: bytes) -> AnyCommand:
    """Decode a body of a level that this version knows. Raises CommandError."""
    try:
        return _known.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        raise CommandError(
            "no command of its level"
        ) from None  # a library's text may change between versions


def decode_result(data: bytes) -> Result:
    """Decode the result of a command."""
    return msgspec.json.decode(data, type=Result)
