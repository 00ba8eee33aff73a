"""Merges acknowledgements, which report up the feed tree which version is in force at which copy. Pure.

Each message replaces its sender's last one, and bitmaps are merged by union, so no copy is counted twice,
however often and by whichever path it is reported. The highest version reported of a copy counts. Reports
expire unless they are repeated; so a copy that restarts with an older version, or is gone, is no longer
counted for the newer one once its former feeder's report has expired.
"""

from __future__ import annotations

from dataclasses import dataclass

from brassweir.agreed.messages import Acknowledge
from brassweir.configstream.member_index import MemberIndex, MemberIndexHistory

MAX_VERSION_ROWS = 3  # newest versions with a row each; keeps a message of 490 copies under 400 bytes
OLDER_VERSIONS = 0  # stands for all older versions, whose copies share one row
MAX_SENDERS = 64  # one report is stored for each

Rows = tuple[tuple[int, int], ...]  # (version, bitmap), newest version first; each copy in at most one


@dataclass(frozen=True, slots=True)
class MessageOrigin:
    """The member and process generation that sent a message, and its sequence number there."""

    member: str
    generation: int
    nonce: int
    sequence: int

    def outdated_by(self, other: MessageOrigin) -> bool:
        """Whether a message of this origin is a repeat of, or older than, one of ``other``."""
        if self.member != other.member:
            return False
        if self.generation == other.generation and self.nonce == other.nonce:
            return self.sequence <= other.sequence
        return self.generation <= other.generation


@dataclass(slots=True)
class SenderReport:
    """A sender's last report; its bitmaps refer to ``member_index``."""

    origin: MessageOrigin
    member_index: MemberIndex
    rows: Rows
    expires_at: float


def decode_rows(message: Acknowledge, member_index: MemberIndex) -> Rows:
    """Decode the rows of a message. Raises ValueError if ``encode_rows`` cannot have made them."""
    versions = message.versions
    if len(versions) > MAX_VERSION_ROWS + 1 or len(versions) != len(message.bitmaps):
        raise ValueError(
            f"{len(versions)} versions, {len(message.bitmaps)} bitmaps; {MAX_VERSION_ROWS + 1} are the most"
        )
    if list(versions) != sorted(set(versions), reverse=True):
        raise ValueError("versions are not in descending order")
    return tuple(zip(versions, map(member_index.unpack, message.bitmaps), strict=True))


def encode_rows(rows: Rows, member_index: MemberIndex, sequence: int) -> Acknowledge:
    """Encode rows as a message with this sequence number."""
    versions = tuple(version for version, _ in rows)
    bitmaps = tuple(member_index.pack(bits) for _, bits in rows)
    return Acknowledge(member_index.checksum, versions, bitmaps, sequence)


def merge_rows(row_sets: list[Rows]) -> Rows:
    """Merge rows so that each copy is in one, that of its highest version; older versions share one row."""
    union: dict[int, int] = {}
    for rows in row_sets:
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
    """The last reports of the copies below this one in the feed tree."""

    def __init__(self, member_indexes: MemberIndexHistory) -> None:
        self.member_indexes = member_indexes
        self.reports: dict[str, SenderReport] = {}

    def accept(
        self, sender: str, origin: MessageOrigin, message: Acknowledge, now: float, expires_at: float
    ) -> str:
        """Store a message until ``expires_at``. Return why it was dropped, or "" if it was not."""
        member_index = self.member_indexes.get(message.roster)
        if member_index is None:
            return "acknowledgement of an unknown member list"
        last = self.reports.get(sender)
        if last is not None and origin.outdated_by(last.origin):
            return "acknowledgement out of order"
        self.expire(now)
        if sender not in self.reports and len(self.reports) >= MAX_SENDERS:
            return "acknowledgement beyond the most senders"
        try:
            rows = decode_rows(message, member_index)
        except ValueError:
            return "acknowledgement unreadable"
        self.reports[sender] = SenderReport(origin, member_index, rows, expires_at)
        return ""

    def expire(self, now: float) -> None:
        """Drop the reports that were not repeated in time."""
        if any(report.expires_at <= now for report in self.reports.values()):
            self.reports = {
                sender: report for sender, report in self.reports.items() if report.expires_at > now
            }

    def next_expiry(self) -> float:
        """Return when the next report expires; infinity without any."""
        return min((report.expires_at for report in self.reports.values()), default=float("inf"))

    def merged_rows(self, name: str, version: int | None, uplink: str = "") -> Rows:
        """Return the rows of this copy, ``name``, and of all below it, by the current member index.

        ``version`` is in force at this copy; None leaves it out. What others report of this copy is ignored,
        and so are reports of ``uplink``, to which this copy acknowledges: they would only return there.
        """
        member_index = self.member_indexes.current
        own_bit = member_index.bit(name)
        row_sets: list[Rows] = [((version, own_bit),)] if version is not None and own_bit else []
        for sender, report in self.reports.items():
            if sender != uplink:
                rows = report.rows
                row_sets.append(
                    tuple(
                        (row_version, member_index.translate(bits, report.member_index) & ~own_bit)
                        for row_version, bits in rows
                    )
                )
        return merge_rows(row_sets)
