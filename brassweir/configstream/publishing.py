"""When an operator's copy proposes the commands of a plan, and what their results mean. Pure.

``(now, facts)`` in, steps out. Pieces go out many at a time, the command that puts the version in force after
all of them. What may or may not have come into the log is proposed again: a repeat does no harm.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from brassweir.agreed.commands import Result
from brassweir.agreed.facts import How
from brassweir.configstream import commands
from brassweir.configstream.commands import Abandon
from brassweir.configstream.planning import Plan

WINDOW = 64  # proposals out at once: a quarter of those that a member may have waiting
AGAIN = 500.0  # ms before a proposal that failed, or may have, is made again
LIMIT = 120_000.0  # ms until a version that did not come in force is given up
ROUNDS = 3  # times that pieces are staged: others may fill the room for them meanwhile


@dataclass(frozen=True, slots=True)
class Ended:
    """How a proposal ended; ``result`` if it was agreed."""

    number: int
    how: How
    result: Result | None = None
    why: str = ""


@dataclass(frozen=True, slots=True)
class Facts:
    """What is known when it is decided, of the machine as applied here."""

    level: int  # that is agreed
    version: int  # of the configuration
    digest: str  # of its catalog
    ended: tuple[Ended, ...] = ()  # since the step before


@dataclass(frozen=True, slots=True)
class Propose:
    """Propose this command, and tell under this number how it ended."""

    number: int
    command: bytes


@dataclass(frozen=True, slots=True)
class Forget:
    """Propose this command; how it ends does not matter."""

    command: bytes


@dataclass(frozen=True, slots=True)
class Done:
    """The list is in force as this version."""

    version: int


@dataclass(frozen=True, slots=True)
class Refused:
    """Given up: which field stands against it, and why."""

    field: str
    why: str


@dataclass(frozen=True, slots=True)
class Superseded:
    """Another version came first. What it changed would be taken back by a plan made anew from the same
    list, so that is done only when an operator says so once more."""

    version: int
    why: str


@dataclass(frozen=True, slots=True)
class Wait:
    """Nothing more now; decide again after so many ms at the latest."""

    span: float


Step = Propose | Forget | Done | Refused | Superseded | Wait


@dataclass
class _Round:
    """The pieces that are still to be proposed, and those that are out."""

    waiting: list[int]
    out: set[int] = field(default_factory=set)


class Publishing:
    """One plan on its way into the log. ``now`` is monotonic (ms)."""

    def __init__(self, plan: Plan, now: float) -> None:
        self.plan = plan
        self.until = now + LIMIT
        self.not_before = now
        self.over = False  # it ended, one way or another
        self.rounds = 1
        self.doubtful = False  # the last command may be in the log, or come into it
        self._last = len(plan.pieces)  # the number of the command that puts the version in force
        self._round = _Round(list(range(self._last)))
        self._end: Step | None = None

    def step(self, now: float, facts: Facts) -> list[Step]:
        """What to do now; nothing more once it is over."""
        if self.over:
            return []
        for ended in facts.ended:
            self._take(now, ended)
        end = self._end or self._ended(now, facts)
        if end is not None:
            self.over = True
            return [*self._abandon(end), end]
        if now < self.not_before:
            return [Wait(self.not_before - now)]
        if facts.level < commands.LEVEL:
            return [Wait(AGAIN)]
        return [*self._proposals(), Wait(AGAIN)]

    def _ended(self, now: float, facts: Facts) -> Step | None:
        """The end that the state of the machine shows, or the time."""
        if facts.digest == self.plan.digest and facts.version != self.plan.after:
            return Done(facts.version)
        if facts.version > self.plan.after:
            return self._superseded(facts.version)
        if now >= self.until:
            return Refused("time", self._late(facts))
        return None

    def _late(self, facts: Facts) -> str:
        if facts.level < commands.LEVEL:
            return f"level {facts.level} is agreed: not all members read level {commands.LEVEL}"
        doubt = "; it may still come in force" if self.doubtful or self._last in self._round.out else ""
        return f"not agreed within {LIMIT / 1000:.0f} s{doubt}"

    def _superseded(self, version: int) -> Superseded:
        doubt = "; this one may have been in force before" if self.doubtful else ""
        return Superseded(version, f"made from version {self.plan.after}, and {version} came first{doubt}")

    def _take(self, now: float, ended: Ended) -> None:
        """What the end of a proposal means."""
        self._round.out.discard(ended.number)
        result = ended.result
        if ended.how is not How.AGREED or result is None or result.field == "level":
            self.doubtful |= ended.number == self._last and ended.how is How.UNKNOWN
            self._again(now, ended.number)
        elif not result.ok:
            self._refused(now, result)
        elif ended.number == self._last:
            self._end = Done(result.version)

    def _refused(self, now: float, result: Result) -> None:
        """The machine said no: some of that can be mended, and some ends it."""
        if result.field == "parts" and self.rounds < ROUNDS:
            self.rounds += 1
            self._round = _Round(list(range(self._last)))
            self.not_before = now + AGAIN
        elif result.field == "after":
            self._end = self._superseded(result.version)
        else:
            self._end = Refused(result.field, result.why)

    def _again(self, now: float, number: int) -> None:
        if number < self._last:
            self._round.waiting.append(number)
        self.not_before = now + AGAIN

    def _proposals(self) -> list[Step]:
        """Pieces as far as the window lets them; the last command once none is left."""
        there = self._round
        if not there.waiting and not there.out:
            there.out.add(self._last)
            return [Propose(self._last, self.plan.last)]
        room = WINDOW - len(there.out)
        now, there.waiting = there.waiting[:room], there.waiting[room:]
        there.out.update(now)
        return [Propose(number, self.plan.pieces[number]) for number in now]

    def _abandon(self, end: Step) -> list[Step]:
        """Pieces that no command will use are let go of."""
        if isinstance(end, Done) or not self.plan.transfer or self.doubtful or self._last in self._round.out:
            return []
        return [Forget(commands.encode(Abandon(self.plan.transfer)))]
