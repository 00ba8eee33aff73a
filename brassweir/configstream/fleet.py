"""The fleet as its leader sees it: what is in force where, who is behind, who was not heard of. Pure."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from brassweir.configstream.acknowledgements import OLDER_VERSIONS, Rows
from brassweir.configstream.member_index import MemberIndex

MAX_VERSIONS = 64  # versions whose time is remembered, for saying how long a copy has been behind


@dataclass(frozen=True, slots=True)
class LaggingCopy:
    """A copy with an older version than the newest."""

    name: str
    version: int  # 0: none, or older than the versions that are told apart
    lag_ms: float  # since a version after that one was there, as far as this leader knows


@dataclass(frozen=True, slots=True)
class FleetView:
    """What is in force where. Of a copy that does not lead only ``newest`` and ``copies`` mean the fleet."""

    leading: bool
    newest: int
    copies: int
    in_force: int
    behind: tuple[LaggingCopy, ...] = ()
    unreported: tuple[str, ...] = ()


class FleetVersions:
    """Versions and since when they are there; copies and since when they are behind."""

    def __init__(self) -> None:
        self.versions: deque[tuple[int, float]] = deque(maxlen=MAX_VERSIONS)
        self.behind_since: dict[str, float] = {}

    @property
    def newest(self) -> int:
        """The newest version; 0 before the first."""
        return self.versions[-1][0] if self.versions else 0

    def note_version(self, version: int, now: float) -> None:
        """This is the newest version now."""
        if version != self.newest:
            self.versions.append((version, now))

    def superseded_at(self, version: int, now: float) -> float:
        """When a version after this one was there first."""
        return next((at for newer, at in self.versions if newer > version), now)

    def update(self, rows: Rows, roster: MemberIndex, now: float) -> None:
        """Follow what copies say. A copy that is not heard of keeps the time since which it was behind."""
        told_apart = [version for version, _ in rows if version != OLDER_VERSIONS]
        for version, bits in rows:
            if version >= self.newest:
                self._remove_current(roster, bits)
                continue
            lacked = version if version != OLDER_VERSIONS or not told_apart else min(told_apart) - 1
            at = self.superseded_at(lacked, now)
            for name in roster.names_in(bits):
                if version == OLDER_VERSIONS:
                    self.behind_since.setdefault(name, at)
                else:
                    self.behind_since[name] = at

    def _remove_current(self, roster: MemberIndex, bits: int) -> None:
        for name in list(self.behind_since):
            if roster.bit(name) & bits or name not in roster.positions:
                del self.behind_since[name]

    def view(self, rows: Rows, roster: MemberIndex, leading: bool, now: float) -> FleetView:
        """As it stands by these rows."""
        self.update(rows, roster, now)
        heard = in_force = 0
        behind: list[LaggingCopy] = []
        for version, bits in rows:
            heard |= bits
            if version >= self.newest:
                in_force |= bits
                continue
            for name in roster.names_in(bits):
                behind.append(LaggingCopy(name, version, now - self.behind_since.get(name, now)))
        unheard = tuple(roster.names_in(roster.all_bits & ~heard))
        behind.sort(key=lambda one: (-one.lag_ms, one.name))
        return FleetView(
            leading, self.newest, len(roster.names), in_force.bit_count(), tuple(behind), unheard
        )
