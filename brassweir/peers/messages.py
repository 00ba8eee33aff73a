"""The SWIM messages between copies (kind "live"), and the facts and steps of the failure detector. Pure."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from brassweir.peers.claims import Claim
from brassweir.peers.copies import Fleet
from brassweir.peers.envelope import Number

PING, ACK, PING_REQ, NACK, GOSSIP = 1, 2, 3, 4, 5


class SwimMessage(msgspec.Struct, array_like=True, frozen=True):
    """One message. Decoding ignores fields that a later version adds at the end."""

    kind: Number
    number: Number  # of the ping that it is, or answers
    incarnation: Number  # the sender's own
    claims: tuple[Claim, ...] = ()
    subject: str = ""  # the copy to probe, or the one that answered through the sender
    wants_state: bool = False  # asks for a page of the sender's table in the answer


class SwimMessageError(ValueError):
    """A body that does not decode as a message."""


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(SwimMessage)


def encode(message: SwimMessage) -> bytes:
    """The body of an envelope."""
    return _encoder.encode(message)


def decode(body: bytes) -> SwimMessage:
    """The message in the body of an envelope. Raises SwimMessageError."""
    try:
        return _decoder.decode(body)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise SwimMessageError(str(error)) from None


@dataclass(frozen=True, slots=True)
class Received:
    """Fact: an authenticated message of kind "live" came from the process ``generation`` of ``sender``."""

    sender: str
    generation: int
    body: bytes


@dataclass(frozen=True, slots=True)
class LoopDelayed:
    """Fact: this process's event loop ran ``delay_ms`` late."""

    delay_ms: float


@dataclass(frozen=True, slots=True)
class CopiesChanged:
    """Fact: the copies file was read again."""

    fleet: Fleet


@dataclass(frozen=True, slots=True)
class Leave:
    """Fact: this process is about to end."""


@dataclass(frozen=True, slots=True)
class Send:
    """Step: send a message. It may be lost: the protocol does not depend on delivery."""

    to: str
    body: bytes


@dataclass(frozen=True, slots=True)
class StateChanged:
    """Step: this copy's view of ``name`` changed to ``state``: alive, suspected or dead."""

    name: str
    state: str


@dataclass(frozen=True, slots=True)
class SelfStateChanged:
    """Step: this copy's view of itself changed. The fields are those of ``View``."""

    self_suspected: bool
    alone: bool
    cut_off: bool


@dataclass(frozen=True, slots=True)
class NewGeneration:
    """Step: continue under this generation, because an earlier process of this name used a later one."""

    generation: int


Fact = Received | LoopDelayed | CopiesChanged | Leave
Step = Send | StateChanged | SelfStateChanged | NewGeneration


@dataclass(frozen=True, slots=True)
class View:
    """One copy's view of all others, and of itself.

    ``self_suspected``: its own observations are not to be trusted; ``alone``: it hears no other copy;
    ``cut_off``: it hears no copy of any other site.
    """

    states: dict[str, str]
    self_suspected: bool
    alone: bool
    cut_off: bool
