"""The operator of the simulated fleet: edits the list at one copy, whose real publishing core proposes it."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from brassweir.agreed import events as agreed
from brassweir.agreed.commands import decode_result
from brassweir.configstream import publication
from brassweir.configstream.publication import ProposalEnded, Publication
from brassweir.configstream.publish_plan import make_plan
from brassweir.lab.models.configjudge import Expected, List
from brassweir.lab.models.confignode import Node

PROPOSAL = 60_000.0  # ms after which a proposal is given up
PROPOSER = "c4"  # the control machine that does not vote: where the operator edits the list


@dataclass
class Submission:
    """One change of the list on its way."""

    number: int
    entries: List
    submitted_at: float
    commands: int = 0
    accepted_at: float = -1.0
    version: int = 0
    refused: str = ""
    ended: list[ProposalEnded] = field(default_factory=list)  # not told to the publishing core yet
    publishing: Publication | None = None

    @property
    def over(self) -> bool:
        """Is it agreed, or given up?"""
        return self.accepted_at >= 0.0 or bool(self.refused)


class Operator:
    """One change after the other, each made from the version that the copy has when its turn comes."""

    def __init__(
        self,
        node: Node,
        give: Callable[[agreed.Event], None],
        at: Callable[[float, Callable[[], None]], None],
        expected: dict[bytes, Expected],
    ) -> None:
        """``give``: a fact to the copy's core; ``at``: call later, in ms; ``expected``: for the judge."""
        self.node, self.give, self.at, self.expected = node, give, at, expected
        self.now = 0.0
        self.submissions: list[Submission] = []
        self.queue: deque[Submission] = deque()
        self.tickets: dict[int, tuple[Submission, int]] = {}
        self.ticket = 0
        self.turn = 0  # counts the times that something was asked to be called

    def submit(self, entries: List, now: float) -> Submission:
        """The list was edited, and SIGHUP sent."""
        submission = Submission(len(self.submissions) + 1, entries, now)
        self.submissions.append(submission)
        self.queue.append(submission)
        self.tend(now)
        return submission

    def told(self, step: agreed.Completed, now: float) -> None:
        """How a proposal ended."""
        submission, number = self.tickets.pop(step.ticket, (None, 0))
        if submission is not None:
            outcome = step.outcome
            came = decode_result(outcome.result) if outcome.how is agreed.OutcomeKind.AGREED else None
            submission.ended.append(ProposalEnded(number, outcome.how, came, outcome.why))
            self.tend(now)

    def tend(self, now: float) -> None:
        """Go on with the first that is not over."""
        self.now = now
        while self.queue and self.queue[0].over:
            self.queue.popleft()
        if self.queue and self.node.machine is not None:
            self._step(self.queue[0])

    def _step(self, submission: Submission) -> None:
        """What the publishing core wants."""
        machine = self.node.machine
        assert machine is not None
        there = machine.configuration
        if submission.publishing is None:
            made = make_plan(there.version, there.catalog, submission.entries.values(), PROPOSER)
            if made is None:
                submission.refused = "nothing changed"
                return
            submission.commands = len(made.stage_commands) + 1
            submission.publishing = Publication(made, self.now)
            self.expected[made.final_command] = Expected(submission.entries, there.version)
        ended, submission.ended = tuple(submission.ended), []
        known = publication.PublishInputs(machine.state.level, there.version, there.catalog.digest(), ended)
        for step in submission.publishing.step(self.now, known):
            self._carry_out(submission, step)

    def _carry_out(self, submission: Submission, step: publication.Action) -> None:
        match step:
            case publication.Propose():
                self._propose(submission, step.number, step.command)
            case publication.ProposeAbandon():
                self._propose(None, 0, step.command)
            case publication.Published():
                submission.accepted_at, submission.version = self.now, step.version
                self._call_soon(0.0)
            case publication.Rejected():
                submission.refused = f"{step.field}: {step.reason}"
            case publication.Superseded():
                submission.refused = step.reason
            case publication.Wait():
                self._call_soon(step.wait_ms)

    def _propose(self, submission: Submission | None, number: int, command: bytes) -> None:
        self.ticket += 1
        if submission is not None:
            self.tickets[self.ticket] = submission, number
        fact = agreed.Propose(self.ticket, command, self.now + PROPOSAL)
        self.at(self.now, lambda: self.give(fact))

    def _call_soon(self, span: float) -> None:
        """Come back then, unless something was asked for later."""
        self.turn += 1
        turn, at = self.turn, self.now + span

        def call() -> None:
            if turn == self.turn:
                self.tend(at)

        self.at(at, call)
