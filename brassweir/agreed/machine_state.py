"""What the copies agree on, as one value: the same state has the same bytes on every copy. Pure.

A version is the place in the log of the command that made it: it grows, and none is used twice.
"""

from __future__ import annotations

import hashlib
from typing import Literal

import msgspec

from brassweir.agreed.commands import Pin, Standing
from brassweir.regions.epochs import Epoch


class PlacedPin(msgspec.Struct, frozen=True, array_like=True):
    """A pin and its version."""

    pin: Pin
    version: int


class Verdict(msgspec.Struct, frozen=True, array_like=True):
    """What is agreed of a site, since when (ms, wall clock of who said so), and by which copy."""

    standing: Standing
    since: float
    by: str
    version: int


class MemberCopy(msgspec.Struct, frozen=True, array_like=True):
    """A member."""

    site: str
    region: str
    reads: int
    version: int


class MachineState(msgspec.Struct):
    """All of it. ``index`` is the last place of the log that was applied."""

    form: Literal[1] = 1  # of these bytes
    level: int = 1
    index: int = 0
    epoch: Epoch | None = None
    granted: int = 0  # the version of the epoch; 0: none
    placements: dict[str, dict[str, PlacedPin]] = msgspec.field(default_factory=dict)  # by customer, by shard
    sites: dict[str, Verdict] = msgspec.field(default_factory=dict)
    copies: dict[str, MemberCopy] = msgspec.field(default_factory=dict)


class StateError(msgspec.MsgspecError):
    """Bytes that are no state which this version can go on from."""


_encoder = msgspec.msgpack.Encoder(order="sorted")
_decoder = msgspec.msgpack.Decoder(MachineState)


def pack(state: MachineState) -> bytes:
    """The state's one form as bytes: a digest of it, and all of it."""
    body = _encoder.encode(state)
    return hashlib.sha256(body).digest() + body


def unpack(data: bytes) -> MachineState:
    """Raises StateError; nothing of damaged bytes is believed."""
    digest, body = data[:32], data[32:]
    if hashlib.sha256(body).digest() != digest:
        raise StateError("a state whose digest does not fit")
    try:
        return _decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise StateError(f"no state: {error}") from None


def digest(state: MachineState) -> str:
    """What copies compare: equal at one index, or something is wrong."""
    return hashlib.sha256(_encoder.encode(state)).hexdigest()[:16]


def lost_regions(state: MachineState) -> frozenset[str]:
    """Regions of which every member's site is agreed to be lost."""
    sites: dict[str, set[str]] = {}
    for one in state.copies.values():
        sites.setdefault(one.region, set()).add(one.site)
    lost = {name for name, one in state.sites.items() if one.standing == "lost"}
    return frozenset(region for region, names in sites.items() if names <= lost)
