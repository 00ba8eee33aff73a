"""Who is a member of the agreed log, and who of them votes: this copy joins, and does what operators want."""

from __future__ import annotations

import asyncio
import time

from brassweir.agreed.commands import Join, Leave
from brassweir.agreed.machine import Machine
from brassweir.config.model import CopyModel
from brassweir.service.log_member import LogMember, Note, propose

RETRY = 5.0  # seconds between two tries to join, or to change a voter
CHANGE_TIMEOUT = 60_000.0  # ms for one change of a voter: it has to have the whole log first
VOTERS_FOR = 600.0  # seconds that other voters are wanted for, so that all copies can be told


class Membership:
    """One copy's own membership, and the members and voters that an operator has told it of."""

    def __init__(self, me: CopyModel, machine: Machine, group: LogMember, note: Note) -> None:
        self.me, self.machine, self.group, self.note = me, machine, group, note
        self.join_after = self.vote_after = 0.0
        self.joined = False
        self.changing: asyncio.Task[None] | None = None
        self.voters: frozenset[str] = frozenset()  # as an operator wants them; empty: as they are
        self.voters_until = 0.0
        self.left: set[str] = set()  # taken out of the copies' file, and members still

    def want_voters(self, names: frozenset[str]) -> None:
        """An operator wants these to vote."""
        self.voters, self.voters_until = names, time.monotonic() + VOTERS_FOR

    async def join(self) -> None:
        """Become a member, or tell the log what has changed about this copy."""
        member = self.machine.state.copies.get(self.me.name)
        mine = (self.me.site, self.me.region, self.machine.level)
        if member is not None:
            self.joined = True
        if member is not None and (member.site, member.region, member.reads) == mine:
            return
        if member is None and self.joined:
            return  # it was told to leave: a restart joins anew
        if time.monotonic() < self.join_after:
            return
        self.join_after = time.monotonic() + RETRY
        result = await propose(self.group, Join(self.me.name, *mine))
        if result is not None and not result.ok:
            self.note("join_refused", {"field": result.field, "error": result.why})

    async def remove_left(self) -> None:
        """Those that an operator took out of the copies' file are members no longer: one at each look, since
        a proposal may take its time, and leases do not wait."""
        for name in sorted(self.left & self.machine.state.copies.keys())[:1]:
            await propose(self.group, Leave(name))
        self.left -= self.left - self.machine.state.copies.keys()

    def change_voters(self, leading: bool) -> None:
        """One step towards the voters that an operator wants: those that are gone go first, since each that
        is added needs one more of the rest; then who is to come, then who else is to go. What was wanted
        counts until it is so, and not for ever: others may be wanted by then."""
        voters = set(self.group.status()["voters"])
        if not self.voters or self.voters == voters or time.monotonic() > self.voters_until:
            self.voters = frozenset()
            return
        surplus, alive = voters - self.voters, self.group.alive()
        steps = [(name, False) for name in sorted(surplus - alive)]
        steps += [(name, True) for name in sorted(self.voters - voters)]
        steps += [(name, False) for name in sorted(surplus & alive)]
        idle = self.changing is None or self.changing.done()
        if leading and idle and time.monotonic() >= self.vote_after:
            self.changing = asyncio.create_task(self._change(*steps[0]))  # leases are renewed meanwhile

    async def _change(self, name: str, votes: bool) -> None:
        outcome = await self.group.change(name, votes, CHANGE_TIMEOUT)
        if outcome.how != "agreed":
            self.vote_after = time.monotonic() + RETRY
        self.note(
            "voter_changed" if outcome.how == "agreed" else "voter_not_changed",
            {"copy": name, "votes": votes, "error": outcome.why},
        )
