"""What members say to each other: bytes in, messages out. Kinds are only added, fields only added at the end.

So an older version reads a newer one: a field it does not know is passed over, a kind it does not know raises
:class:`Unreadable` and is dropped. Times are milliseconds.
"""

from __future__ import annotations

import msgspec

from brassweir.agreed.entry import COMMAND as COMMAND
from brassweir.agreed.entry import MEMBERS as MEMBERS
from brassweir.agreed.entry import NOOP as NOOP
from brassweir.agreed.entry import Count as Count
from brassweir.agreed.entry import Entry as Entry
from brassweir.agreed.entry import Membership as Membership
from brassweir.agreed.entry import Word as Word

VERSION = 1


class Unreadable(ValueError):
    """Not a message of ours, or of a later kind."""


class AskVote(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Vote for me in ``term``; ``pre``: would you? ``called``: the leader itself asks me to take over."""

    term: Count
    last: Count
    last_term: Count
    pre: bool = False
    called: bool = False


class Vote(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """An answer to it: ``asked`` is the term asked for, ``term`` the voter's own."""

    term: Count
    asked: Count
    granted: bool
    pre: bool = False


class Append(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """From a leader: entries behind ``prev``, what is agreed, and what it remembers of the voters."""

    term: Count
    prev: Count
    prev_term: Count
    entries: tuple[Entry, ...]
    commit: Count
    round: Count
    acks: tuple[tuple[Word, Count, Count, Count, Count], ...] = ()


class Appended(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """All up to ``match`` is durable here and as the leader has it; else try again behind ``match``."""

    term: Count
    ok: bool
    match: Count
    round: Count


class Forward(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """A proposal on its way to the leader."""

    session: Word
    seq: Count
    low: Count
    command: bytes
    hops: Count = 0


class Pull(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """A learner: feed me from ``first`` on.

    ``last``: 0, or the last entry that is missing here: what follows was here early, or is awaited. It is
    ``first - 1`` if nothing is known to be missing.
    """

    first: Count
    last: Count = 0


class Feed(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Agreed entries from ``first`` on; ``age`` ms since a leader was heard, by the feeders' words."""

    first: Count
    entries: tuple[Entry, ...]
    commit: Count
    age: Count
    leader: Word = ""


class Full(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """No room for another learner; try these."""

    names: tuple[Word, ...]


class Offer(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """What was asked for is in a snapshot of ``size`` bytes. ``term`` is a leader's, or 0 from a feeder."""

    term: Count
    index: Count
    size: Count
    round: Count = 0


class AskChunk(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Send this piece of that snapshot."""

    index: Count
    at: Count


class Chunk(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """The piece."""

    index: Count
    at: Count
    size: Count
    data: bytes


class Hello(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """A member started: does what you remember of it speak against its folder (its term, its last entry)?"""

    term: Count
    last: Count


class Remembered(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """The answer for the run of that nonce."""

    nonce: Count
    agrees: bool


class AskFound(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """The first founder: are you new as I am, with the same list?"""

    founders: tuple[Word, ...]


class NewHere(msgspec.Struct, frozen=True, array_like=True, tag=15):
    """A founder without a group; ``nonce`` is that of the run that asked."""

    founders: tuple[Word, ...]
    nonce: Count


class TakeOver(msgspec.Struct, frozen=True, array_like=True, tag=16):
    """A leader that stops: ask for votes at once."""

    term: Count


class AskRead(msgspec.Struct, frozen=True, array_like=True, tag=17):
    """What index must I have applied to read what is current?"""

    ask: Count


class ReadAt(msgspec.Struct, frozen=True, array_like=True, tag=18):
    """This one."""

    ask: Count
    index: Count


class Acknowledge(msgspec.Struct, frozen=True, array_like=True, tag=19):
    """Which versions are in force at the copies below the sender in the feed tree, merged.

    ``roster`` identifies the sorted list of names that the bits of ``bitmaps`` stand for: the copies whose
    newest version is the one at the same place of ``versions``, newest first; 0 stands for all older ones.
    ``number`` grows within a run.
    """

    roster: Count
    versions: tuple[Count, ...]
    bitmaps: tuple[bytes, ...]
    number: Count = 0


Message = (
    AskVote
    | Vote
    | Append
    | Appended
    | Forward
    | Pull
    | Feed
    | Full
    | Offer
    | AskChunk
    | Chunk
    | Hello
    | Remembered
    | AskFound
    | NewHere
    | TakeOver
    | AskRead
    | ReadAt
    | Acknowledge
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message, and which run of which member of which group sent it."""

    version: Count
    group: Word
    member: Word
    life: Count
    nonce: Count
    body: Message


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Envelope)


def encode(envelope: Envelope) -> bytes:
    """The body of a message between copies."""
    return _ENCODER.encode(envelope)


def decode(data: bytes) -> Envelope:
    """Raises Unreadable."""
    try:
        return _DECODER.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise Unreadable(str(error)) from None
