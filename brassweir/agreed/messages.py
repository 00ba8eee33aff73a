"""Messages between members, and their encoding.

Kinds are only added, and fields only added at the end, so that an older version reads a newer one: it ignores
a field that it does not know, and drops a message of a kind that it does not know
(:class:`UnreadableMessage`). Times are milliseconds.
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
    """Bytes that are no message, or a message of a kind that only later versions know."""


class VoteRequest(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """Asks for a vote in ``term``. ``pre``: a pre-vote; ``transfer``: the leader asked for this election."""

    term: Number
    last_index: Number
    last_term: Number
    pre: bool = False
    transfer: bool = False


class VoteReply(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """Answers a vote request: ``requested_term`` is the term asked for, ``term`` the voter's own."""

    term: Number
    requested_term: Number
    granted: bool
    pre: bool = False


class AppendEntries(msgspec.Struct, frozen=True, array_like=True, tag=3):
    """From the leader: entries after ``prev_index``, its commit index, and what each voter has durably."""

    term: Number
    prev_index: Number
    prev_term: Number
    entries: tuple[Entry, ...]
    commit_index: Number
    round: Number
    acks: tuple[tuple[ShortText, Number, Number, Number, Number], ...] = ()


class AppendReply(msgspec.Struct, frozen=True, array_like=True, tag=4):
    """``ok``: all up to ``match_index`` is durable and as the leader has it; else resend what follows it."""

    term: Number
    ok: bool
    match_index: Number
    round: Number


class ForwardProposal(msgspec.Struct, frozen=True, array_like=True, tag=5):
    """A proposal on its way to the leader; ``hops`` counts the copies that passed it on."""

    session: ShortText
    seq: Number
    lowest_open: Number
    command: bytes
    hops: Number = 0


class PullEntries(msgspec.Struct, frozen=True, array_like=True, tag=6):
    """From a learner to its feeder: asks for committed entries from ``first`` on.

    ``last`` is the last entry that is missing; later ones have arrived early or are expected. It is ``first -
    1`` if no entry is known to be missing, and 0 from versions that do not state it.
    """

    first: Number
    last: Number = 0


class FeedEntries(msgspec.Struct, frozen=True, array_like=True, tag=7):
    """Committed entries from ``first`` on; ``leader_age_ms``: ms since a leader was known to lead."""

    first: Number
    entries: tuple[Entry, ...]
    commit_index: Number
    leader_age_ms: Number
    leader: ShortText = ""


class FeederFull(msgspec.Struct, frozen=True, array_like=True, tag=8):
    """The feeder accepts no more learners; the learner should try these copies."""

    names: tuple[ShortText, ...]


class SnapshotOffer(msgspec.Struct, frozen=True, array_like=True, tag=9):
    """The entries are in a snapshot of ``size`` bytes. ``term`` is the leader's, or 0 from a feeder."""

    term: Number
    index: Number
    size: Number
    round: Number = 0


class ChunkRequest(msgspec.Struct, frozen=True, array_like=True, tag=10):
    """Asks for one chunk of the snapshot at ``index``."""

    index: Number
    offset: Number


class SnapshotChunk(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """One chunk of a snapshot; ``size`` is that of the whole snapshot."""

    index: Number
    offset: Number
    size: Number
    data: bytes


class IdentityCheck(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """From a member that started: does your record of it contradict its directory (term and last index)?"""

    term: Number
    last_index: Number


class IdentityReply(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """Answers the identity check of the run with this nonce; ``agrees``: nothing contradicts it."""

    nonce: Number
    agrees: bool


class FoundingRequest(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """From the first founder: are you without a group too, and is your list of founders the same?"""

    founders: tuple[ShortText, ...]


class FoundingReply(msgspec.Struct, frozen=True, array_like=True, tag=15):
    """A founder's list; the envelope tells its group. ``nonce`` is that of the run that asked."""

    founders: tuple[ShortText, ...]
    nonce: Number


class TimeoutNow(msgspec.Struct, frozen=True, array_like=True, tag=16):
    """From a leader that stops: start an election at once."""

    term: Number


class ReadIndexRequest(msgspec.Struct, frozen=True, array_like=True, tag=17):
    """Asks the leader which index must be applied before a read is current."""

    request_id: Number


class ReadIndexReply(msgspec.Struct, frozen=True, array_like=True, tag=18):
    """The index for the request with this id."""

    request_id: Number
    index: Number


class Acknowledge(msgspec.Struct, frozen=True, array_like=True, tag=19):
    """Which versions are in force at the copies below the sender in the feed tree, merged.

    ``roster`` identifies the sorted list of names that the bits of ``bitmaps`` stand for: each bitmap marks
    the copies whose newest version is the one at the same position of ``versions``, newest first; 0 stands
    for all older ones. ``number`` grows within a run.
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
    """A message, with the group, member id and run (``generation`` and ``nonce``) of its sender."""

    version: Number
    group: ShortText
    member: ShortText
    generation: Number
    nonce: Number
    body: Message


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Envelope)


def encode(envelope: Envelope) -> bytes:
    """Encode the body of a message between copies."""
    return _ENCODER.encode(envelope)


def decode(data: bytes) -> Envelope:
    """Decode the body of a message. Raises UnreadableMessage."""
    try:
        return _DECODER.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        raise UnreadableMessage(str(error)) from None
