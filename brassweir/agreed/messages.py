"""What members say to each other: bytes in, messages out. Kinds are only added, fields only added at the end.

So an older version reads a newer one: a field it does not know is passed over, a kind it does not know raises
:class:`Unreadable` and is dropped. Times are milliseconds.
"""

from __future__ import annotations

import msgspec

from brassweir.agreed.entry import COMMAND as COMMAND
from brassweir.agreed.entry import MEMBERS as MEMBERS
from brassweir.agreed.entry import NOOP as NOOP
from brassweir.agreed.entry import Entry as Entry
from brassweir.agreed.entry import Membership as Membership
from brassweir.agreed.entry import Number as Number
from brassweir.agreed.entry import ShortText as ShortText

VERSION = 1


class UnreadableMessage(ValueError):
    """Not a message of ours, or of a later kind."""


class VoteRequest(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Vote for me in ``term``; ``pre``: would you? ``called``: the leader itself asks me to take over."""

    term: Number
    last_index: Number
    last_term: Number
    pre: bool = False
    transfer: bool = False


class VoteReply(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """An answer to it: ``asked`` is the term asked for, ``term`` the voter's own."""

    term: Number
    requested_term: Number
    granted: bool
    pre: bool = False


class AppendEntries(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """From a leader: entries behind ``prev``, what is agreed, and what it remembers of the voters."""

    term: Number
    prev_index: Number
    prev_term: Number
    entries: tuple[Entry, ...]
    commit_index: Number
    round: Number
    acks: tuple[tuple[ShortText, Number, Number, Number, Number], ...] = ()


class AppendReply(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """All up to ``match`` is durable here and as the leader has it; else try again behind ``match``."""

    term: Number
    ok: bool
    match_index: Number
    round: Number


class ForwardProposal(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """A proposal on its way to the leader."""

    session: ShortText
    seq: Number
    lowest_open: Number
    command: bytes
    hops: Number = 0


class PullEntries(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """A learner: feed me from ``first`` on.

    ``last``: 0, or the last entry that is missing here: what follows was here early, or is awaited. It is
    ``first - 1`` if nothing is known to be missing.
    """

    first: Number
    last: Number = 0


class FeedEntries(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Agreed entries from ``first`` on; ``age`` ms since a leader was heard, by the feeders' words."""

    first: Number
    entries: tuple[Entry, ...]
    commit_index: Number
    leader_age_ms: Number
    leader: ShortText = ""


class FeederFull(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """No room for another learner; try these."""

    names: tuple[ShortText, ...]


class SnapshotOffer(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """What was asked for is in a snapshot of ``size`` bytes. ``term`` is a leader's, or 0 from a feeder."""

    term: Number
    index: Number
    size: Number
    round: Number = 0


class ChunkRequest(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Send this piece of that snapshot."""

    index: Number
    offset: Number


class SnapshotChunk(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """The piece."""

    index: Number
    offset: Number
    size: Number
    data: bytes


class IdentityCheck(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """A member started: does what you remember of it speak against its folder (its term, its last entry)?"""

    term: Number
    last_index: Number


class IdentityReply(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """The answer for the run of that nonce."""

    nonce: Number
    agrees: bool


class FoundingRequest(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """The first founder: are you new as I am, with the same list?"""

    founders: tuple[ShortText, ...]


class FoundingReply(msgspec.Struct, frozen=True, array_like=True, tag=15):
    """A founder without a group; ``nonce`` is that of the run that asked."""

    founders: tuple[ShortText, ...]
    nonce: Number


class TimeoutNow(msgspec.Struct, frozen=True, array_like=True, tag=16):
    """A leader that stops: ask for votes at once."""

    term: Number


class ReadIndexRequest(msgspec.Struct, frozen=True, array_like=True, tag=17):
    """What index must I have applied to read what is current?"""

    request_id: Number


class ReadIndexReply(msgspec.Struct, frozen=True, array_like=True, tag=18):
    """This one."""

    request_id: Number
    index: Number


class Acknowledge(msgspec.Struct, frozen=True, array_like=True, tag=19):
    """Which versions are in force at the copies below the sender in the feed tree, merged.

    ``roster`` identifies the sorted list of names that the bits of ``bitmaps`` stand for: the copies whose
    newest version is the one at the same place of ``versions``, newest first; 0 stands for all older ones.
    ``number`` grows within a run.
    """

    roster: Number
    versions: tuple[Number, ...]
    bitmaps: tuple[bytes, ...]
    number: Number = 0


Message = (
    VoteRequest
    | VoteReply
    | AppendEntries
    | AppendReply
    | ForwardProposal
    | PullEntries
    | FeedEntries
    | FeederFull
    | SnapshotOffer
    | ChunkRequest
    | SnapshotChunk
    | IdentityCheck
    | IdentityReply
    | FoundingRequest
    | FoundingReply
    | TimeoutNow
    | ReadIndexRequest
    | ReadIndexReply
    | Acknowledge
)


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """A message, and which run of which member of which group sent it."""

    version: Number
    group: ShortText
    member: ShortText
    generation: Number
    nonce: Number
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
        raise UnreadableMessage(str(error)) from None
