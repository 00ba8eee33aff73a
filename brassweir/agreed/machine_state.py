"""The agreed state as one value: the same state has the same bytes on every copy. Pure.

A version is the log index of the command that made it: it grows, and none is used twice.
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
    """The agreed standing of a site, since when (ms, the proposer's wall clock), and which copy judged it."""

    standing: Standing
    since: float
    by: str
    version: int


class MemberCopy(msgspec.Struct, frozen=True, array_like=True):
    """A copy that has joined, its location, and the highest command level that it reads."""

    site: str
    region: str
    reads: int
    version: int


class MachineState(msgspec.Struct):
    """The whole agreed state. ``index`` is the last log index that was applied."""

    form: Literal[1] = 1  # version of this encoding
    level: int = 1
    index: int = 0
    epoch: Epoch | None = None
    granted: int = 0  # the version of the epoch; 0: none
    placements: dict[str, dict[str, PlacedPin]] = msgspec.field(default_factory=dict)  # by customer, by shard
    sites: dict[str, Verdict] = msgspec.field(default_factory=dict)
    copies: dict[str, MemberCopy] = msgspec.field(default_factory=dict)


class StateError(msgspec.MsgspecError):
    """Bytes that are no state which this version can restore."""


_encoder = msgspec.msgpack.Encoder(order="sorted")
_decoder = msgspec.msgpack.Decoder(MachineState)


def pack(state: MachineState) -> bytes:
    """Encode the state: a digest, then its only encoding."""
    body = _encoder.encode(state)
    return hashlib.sha256(body).digest() + body


def unpack(data: bytes) -> MachineState:
    """Decode a state. Raises StateError, also if the digest does not match."""
    digest, body = data[:32], data[32:]
    if hashlib.sha256(body).digest() != digest:
        raise StateError("a state whose digest does not fit")
    try:
        return _decoder.decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise StateError(f"no state: {error}") from None


def digest(state: MachineState) -> str:
    """Digest that copies compare at one index: if it differs, they have diverged."""
    return hashlib.sha256(_encoder.encode(state)).hexdigest()[:16]


def lost_regions(state: MachineState) -> frozenset[str]:
    """Regions whose members all are at sites that are agreed to be lost."""
    sites: dict[str, set[str]] = {}
    for value in state.copies.values():
        sites.setdefault(value.region, set()).add(value.site)
    lost = {name for name, value in state.sites.items() if value.standing == "lost"}
    return frozenset(region for region, names in sites.items() if names <= lost)
