"""Proposes the commands of a publish plan and interprets their results. Pure.

Each step takes the time and inputs and returns actions. Chunks are proposed many at a time, the final command
once all of them are committed. A proposal with an unknown outcome is repeated; the commands are idempotent.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from brassweir.agreed.commands import Result
from brassweir.agreed.events import OutcomeKind
from brassweir.configstream import commands
from brassweir.configstream.commands import Abandon
from brassweir.configstream.publish_plan import PublishPlan

MAX_IN_FLIGHT = 64  # proposals; a quarter of what a member may have waiting
RETRY_MS = 500.0  # before a proposal that may have failed is repeated
TIMEOUT_MS = 120_000.0  # for the whole publication
MAX_STAGING_ROUNDS = 3  # other transfers may evict the staged chunks


@dataclass(frozen=True, slots=True)
class ProposalEnded:
    """The end of a proposal, with the state machine's result if it was committed."""

    number: int
    kind: OutcomeKind
    result: Result | None = None
    reason: str = ""


@dataclass(frozen=True, slots=True)
class PublishInputs:
    """What a step depends on: the state machine as applied here, and ended proposals."""

    level: int  # log level
    version: int  # current version
    digest: str  # of the current catalog
    ended_proposals: tuple[ProposalEnded, ...] = ()  # since the last step


@dataclass(frozen=True, slots=True)
class Propose:
    """Propose this command, and report its end under this number."""

    number: int
    command: bytes


@dataclass(frozen=True, slots=True)
class ProposeAbandon:
    """Propose this command, which drops staged chunks; its end need not be reported."""

    command: bytes


@dataclass(frozen=True, slots=True)
class Published:
    """The list was committed as this version."""

    version: int


@dataclass(frozen=True, slots=True)
class Rejected:
    """The publication failed: the field at fault and the reason."""

    field: str
    reason: str


@dataclass(frozen=True, slots=True)
class Superseded:
    """Another version was committed first.

    A new plan from the same list would revert that version, so an operator has to publish again.
    """

    version: int
    reason: str


@dataclass(frozen=True, slots=True)
class Wait:
    """Nothing to do now; run the next step after ``wait_ms`` at the latest."""

    wait_ms: float


Action = Propose | ProposeAbandon | Published | Rejected | Superseded | Wait


@dataclass
class _Round:
    """One staging round: commands still to be proposed, and those in flight."""

    waiting: list[int]
    in_flight: set[int] = field(default_factory=set)


class Publication:
    """The publication of one plan. ``now`` is monotonic, in milliseconds."""

    def __init__(self, plan: PublishPlan, now: float) -> None:
        self.plan = plan
        self.deadline = now + TIMEOUT_MS
        self.retry_at = now
        self.finished = False  # a final action was returned
        self.staging_rounds = 1
        self.outcome_unknown = False  # the final command may have been, or may still be, committed
        self._final_number = len(plan.stage_commands)  # number of the final command; chunks have lower ones
        self._round = _Round(list(range(self._final_number)))
        self._final_action: Action | None = None

    def step(self, now: float, inputs: PublishInputs) -> list[Action]:
        """Return what to do now; nothing once the publication has finished."""
        if self.finished:
            return []
        for ended in inputs.ended_proposals:
            self._handle_ended(now, ended)
        final = self._final_action or self._end_by_state(now, inputs)
        if final is not None:
            self.finished = True
            return [*self._abandon(final), final]
        if now < self.retry_at:
            return [Wait(self.retry_at - now)]
        if inputs.level < commands.LEVEL:
            return [Wait(RETRY_MS)]
        return [*self._proposals(), Wait(RETRY_MS)]

    def _end_by_state(self, now: float, inputs: PublishInputs) -> Action | None:
        """Return the final action if the state machine's state or the timeout decides it."""
        if inputs.digest == self.plan.digest and inputs.version != self.plan.base_version:
            return Published(inputs.version)
        if inputs.version > self.plan.base_version:
            return self._superseded(inputs.version)
        if now >= self.deadline:
            return Rejected("time", self._timeout_reason(inputs))
        return None

    def _timeout_reason(self, inputs: PublishInputs) -> str:
        if inputs.level < commands.LEVEL:
            return f"level {inputs.level} is agreed: not all members read level {commands.LEVEL}"
        note = (
            "; it may still come in force"
            if self.outcome_unknown or self._final_number in self._round.in_flight
            else ""
        )
        return f"not agreed within {TIMEOUT_MS / 1000:.0f} s{note}"

    def _superseded(self, version: int) -> Superseded:
        note = "; this one may have been in force before" if self.outcome_unknown else ""
        return Superseded(
            version, f"made from version {self.plan.base_version}, and {version} came first{note}"
        )

    def _handle_ended(self, now: float, ended: ProposalEnded) -> None:
        """Handle the end of a proposal: finish, or schedule a retry."""
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
        """Handle a rejection by the state machine: stage evicted chunks again, or finish."""
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
        """Propose chunks up to MAX_IN_FLIGHT; the final command once all are committed."""
        staging_round = self._round
        if not staging_round.waiting and not staging_round.in_flight:
            staging_round.in_flight.add(self._final_number)
            return [Propose(self._final_number, self.plan.final_command)]
        capacity = MAX_IN_FLIGHT - len(staging_round.in_flight)
        numbers, staging_round.waiting = staging_round.waiting[:capacity], staging_round.waiting[capacity:]
        staging_round.in_flight.update(numbers)
        return [Propose(number, self.plan.stage_commands[number]) for number in numbers]

    def _abandon(self, final: Action) -> list[Action]:
        """Drop the staged chunks, unless the final command may still use them."""
        if (
            isinstance(final, Published)
            or not self.plan.transfer
            or self.outcome_unknown
            or self._final_number in self._round.in_flight
        ):
            return []
        return [ProposeAbandon(commands.encode(Abandon(self.plan.transfer)))]
