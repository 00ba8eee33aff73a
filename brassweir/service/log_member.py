"""The interface to this copy's member of the agreed log, and how commands are proposed through it."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, Protocol

from brassweir.agreed import commands
from brassweir.agreed.commands import Command, CommandError, Result

PROPOSAL_TIMEOUT_MS = 3000.0  # longer than the election of a new leader takes

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
    """The operations of a log member that membership, renewal and epoch proposals use."""

    async def propose(self, command: bytes, timeout_ms: float) -> ProposalOutcome:
        """Propose a command and wait until it is agreed, refused, or the timeout has passed."""

    def status(self) -> Mapping[str, Any]:
        """Return role, term, leader, commit and applied index, voters and learners."""

    def hand_over(self) -> None:
        """Transfer leadership to another member, if this one leads."""

    def alive(self) -> frozenset[str]:
        """Return the names of the copies believed alive, this one included."""

    def leave_for_good(self) -> None:
        """Leave the log for good, because this version of the program cannot apply its commands."""

    async def change(self, name: str, votes: bool, timeout_ms: float) -> ProposalOutcome:
        """Make a copy a voter, or take its vote away. Only the leader can do this."""


async def propose(member: LogMember, command: Command) -> Result | None:
    """Propose a command and return its result; None if it was not agreed, or its outcome is unknown.

    A command that cannot be encoded gives a failed result instead of an exception.
    """
    try:
        outcome = await member.propose(commands.encode(command), PROPOSAL_TIMEOUT_MS)
    except CommandError as error:
        return Result(False, 0, "command", str(error))
    if outcome.how != "agreed":
        return None
    return commands.decode_result(outcome.result)
