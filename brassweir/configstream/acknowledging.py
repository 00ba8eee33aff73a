"""Merging what copies say of the versions in force at them, on the way up the feed tree. Pure.

Each message stands in place of the sender's one before, and bitmaps are merged by union: so nothing is
counted twice, however often it is sent and by whichever path it comes. Of one copy the highest version said
counts. What a sender said expires unless it says it again, so a copy that restarts with an older version, or
goes away, shows as such once its former feeder has forgotten it.
"""

from __future__ import annotations

from dataclasses import dataclass

from brassweir.agreed.messages import Acknowledge
from brassweir.configstream.roster import Roster, Rosters

ROWS = 3  # newest versions told apart; with bitmaps of 490 copies a message stays under 400 bytes
OLDER = 0  # the version of the row of all copies with an older one
MOST_SENDERS = 64  # messages kept, one a sender: a leader has 4 learners and 6 voters below it, others fewer

Rows = tuple[tuple[int, int], ...]  # (version, bitmap), newest version first; no copy in two of them


@dataclass(frozen=True, slots=True)
class Run:
    """Which run of which member sent a message, and its number within that run."""

    member: str
    life: int
    nonce: int
    number: int

    def outdated(self, other: Run) -> bool:
        """Is this not newer than a message that came before?"""
        if self.member != other.member:
            return False
        if self.life == other.life and self.nonce == other.nonce:
            return self.number <= other.number
        return self.life <= other.life


@dataclass(slots=True)
class Heard:
    """A sender's last message: its rows are in terms of the roster of that number."""

    run: Run
    roster: Roster
    rows: Rows
    until: float


def read_message(message: Acknowledge, roster: Roster) -> Rows:
    """The rows of a message. Raises ValueError if they cannot have been made by ``pack_message``."""
    versions = message.versions
    if len(versions) > ROWS + 1 or len(versions) != len(message.bitmaps):
        raise ValueError(f"{len(versions)} versions, {len(message.bitmaps)} bitmaps; {ROWS + 1} are the most")
    if list(versions) != sorted(set(versions), reverse=True):
        raise ValueError("versions are not in descending order")
    return tuple(zip(versions, map(roster.unpack, message.bitmaps), strict=True))


def pack_message(rows: Rows, roster: Roster, number: int) -> Acknowledge:
    """The message that carries these rows."""
    versions = tuple(version for version, _ in rows)
    bitmaps = tuple(roster.pack(bits) for _, bits in rows)
    return Acknowledge(roster.number, versions, bitmaps, number)


def merge(parts: list[Rows]) -> Rows:
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
        if version == OLDER or len(merged) == ROWS:
            older |= bits
        elif bits:
            merged.append((version, bits))
    return (*merged, (OLDER, older)) if older else tuple(merged)


class Acknowledgements:
    """What the copies below this one last said."""

    def __init__(self, rosters: Rosters) -> None:
        self.rosters = rosters
        self.heard: dict[str, Heard] = {}

    def take(self, sender: str, run: Run, message: Acknowledge, now: float, until: float) -> str:
        """Take a message in. Returns why it was dropped, or "" if it was not."""
        roster = self.rosters.get(message.roster)
        if roster is None:
            return "acknowledgement of an unknown member list"
        known = self.heard.get(sender)
        if known is not None and run.outdated(known.run):
            return "acknowledgement out of order"
        self.expire(now)
        if sender not in self.heard and len(self.heard) >= MOST_SENDERS:
            return "acknowledgement beyond the most senders"
        try:
            rows = read_message(message, roster)
        except ValueError:
            return "acknowledgement unreadable"
        self.heard[sender] = Heard(run, roster, rows, until)
        return ""

    def expire(self, now: float) -> None:
        """Forget what was not said again in time."""
        if any(heard.until <= now for heard in self.heard.values()):
            self.heard = {sender: heard for sender, heard in self.heard.items() if heard.until > now}

    def next_expiry(self) -> float:
        """When something expires next."""
        return min((heard.until for heard in self.heard.values()), default=float("inf"))

    def merged(self, name: str, version: int | None, uplink: str = "") -> Rows:
        """The rows of this copy and of all below it, in terms of the current roster.

        ``version``: what is in force at this copy, ``name``; None leaves it out. What others say of this copy
        is passed over, and so is what its own feeder says: that would come back to where it came from.
        """
        roster = self.rosters.current
        own = roster.bit(name)
        parts: list[Rows] = [((version, own),)] if version is not None and own else []
        for sender, heard in self.heard.items():
            if sender != uplink:
                rows = heard.rows
                parts.append(tuple((at, roster.translate(bits, heard.roster) & ~own) for at, bits in rows))
        return merge(parts)
