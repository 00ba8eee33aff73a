"""What copies say to each other of being alive (kind "live"), and the words of the core's step. Pure."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from brassweir.peers.claims import Claim
from brassweir.peers.copies import Fleet
from brassweir.peers.envelope import Number

PING, ACK, ASK, NACK, PUSH = 1, 2, 3, 4, 5


class SwimMessage(msgspec.Struct, array_like=True, frozen=True):
    """One message. Fields that a later version adds at the end are passed over."""

    what: Number
    number: Number  # of the ping it is or answers
    incarnation: Number  # the sender's own
    claims: tuple[Claim, ...] = ()
    about: str = ""  # whom to ask, or who answered through the sender
    sync: bool = False  # asks for state in the answer


class SwimMessageError(ValueError):
    """A body that is none of ours."""


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(SwimMessage)


def pack(talk: SwimMessage) -> bytes:
    """As a body."""
    return _encoder.encode(talk)


def unpack(body: bytes) -> SwimMessage:
    """From a body. Raises TalkError."""
    try:
        return _decoder.decode(body)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise SwimMessageError(str(error)) from None


@dataclass(frozen=True, slots=True)
class Received:
    """Fact: a sealed message of kind "live" from the process ``generation`` of ``sender``."""

    sender: str
    generation: int
    body: bytes


@dataclass(frozen=True, slots=True)
class LoopDelayed:
    """Fact: the own loop ran so late (ms)."""

    ms: float


@dataclass(frozen=True, slots=True)
class CopiesChanged:
    """Fact: another copies file."""

    fleet: Fleet


@dataclass(frozen=True, slots=True)
class Leave:
    """Fact: this process ends."""


@dataclass(frozen=True, slots=True)
class Send:
    """Step: send it, or do not: nothing rests on it."""

    to: str
    body: bytes


@dataclass(frozen=True, slots=True)
class StateChanged:
    """Step: the view of one copy is another now: alive, suspected, dead."""

    name: str
    state: str


@dataclass(frozen=True, slots=True)
class SelfStateChanged:
    """Step: what this copy thinks of itself is another now."""

    self_suspected: bool
    alone: bool
    cut_off: bool


@dataclass(frozen=True, slots=True)
class NewGeneration:
    """Step: go on as this generation; an earlier process of this name had a later one than ours."""

    generation: int


Fact = Received | LoopDelayed | CopiesChanged | Leave
Step = Send | StateChanged | SelfStateChanged | NewGeneration


@dataclass(frozen=True, slots=True)
class View:
    """What one copy thinks of all. ``alone``: nobody is heard; ``cut_off``: nobody of any other site."""

    states: dict[str, str]
    self_suspected: bool
    alone: bool
    cut_off: bool
