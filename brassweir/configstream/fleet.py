"""The leader's view of the fleet: which version is in force where, and which copies lag. Pure."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from brassweir.configstream.acknowledgements import OLDER_VERSIONS, Rows
from brassweir.configstream.member_index import MemberIndex

MAX_VERSIONS = 64  # whose time is stored, to tell for how long a copy has lagged


@dataclass(frozen=True, slots=True)
class LaggingCopy:
    """A copy at which an older version than the newest is in force."""

    name: str
    version: int  # 0: none, or one of OLDER_VERSIONS
    lag_ms: float  # since the next version was first seen by this leader


@dataclass(frozen=True, slots=True)
class FleetView:
    """Which copies have the newest version in force.

    If ``leading`` is false, only ``newest`` and ``copies`` concern the whole fleet; the others cover this
    copy and those below it.
    """

    leading: bool
    newest: int
    copies: int
    in_force: int
    behind: tuple[LaggingCopy, ...] = ()
    unreported: tuple[str, ...] = ()


class FleetVersions:
    """When each recent version was first seen, and since when copies lag."""

    def __init__(self) -> None:
        self.versions: deque[tuple[int, float]] = deque(maxlen=MAX_VERSIONS)
        self.behind_since: dict[str, float] = {}

    @property
    def newest(self) -> int:
        """The newest version; 0 before the first."""
        return self.versions[-1][0] if self.versions else 0

    def note_version(self, version: int, now: float) -> None:
        """Record the newest version, first seen at ``now`` if it is another one."""
        if version != self.newest:
            self.versions.append((version, now))

    def superseded_at(self, version: int, now: float) -> float:
        """Return when a version after ``version`` was first seen; ``now`` if none is known."""
        return next((since for newer, since in self.versions if newer > version), now)

    def update(self, rows: Rows, member_index: MemberIndex, now: float) -> None:
        """Update since when copies lag. A copy that does not report keeps its time."""
        exact_versions = [version for version, _ in rows if version != OLDER_VERSIONS]
        for version, bits in rows:
            if version >= self.newest:
                self._remove_current(member_index, bits)
                continue
            lagging_version = (
                version if version != OLDER_VERSIONS or not exact_versions else min(exact_versions) - 1
            )
            since = self.superseded_at(lagging_version, now)
            for name in member_index.names_in(bits):
                if version == OLDER_VERSIONS:
                    self.behind_since.setdefault(name, since)
                else:
                    self.behind_since[name] = since

    def _remove_current(self, member_index: MemberIndex, bits: int) -> None:
        for name in list(self.behind_since):
            if member_index.bit(name) & bits or name not in member_index.positions:
                del self.behind_since[name]

    def view(self, rows: Rows, member_index: MemberIndex, leading: bool, now: float) -> FleetView:
        """Return the view by these rows, longest lag first."""
        self.update(rows, member_index, now)
        reported = in_force = 0
        behind: list[LaggingCopy] = []
        for version, bits in rows:
            reported |= bits
            if version >= self.newest:
                in_force |= bits
                continue
            for name in member_index.names_in(bits):
                behind.append(LaggingCopy(name, version, now - self.behind_since.get(name, now)))
        unreported = tuple(member_index.names_in(member_index.all_bits & ~reported))
        behind.sort(key=lambda copy: (-copy.lag_ms, copy.name))
        return FleetView(
            leading, self.newest, len(member_index.names), in_force.bit_count(), tuple(behind), unreported
        )
