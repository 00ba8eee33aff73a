"""Decides what fits into a journal whose directory is bounded. Pure.

The journal and the snapshot that replaces it lie in the directory at the same time. So what counts is the sum
of the files and of what a snapshot would take; both grow with what is accepted, and a compaction makes the
files as small as the snapshot. Without a bound everything fits. With one, the journal's I/O has to run on the
event loop, which changes the state.
"""

from __future__ import annotations

from collections.abc import Collection

from brassweir.journal import compact
from brassweir.journal.frame import frame_bytes
from brassweir.journal.group import Admission, CommitGroup
from brassweir.journal.segments import SegmentFiles
from brassweir.journal.sizes import ENDING_BYTES, SizeLimits
from brassweir.journal.state import JournalState


class Room:
    """The room of one journal. ``wanted``: there was too little of it since the last compaction began."""

    def __init__(self, state: JournalState, files: SegmentFiles, limits: SizeLimits) -> None:
        self.state, self.files, self.limits = state, files, limits
        self.wanted = False
        self.checked_bytes = -limits.check_bytes  # size when it was last checked whether to compact
        self.snapshot_bytes = 0  # kept for the snapshot that is being written

    def divide(
        self, group: CommitGroup, unwritten: Collection[int]
    ) -> tuple[list[Admission], list[Admission]]:
        """Return the messages of a group that fit, and those that do not.

        ``unwritten`` are the messages in groups that are not committed: the state has them already.
        """
        if not self.limits.max_bytes or not group.admissions:
            return group.admissions, []
        needed = {one.record.id: self._needed(one) for one in group.admissions}
        if self._used_at_most() + sum(needed.values()) <= self.limits.admit_bytes:
            return group.admissions, []
        used = self._used_without(unwritten)
        accepted: list[Admission] = []
        refused: list[Admission] = []
        for admission in group.admissions:
            if used + needed[admission.record.id] > self.limits.admit_bytes:
                refused.append(admission)
                continue
            accepted.append(admission)
            used += needed[admission.record.id]
        self.wanted = self.wanted or bool(refused)
        return accepted, refused

    def fits(self, data_bytes: int, accepted: list[Admission], unwritten: Collection[int]) -> bool:
        """Return whether so many bytes can be appended to the open segment, whatever they say.

        ``accepted`` are the messages that they accept. They must leave room for the next snapshot, since only
        a compaction makes more. Where an earlier version has left none, the journal may grow until its
        messages have ended.
        """
        limits, size = self.limits, self.files.disk_bytes
        if not limits.max_bytes or 2 * (size + data_bytes) + self.snapshot_bytes <= limits.owed_bytes:
            return True
        live = self._written_live(unwritten)
        live_after = live + sum(frame_bytes(admission.record) for admission in accepted)
        if size + data_bytes + max(self.snapshot_bytes, live_after) <= limits.owed_bytes:
            return True
        self.wanted = True
        return not compact.snapshot_fits(size, live, limits) and size + data_bytes <= limits.max_bytes

    def snapshot_begun(self, expected_bytes: int) -> None:
        """Keep room for a snapshot, until it has ended."""
        self.snapshot_bytes = expected_bytes
        self.wanted = False

    def snapshot_fits(self, size: int) -> bool:
        """Return whether the snapshot being written can grow to so many bytes."""
        self.snapshot_bytes = max(self.snapshot_bytes, size)
        return not self.limits.max_bytes or self.files.disk_bytes + size <= self.limits.max_bytes

    def snapshot_ended(self) -> None:
        """Release the room that was kept for a snapshot."""
        self.snapshot_bytes = 0

    def check_due(self) -> bool:
        """Return whether it is time to ask :meth:`should_compact`, which takes longer."""
        return self.wanted or abs(self.files.disk_bytes - self.checked_bytes) >= self.limits.check_bytes

    def should_compact(self) -> bool:
        """Return whether it is time for a snapshot, and there is room to write it."""
        size, live = self.files.disk_bytes, self.state.live_bytes
        self.checked_bytes = size
        if not compact.snapshot_fits(size, live, self.limits):
            return False
        return compact.should_compact(size, live, self.limits.min_compact_bytes) or compact.should_make_room(
            size, live, self.wanted, self.limits
        )

    def _needed(self, admission: Admission) -> int:
        """Return what a message takes in the journal and in its snapshot, up to its end."""
        return 2 * (frame_bytes(admission.record) + ENDING_BYTES)

    def _used_at_most(self) -> int:
        """Return more than :meth:`_used_without`, and sooner: as if all in the journal were live and open."""
        return 2 * (self.files.disk_bytes + ENDING_BYTES * len(self.state.by_id))

    def _used_without(self, unwritten: Collection[int]) -> int:
        messages = [self.state.by_id[ident] for ident in unwritten if ident in self.state.by_id]
        still_open = self.state.open_count - sum(message.is_open for message in messages)
        return self.files.disk_bytes + self._written_live(unwritten) + 2 * ENDING_BYTES * still_open

    def _written_live(self, unwritten: Collection[int]) -> int:
        """Return what a snapshot takes for the messages that are not ``unwritten``."""
        live = self.state.live_bytes
        by_id = self.state.by_id
        return live - sum(by_id[ident].kept_bytes for ident in unwritten if ident in by_id)
