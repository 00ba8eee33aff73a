"""What the judges read: folders as they lay there, what was told over HTTP, and when a copy was away."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Folder:
    """One copy's agreed folder, of the member ``member``, as it lay there at ``at`` (s since the start).

    ``life`` counts how often the rig has taken it away or put an old one in its place. ``entries``: term and
    digest by index, of what stands whole behind ``base``, where its log begins; ``snap`` is the last index of
    its snapshot, whose content has the digest ``snap_digest``. ``agreed``: the index up to which
    all is agreed, as it says.
    """

    at: float
    copy: str
    life: int
    term: int
    vote: str
    base: int
    snap: int
    snap_digest: str
    entries: dict[int, tuple[int, str]]
    agreed: int = 0
    member: str = ""

    @property
    def last(self) -> int:
        """The last index that it holds."""
        return max(self.entries, default=self.base)


@dataclass(frozen=True, slots=True)
class Told:
    """What one copy answered over HTTP at ``at``, in its ``run``-th process.

    ``alive`` and ``dead`` are the copies that it takes for such; ``granted`` which grants it knows;
    ``trouble`` why it takes no part in the log; ``voters`` who votes, as it knows; ``digest`` that of its
    replicated state, as of ``index``.
    """

    at: float
    copy: str
    life: int
    role: str
    term: int
    leader: str
    commit: int
    applied: int
    alive: frozenset[str] = frozenset()
    dead: frozenset[str] = frozenset()
    self_suspected: bool = False
    granted: int = 0
    index: int = 0
    digest: str = ""
    trouble: str = ""
    run: int = 1
    voters: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Away:
    """A copy that could not answer from ``start`` to ``end``, by a fault of ours."""

    copy: str
    start: float
    end: float
    what: str = ""


@dataclass(slots=True)
class Finding:
    """One property: how often it was put to the test, what broke it, and figures."""

    tested: int = 0
    broken: list[str] = field(default_factory=list)
    figures: dict[str, float] = field(default_factory=dict)

    def tree(self) -> dict[str, object]:
        """For JSON."""
        return {"tested": self.tested, "broken": len(self.broken), "breaks": self.broken[:20], **self.figures}


def away_at(away: Iterable[Away], copy: str, start: float, end: float) -> bool:
    """Was the copy away at any time from ``start`` to ``end``?"""
    return any(one.copy == copy and one.start <= end and start <= one.end for one in away)
