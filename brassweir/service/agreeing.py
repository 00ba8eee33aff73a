"""What this copy does with the agreed log: joins, proposes what operators wish, renews while it leads, and
feeds its own ownership."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any, Protocol

from brassweir.agreed import commands
from brassweir.agreed.commands import Command, CommandError, Join, Leave, Publish, Result
from brassweir.agreed.contents import lost_regions
from brassweir.agreed.machine import Machine
from brassweir.agreed.reconciliation import proposal, recent
from brassweir.agreed.renewing import Facts, GiveAway, Renew, Renewing
from brassweir.config.model import CopyModel
from brassweir.regions.epochs import Epoch, EpochError, follows, parse
from brassweir.service.regionlog import RegionLog

LOOK = 0.1  # seconds between two looks: well within a tenth of the shortest lease
PROPOSING = 3000.0  # ms until a proposal counts as unknown: a new leader is there by then
JOIN_AGAIN = 5.0  # seconds between two tries to join, or to change a voter
CHANGING = 60_000.0  # ms for one change of a voter: it has to have the whole log first
VOTERS_FOR = 600.0  # seconds that other voters are wanted for, so that all copies can be told
WISH_FOR = 15.0  # seconds that an operator's wish is tried for, until it is told as not done

Note = Callable[[str, dict[str, object]], None]


class Told(Protocol):
    """How a proposal ended."""

    @property
    def how(self) -> str: ...
    @property
    def index(self) -> int: ...
    @property
    def result(self) -> bytes: ...
    @property
    def why(self) -> str: ...


class Group(Protocol):
    """What is needed of the member."""

    async def propose(self, command: bytes, timeout_ms: float) -> Told:
        """Agree on a command."""

    def status(self) -> Mapping[str, Any]:
        """Role, term, leader, commit, applied, voters, learners."""

    def hand_over(self) -> None:
        """Let another lead, if this one does."""

    def alive(self) -> frozenset[str]:
        """Copies that are thought to be there, this one among them."""

    def give_up(self) -> None:
        """Follow no further: this version cannot."""

    async def change(self, name: str, votes: bool, timeout_ms: float) -> Told:
        """Let a copy vote, or no longer; for the leader only."""


class Agreeing:
    """One copy's dealings with the log. ``region`` is there where epochs come from it."""

    def __init__(
        self,
        me: CopyModel,
        machine: Machine,
        group: Group,
        region: RegionLog | None,
        lease: float,
        first: Path | None,
        note: Note,
    ) -> None:
        self.me, self.machine, self.group, self.region = me, machine, group, region
        self.lease, self.first, self.note = lease, first, note
        self.renewing = Renewing()
        self.wish: Epoch | None = None
        self.wish_until = 0.0
        self.asked = False  # by an operator, and not by this copy's own start
        self.join_after = self.vote_after = 0.0
        self.joined = False
        self.changing: asyncio.Task[None] | None = None
        self.voters: frozenset[str] = frozenset()  # as an operator wants them; empty: as they are
        self.voters_until = 0.0
        self.left: set[str] = set()  # taken out of the copies' file, and members still
        self.said = self.refused = ""

    def hear(self) -> None:
        """The machine has changed, or may have."""
        if self.region is not None:
            self.region.applied(self.machine.state.epoch)
        if self.machine.beyond and self.said != self.machine.beyond:
            self.said = self.machine.beyond
            self.note("agreed_beyond", {"error": self.said})
            self.group.give_up()

    def want_voters(self, names: frozenset[str]) -> None:
        """An operator wants these to vote."""
        self.voters, self.voters_until = names, time.monotonic() + VOTERS_FOR

    def read_wish(self, asked: bool) -> None:
        """Read the file of the first, or the next, epoch; at start, and when an operator asks."""
        if self.first is None:
            return
        try:
            self.wish = parse(self.first.read_bytes())
        except (OSError, EpochError) as error:
            self.note("wish_refused", {"path": str(self.first), "error": str(error)})
            return
        self.asked, self.wish_until = asked, time.monotonic() + WISH_FOR

    async def run(self) -> None:
        """Go on for ever."""
        while True:
            await asyncio.sleep(LOOK)
            self.hear()  # nothing may have been applied, and a disk may have room again
            leader = self.group.status()["leader"]
            if leader and not self.machine.beyond:
                await self._renew(leader == self.me.name)
                await self._join()
                await self._leave()
                self._vote(leader == self.me.name)
                await self._wish(leader == self.me.name)
            if self.wish is not None and self.asked and time.monotonic() > self.wish_until:
                self._wish_over("wish_refused", self.wish, "no answer in time; it may still come")

    async def _propose(self, command: Command) -> Result | None:
        """The result of a command; None if it is not known, or was not taken."""
        try:
            told = await self.group.propose(commands.encode(command), PROPOSING)
        except CommandError as error:
            return Result(False, 0, "command", str(error))
        if told.how != "agreed":
            return None
        return commands.result(told.result)

    async def _join(self) -> None:
        there = self.machine.state.copies.get(self.me.name)
        mine = (self.me.site, self.me.region, self.machine.level)
        if there is not None:
            self.joined = True
        if there is not None and (there.site, there.region, there.reads) == mine:
            return
        if there is None and self.joined:
            return  # it was told to leave: a restart joins anew
        if time.monotonic() < self.join_after:
            return
        self.join_after = time.monotonic() + JOIN_AGAIN
        result = await self._propose(Join(self.me.name, *mine))
        if result is not None and not result.ok:
            self.note("join_refused", {"field": result.field, "error": result.why})

    async def _leave(self) -> None:
        """Those that an operator took out of the copies' file are members no longer: one at each look, since
        a proposal may take its time, and leases do not wait."""
        for name in sorted(self.left & self.machine.state.copies.keys())[:1]:
            await self._propose(Leave(name))
        self.left -= self.left - self.machine.state.copies.keys()

    def _vote(self, leading: bool) -> None:
        """One step towards the voters that an operator wants: those that are gone go first, since each that
        is added needs one more of the rest; then who is to come, then who else is to go. What was wanted
        counts until it is so, and not for ever: others may be wanted by then."""
        there = set(self.group.status()["voters"])
        if not self.voters or self.voters == there or time.monotonic() > self.voters_until:
            self.voters = frozenset()
            return
        off, alive = there - self.voters, self.group.alive()
        steps = [(name, False) for name in sorted(off - alive)]
        steps += [(name, True) for name in sorted(self.voters - there)]
        steps += [(name, False) for name in sorted(off & alive)]
        idle = self.changing is None or self.changing.done()
        if leading and idle and time.monotonic() >= self.vote_after:
            self.changing = asyncio.create_task(self._change(*steps[0]))  # leases are renewed meanwhile

    async def _change(self, name: str, votes: bool) -> None:
        told = await self.group.change(name, votes, CHANGING)
        if told.how != "agreed":
            self.vote_after = time.monotonic() + JOIN_AGAIN
        self.note(
            "voter_changed" if told.how == "agreed" else "voter_not_changed",
            {"copy": name, "votes": votes, "error": told.why},
        )

    async def _wish(self, leading: bool) -> None:
        wish, there = self.wish, self.machine.state.epoch
        if wish is None or self.region is None:
            return
        if not self.asked and (there is not None or not leading):
            # The first epoch is for a log that holds none, and for its leader to propose.
            self.wish = None if there is not None else wish
            return
        wall = self.region.wall()
        if not self.region.own.trusted(wall):
            self._wish_over("wish_refused", wish, "this copy does not trust its clock")
            return
        granted = self.machine.state.granted
        try:
            known = self.region.own.epoch
            if there is None and known is not None:
                follows(wish, known)  # a log founded anew must not go back behind what copies know
            if there is None and not self.asked:
                recent(wish, wall)
            planned = proposal(wish, there, wall, self.lease, self.region.own.assumed)
        except EpochError as error:
            self._wish_over("wish_refused", wish, str(error))
            return
        if planned is None:
            self._wish_over("wish_known", wish, "")
            return
        epoch, lost = planned
        result = await self._propose(Publish(epoch, granted, lost))
        if result is not None and result.ok:
            self._wish_over("wish_agreed", wish, "")
        elif result is not None and result.field != "after":
            self._wish_over("wish_refused", wish, f"{result.field}: {result.why}")

    def _wish_over(self, event: str, wish: Epoch, error: str) -> None:
        if self.wish is wish:
            self.wish = None
        self.note(event, {"path": str(self.first), "number": wish.number, "error": error})

    async def _renew(self, leading: bool) -> None:
        if self.region is None:
            return
        state, wall, own = self.machine.state, self.region.wall(), self.region.own
        step = self.renewing.step(
            time.monotonic() * 1000.0,
            Facts(
                leading,
                wall,
                own.trusted(wall),
                state.epoch,
                state.granted,
                self.lease,
                own.assumed,
                self.wish is not None,
                lost_regions(state) if leading else frozenset(),
            ),
        )
        if isinstance(step, GiveAway):
            self.note("lead_given_away", {"why": step.why})
            self.group.hand_over()
        elif isinstance(step, Renew):
            result = await self._propose(Publish(step.epoch, step.after))
            error = f"{result.field}: {result.why}" if result and result.field not in ("", "after") else ""
            if error != self.refused:
                self.refused = error  # complained of once
                if error:
                    self.note("renewal_refused", {"error": error})

    def state(self) -> dict[str, Any]:
        """What operators are shown."""
        state = self.machine.state
        epoch = state.epoch
        return {
            **self.group.status(),
            "level": state.level,
            "index": state.index,
            "digest": self.machine.digest(),
            "beyond": self.machine.beyond,
            "granted": state.granted,
            "epoch": None
            if epoch is None
            else {"number": epoch.number, "issued": epoch.issued, "turn": epoch.turn},
            "members": {
                name: {"site": one.site, "region": one.region, "reads": one.reads}
                for name, one in sorted(state.copies.items())
            },
            "sites": {
                name: {"standing": one.standing, "since": one.since, "by": one.by, "version": one.version}
                for name, one in sorted(state.sites.items())
            },
            "pins": self.machine.pins,
            "wish_waiting": self.wish is not None,
        }
