"""What this copy's dealings with the agreed log need of its member: to propose, and to change who votes."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, Protocol

from brassweir.agreed import commands
from brassweir.agreed.commands import Command, CommandError, Result

PROPOSAL_TIMEOUT = 3000.0  # ms until a proposal counts as unknown: a new leader is there by then

Note = Callable[[str, dict[str, object]], None]


class ProposalOutcome(Protocol):
    """How a proposal ended."""

    @property
    def how(self) -> str: ...
    @property
    def index(self) -> int: ...
    @property
    def result(self) -> bytes: ...
    @property
    def why(self) -> str: ...


class LogMember(Protocol):
    """What is needed of the member."""

    async def propose(self, command: bytes, timeout_ms: float) -> ProposalOutcome:
        """Agree on a command."""

    def status(self) -> Mapping[str, Any]:
        """Role, term, leader, commit, applied, voters, learners."""

    def hand_over(self) -> None:
        """Let another lead, if this one does."""

    def alive(self) -> frozenset[str]:
        """Copies that are thought to be there, this one among them."""

    def give_up(self) -> None:
        """Follow no further: this version cannot."""

    async def change(self, name: str, votes: bool, timeout_ms: float) -> ProposalOutcome:
        """Let a copy vote, or no longer; for the leader only."""


async def propose(group: LogMember, command: Command) -> Result | None:
    """The result of a command; None if it is not known, or was not taken."""
    try:
        outcome = await group.propose(commands.encode(command), PROPOSAL_TIMEOUT)
    except CommandError as error:
        return Result(False, 0, "command", str(error))
    if outcome.how != "agreed":
        return None
    return commands.decode_result(outcome.result)
