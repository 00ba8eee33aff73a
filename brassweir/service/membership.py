"""Membership of the agreed log: this copy joins it, and operators' changes of members and voters are made."""

from __future__ import annotations

import asyncio
import time

from brassweir.agreed.commands import Join, Leave
from brassweir.agreed.machine import Machine
from brassweir.config.model import CopyModel
from brassweir.service.log_member import LogMember, Note, propose

RETRY_SECONDS = 5.0  # between attempts to join or to change a voter
CHANGE_TIMEOUT_MS = 60_000.0  # a new voter copies the full log first
VOTERS_TIMEOUT_SECONDS = 600.0  # time to reload all copies' settings


class Membership:
    """This copy's own membership, and the changes of members and voters that its settings ask for."""

    def __init__(self, me: CopyModel, machine: Machine, member: LogMember, note: Note) -> None:
        self.me, self.machine, self.member, self.note = me, machine, member, note
        self.join_after = self.vote_after = 0.0
        self.joined = False
        self.changing: asyncio.Task[None] | None = None
        self.voters: frozenset[str] = frozenset()  # as the settings ask for; empty: no change
        self.voters_until = 0.0
        self.to_remove: set[str] = set()  # removed from the copies' file, still members

    def want_voters(self, names: frozenset[str]) -> None:
        """Ask for this set of voters, for a limited time."""
        self.voters, self.voters_until = names, time.monotonic() + VOTERS_TIMEOUT_SECONDS

    async def join(self) -> None:
        """Propose this copy as a member, or update its site, region or version in the log.

        A copy that the log has removed does not join again before a restart.
        """
        member = self.machine.state.copies.get(self.me.name)
        attributes = (self.me.site, self.me.region, self.machine.level)
        if member is not None:
            self.joined = True
        if member is not None and (member.site, member.region, member.reads) == attributes:
            return
        if member is None and self.joined:
            return
        if time.monotonic() < self.join_after:
            return
        self.join_after = time.monotonic() + RETRY_SECONDS
        result = await propose(self.member, Join(self.me.name, *attributes))
        if result is not None and not result.ok:
            self.note("join_refused", {"field": result.field, "error": result.why})

    async def remove_left(self) -> None:
        """Remove one member that is no longer in the copies' file.

        Only one at each check: a proposal may block for its whole timeout, and lease renewal must not wait.
        """
        for name in sorted(self.to_remove & self.machine.state.copies.keys())[:1]:
            await propose(self.member, Leave(name))
        self.to_remove -= self.to_remove - self.machine.state.copies.keys()

    def change_voters(self, leading: bool) -> None:
        """Start one step towards the voters asked for, if this copy leads and no step is running.

        Dead voters are removed first, because each voter added raises the quorum; then voters are added, then
        the live surplus is removed. The request ends when it is reached or has timed out.
        """
        voters = set(self.member.status()["voters"])
        if not self.voters or self.voters == voters or time.monotonic() > self.voters_until:
            self.voters = frozenset()
            return
        surplus, alive = voters - self.voters, self.member.alive()
        steps = [(name, False) for name in sorted(surplus - alive)]
        steps += [(name, True) for name in sorted(self.voters - voters)]
        steps += [(name, False) for name in sorted(surplus & alive)]
        no_change_running = self.changing is None or self.changing.done()
        if leading and no_change_running and time.monotonic() >= self.vote_after:
            self.changing = asyncio.create_task(
                self._change(*steps[0])
            )  # not awaited: leases are renewed meanwhile

    async def _change(self, name: str, votes: bool) -> None:
        outcome = await self.member.change(name, votes, CHANGE_TIMEOUT_MS)
        if outcome.how != "agreed":
            self.vote_after = time.monotonic() + RETRY_SECONDS
        self.note(
            "voter_changed" if outcome.how == "agreed" else "voter_not_changed",
            {"copy": name, "votes": votes, "error": outcome.why},
        )
