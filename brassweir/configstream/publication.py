"""When an operator's copy proposes the commands of a plan, and what their results mean. Pure.

``(now, facts)`` in, steps out. Pieces go out many at a time, the command that puts the version in force after
all of them. What may or may not have come into the log is proposed again: a repeat does no harm.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from brassweir.agreed.commands import Result
from brassweir.agreed.events import OutcomeKind
from brassweir.configstream import commands
from brassweir.configstream.commands import Abandon
from brassweir.configstream.publish_plan import PublishPlan

MAX_IN_FLIGHT = 64  # proposals out at once: a quarter of those that a member may have waiting
RETRY_MS = 500.0  # ms before a proposal that failed, or may have, is made again
TIMEOUT_MS = 120_000.0  # ms until a version that did not come in force is given up
MAX_STAGING_ROUNDS = 3  # times that pieces are staged: others may fill the room for them meanwhile


@dataclass(frozen=True, slots=True)
class ProposalEnded:
    """How a proposal ended; ``result`` if it was agreed."""

    number: int
    kind: OutcomeKind
    result: Result | None = None
    reason: str = ""


@dataclass(frozen=True, slots=True)
class PublishInputs:
    """What is known when it is decided, of the machine as applied here."""

    level: int  # that is agreed
    version: int  # of the configuration
    digest: str  # of its catalog
    ended_proposals: tuple[ProposalEnded, ...] = ()  # since the step before


@dataclass(frozen=True, slots=True)
class Propose:
    """Propose this command, and tell under this number how it ended."""

    number: int
    command: bytes


@dataclass(frozen=True, slots=True)
class ProposeAbandon:
    """Propose this command; how it ends does not matter."""

    command: bytes


@dataclass(frozen=True, slots=True)
class Published:
    """The list is in force as this version."""

    version: int


@dataclass(frozen=True, slots=True)
class Rejected:
    """Given up: which field stands against it, and why."""

    field: str
    reason: str


@dataclass(frozen=True, slots=True)
class Superseded:
    """Another version came first. What it changed would be taken back by a plan made anew from the same
    list, so that is done only when an operator says so once more."""

    version: int
    reason: str


@dataclass(frozen=True, slots=True)
class Wait:
    """Nothing more now; decide again after so many ms at the latest."""

    wait_ms: float


Action = Propose | ProposeAbandon | Published | Rejected | Superseded | Wait


@dataclass
class _Round:
    """The pieces that are still to be proposed, and those that are out."""

    waiting: list[int]
    in_flight: set[int] = field(default_factory=set)


class Publication:
    """One plan on its way into the log. ``now`` is monotonic (ms)."""

    def __init__(self, plan: PublishPlan, now: float) -> None:
        self.plan = plan
        self.deadline = now + TIMEOUT_MS
        self.retry_at = now
        self.finished = False  # it ended, one way or another
        self.staging_rounds = 1
        self.outcome_unknown = False  # the last command may be in the log, or come into it
        self._final_number = len(
            plan.stage_commands
        )  # the number of the command that puts the version in force
        self._round = _Round(list(range(self._final_number)))
        self._final_action: Action | None = None

    def step(self, now: float, facts: PublishInputs) -> list[Action]:
        """What to do now; nothing more once it is over."""
        if self.finished:
            return []
        for ended in facts.ended_proposals:
            self._handle_ended(now, ended)
        end = self._final_action or self._end_by_state(now, facts)
        if end is not None:
            self.finished = True
            return [*self._abandon(end), end]
        if now < self.retry_at:
            return [Wait(self.retry_at - now)]
        if facts.level < commands.LEVEL:
            return [Wait(RETRY_MS)]
        return [*self._proposals(), Wait(RETRY_MS)]

    def _end_by_state(self, now: float, facts: PublishInputs) -> Action | None:
        """The end that the state of the machine shows, or the time."""
        if facts.digest == self.plan.digest and facts.version != self.plan.base_version:
            return Published(facts.version)
        if facts.version > self.plan.base_version:
            return self._superseded(facts.version)
        if now >= self.deadline:
            return Rejected("time", self._timeout_reason(facts))
        return None

    def _timeout_reason(self, facts: PublishInputs) -> str:
        if facts.level < commands.LEVEL:
            return f"level {facts.level} is agreed: not all members read level {commands.LEVEL}"
        doubt = (
            "; it may still come in force"
            if self.outcome_unknown or self._final_number in self._round.in_flight
            else ""
        )
        return f"not agreed within {TIMEOUT_MS / 1000:.0f} s{doubt}"

    def _superseded(self, version: int) -> Superseded:
        doubt = "; this one may have been in force before" if self.outcome_unknown else ""
        return Superseded(
            version, f"made from version {self.plan.base_version}, and {version} came first{doubt}"
        )

    def _handle_ended(self, now: float, ended: ProposalEnded) -> None:
        """What the end of a proposal means."""
        self._round.in_flight.discard(ended.number)
        result = ended.result
        if ended.kind is not OutcomeKind.AGREED or result is None or result.field == "level":
            self.outcome_unknown |= ended.number == self._final_number and ended.kind is OutcomeKind.UNKNOWN
            self._schedule_retry(now, ended.number)
        elif not result.ok:
            self._handle_rejection(now, result)
        elif ended.number == self._final_number:
            self._final_action = Published(result.version)

    def _handle_rejection(self, now: float, result: Result) -> None:
        """The machine said no: some of that can be mended, and some ends it."""
        if result.field == "parts" and self.staging_rounds < MAX_STAGING_ROUNDS:
            self.staging_rounds += 1
            self._round = _Round(list(range(self._final_number)))
            self.retry_at = now + RETRY_MS
        elif result.field == "after":
            self._final_action = self._superseded(result.version)
        else:
            self._final_action = Rejected(result.field, result.why)

    def _schedule_retry(self, now: float, number: int) -> None:
        if number < self._final_number:
            self._round.waiting.append(number)
        self.retry_at = now + RETRY_MS

    def _proposals(self) -> list[Action]:
        """Pieces as far as the window lets them; the last command once none is left."""
        there = self._round
        if not there.waiting and not there.in_flight:
            there.in_flight.add(self._final_number)
            return [Propose(self._final_number, self.plan.final_command)]
        room = MAX_IN_FLIGHT - len(there.in_flight)
        now, there.waiting = there.waiting[:room], there.waiting[room:]
        there.in_flight.update(now)
        return [Propose(number, self.plan.stage_commands[number]) for number in now]

    def _abandon(self, end: Action) -> list[Action]:
        """Pieces that no command will use are let go of."""
        if (
            isinstance(end, Published)
            or not self.plan.transfer
            or self.outcome_unknown
            or self._final_number in self._round.in_flight
        ):
            return []
        return [ProposeAbandon(commands.encode(Abandon(self.plan.transfer)))]
