"""Merging what copies say of the versions in force at them, on the way up the feed tree. Pure.

Each message stands in place of the sender's one before, and bitmaps are merged by union: so nothing is
counted twice, however often it is sent and by whichever path it comes. Of one copy the highest version said
counts. What a sender said expires unless it says it again, so a copy that restarts with an older version, or
goes away, shows as such once its former feeder has forgotten it.
"""

from __future__ import annotations

from dataclasses import dataclass

from brassweir.agreed.messages import Acknowledge
from brassweir.configstream.member_index import MemberIndex, MemberIndexHistory

MAX_VERSION_ROWS = 3  # newest versions told apart; with bitmaps of 490 copies a message stays under 400 bytes
OLDER_VERSIONS = 0  # the version of the row of all copies with an older one
MAX_SENDERS = 64  # messages kept, one a sender: a leader has 4 learners and 6 voters below it, others fewer

Rows = tuple[tuple[int, int], ...]  # (version, bitmap), newest version first; no copy in two of them


@dataclass(frozen=True, slots=True)
class MessageOrigin:
    """Which run of which member sent a message, and its number within that run."""

    member: str
    generation: int
    nonce: int
    sequence: int

    def outdated_by(self, other: MessageOrigin) -> bool:
        """Is this not newer than a message that came before?"""
        if self.member != other.member:
            return False
        if self.generation == other.generation and self.nonce == other.nonce:
            return self.sequence <= other.sequence
        return self.generation <= other.generation


@dataclass(slots=True)
class SenderReport:
    """A sender's last message: its rows are in terms of the roster of that number."""

    origin: MessageOrigin
    member_index: MemberIndex
    rows: Rows
    expires_at: float


def decode_rows(message: Acknowledge, roster: MemberIndex) -> Rows:
    """The rows of a message. Raises ValueError if they cannot have been made by ``pack_message``."""
    versions = message.versions
    if len(versions) > MAX_VERSION_ROWS + 1 or len(versions) != len(message.bitmaps):
        raise ValueError(
            f"{len(versions)} versions, {len(message.bitmaps)} bitmaps; {MAX_VERSION_ROWS + 1} are the most"
        )
    if list(versions) != sorted(set(versions), reverse=True):
        raise ValueError("versions are not in descending order")
    return tuple(zip(versions, map(roster.unpack, message.bitmaps), strict=True))


def encode_rows(rows: Rows, roster: MemberIndex, number: int) -> Acknowledge:
    """The message that carries these rows."""
    versions = tuple(version for version, _ in rows)
    bitmaps = tuple(roster.pack(bits) for _, bits in rows)
    return Acknowledge(roster.checksum, versions, bitmaps, number)


def merge_rows(parts: list[Rows]) -> Rows:
    """Each copy once, at the highest version said of it; all but the newest versions in one row."""
    union: dict[int, int] = {}
    for rows in parts:
        for version, bits in rows:
            union[version] = union.get(version, 0) | bits
    merged: list[tuple[int, int]] = []
    seen = older = 0
    for version in sorted(union, reverse=True):
        bits = union[version] & ~seen
        seen |= bits
        if version == OLDER_VERSIONS or len(merged) == MAX_VERSION_ROWS:
            older |= bits
        elif bits:
            merged.append((version, bits))
    return (*merged, (OLDER_VERSIONS, older)) if older else tuple(merged)


class Acknowledgements:
    """What the copies below this one last said."""

    def __init__(self, rosters: MemberIndexHistory) -> None:
        self.member_indexes = rosters
        self.reports: dict[str, SenderReport] = {}

    def accept(self, sender: str, run: MessageOrigin, message: Acknowledge, now: float, until: float) -> str:
        """Take a message in. Returns why it was dropped, or "" if it was not."""
        roster = self.member_indexes.get(message.roster)
        if roster is None:
            return "acknowledgement of an unknown member list"
        known = self.reports.get(sender)
        if known is not None and run.outdated_by(known.origin):
            return "acknowledgement out of order"
        self.expire(now)
        if sender not in self.reports and len(self.reports) >= MAX_SENDERS:
            return "acknowledgement beyond the most senders"
        try:
            rows = decode_rows(message, roster)
        except ValueError:
            return "acknowledgement unreadable"
        self.reports[sender] = SenderReport(run, roster, rows, until)
        return ""

    def expire(self, now: float) -> None:
        """Forget what was not said again in time."""
        if any(heard.expires_at <= now for heard in self.reports.values()):
            self.reports = {sender: heard for sender, heard in self.reports.items() if heard.expires_at > now}

    def next_expiry(self) -> float:
        """When something expires next."""
        return min((heard.expires_at for heard in self.reports.values()), default=float("inf"))

    def merged_rows(self, name: str, version: int | None, uplink: str = "") -> Rows:
        """The rows of this copy and of all below it, in terms of the current roster.

        ``version``: what is in force at this copy, ``name``; None leaves it out. What others say of this copy
        is passed over, and so is what its own feeder says: that would come back to where it came from.
        """
        roster = self.member_indexes.current
        own = roster.bit(name)
        parts: list[Rows] = [((version, own),)] if version is not None and own else []
        for sender, heard in self.reports.items():
            if sender != uplink:
                rows = heard.rows
                parts.append(
                    tuple((at, roster.translate(bits, heard.member_index) & ~own) for at, bits in rows)
                )
        return merge_rows(parts)
