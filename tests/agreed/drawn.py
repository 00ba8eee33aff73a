"""A drawn world of grants: six copies in three regions, two sources of epochs, and every message asked for everywhere."""

from __future__ import annotations

import random

import msgspec

from brassweir.agreed import commands
from brassweir.agreed.commands import Publish, encode
from brassweir.agreed.lease_renewal import LeaseRenewal, ProposeRenewal, RenewalInputs
from brassweir.agreed.machine import Machine
from brassweir.agreed.reconciliation import reconciled
from brassweir.interface import Effect
from brassweir.regions import planning
from brassweir.regions.epochs import PLACES, Epoch, EpochError
from brassweir.regions.ownership import Ownership
from brassweir.regions.planning import LossStatement
from brassweir.regions.sources import Source, publisher
from tests.agreed.drawn_copies import Site, Taken
from tests.regions.samples import ASSUMED, LEASE, REGIONS

NAMES = list(REGIONS)
ERROR = ASSUMED.clock_error_ms
EVENTS = (
    "renew renew renew renew renew desired raw raw raw raw read read read read read read step back restart older "
    "switch hand fork"
).split()


class World:
    """One run, from a seed. ``tape`` is what the judge reads."""

    def __init__(self, seed: int) -> None:
        self.draw = random.Random(seed)
        self.now, self.tape = 0.0, list[Taken]()
        self.machine = Machine()
        self.files = [planning.first_epoch(REGIONS, 0.0, LEASE)]
        self.log: list[Epoch] = []
        self.lost: set[str] = set()
        self.office = self.draw.uniform(-ERROR, ERROR)
        self.copies = [
            Site(name, Ownership(name, ASSUMED, self.files[0]), self.draw.uniform(-ERROR, ERROR))
            for name in NAMES
            for _ in range(2)
        ]
        for one in self.copies:
            one.wall(0.0)  # the clock is right when it is first read
        self.messages: dict[str, tuple[float, float | None]] = {}  # birth, and what its client says of it
        self.took: set[tuple[str, str]] = set()
        if self.draw.random() < 0.85:
            self.hand()

    def publish(self, epoch: Epoch, after: int, lost: str = "") -> None:
        try:
            command = encode(Publish(epoch, after, lost))
        except commands.CommandError:
            return  # too many ranges
        self.machine.apply(self.machine.state.index + 1, command)
        held = self.machine.state.epoch
        if held is not None and (not self.log or self.log[-1] != held):
            self.log.append(held)
            if publisher(held) is Source.FILE:
                self.files.append(held)  # head office goes on from what it was handed

    def known(self) -> Epoch:
        """The newest of both sources."""
        return max((self.files[-1], *self.log[-1:]), key=lambda one: (one.turn, one.number, one.issued))

    def hand(self) -> None:
        """Hand over to the other source."""
        if publisher(self.known()) is Source.FILE:
            made = planning.handed_over(self.known(), self.now + self.office)
            self.publish(made, self.machine.state.granted)
            if self.machine.state.epoch == made:
                self.files.append(made)
        else:
            self.publish(
                planning.handed_over(self.known(), self.now + self.office), self.machine.state.granted
            )

    def plan(self, base: Epoch, now: float) -> Epoch:
        """A move of a large range, or a region drained."""
        if self.draw.random() < 0.3:
            return planning.drained(base, self.draw.choice(NAMES), now, LEASE, ASSUMED).epoch
        low = self.draw.randrange(7) * (PLACES // 12)
        return planning.moved(
            base, low, low + PLACES // 2, self.draw.choice(NAMES), now, LEASE, ASSUMED
        ).epoch

    def change(self, what: str, copy: Site) -> None:
        """What a publisher does: head office by its file, or a copy (any may think that it leads) by the log."""
        draw, state, last = self.draw, self.machine.state, self.known()
        if publisher(last) is Source.FILE or state.epoch is None:
            now = self.now + self.office
            self.files.append(
                planning.renewed(last, now, LEASE, ASSUMED) if what == "renew" else self.plan(last, now)
            )
            return
        wall, trusted = copy.wall(self.now), copy.view.clock_trusted(copy.wall(self.now))
        if what == "renew":
            step = LeaseRenewal().step(
                self.now,
                RenewalInputs(
                    True, wall, trusted, state.epoch, state.granted, LEASE, ASSUMED, lost=frozenset(self.lost)
                ),
            )
            if isinstance(step, ProposeRenewal):
                self.publish(step.epoch, step.after)
            return
        base = draw.choice(
            [one for one in self.log[-12:] if one.issued < self.now - 9_000.0] or self.log[-3:]
        )  # a stale view
        made = self.plan(base, self.now + draw.choice((0.0, 0.0, -60_000.0)))
        if what == "desired" and trusted:  # planned anew by the copy
            made = msgspec.structs.replace(
                made, number=max(made.number, state.epoch.number + draw.randrange(2))
            )
            found = reconciled(made, state.epoch, wall, LEASE, ASSUMED)
            if found is not None:
                self.publish(found[0], state.granted, found[1] if found[1] in self.lost else "")
        elif (
            what == "raw"
        ):  # as it was planned: a sender of another making, or one that works from a stale state
            turn = state.epoch.turn + (draw.random() < 0.3)
            made = msgspec.structs.replace(
                made,
                turn=turn,
                number=state.epoch.number + draw.randrange(2),
                issued=max(made.issued, state.epoch.issued),
            )
            self.hear(2)
            self.publish(made, draw.choice((state.granted, state.granted, max(0, state.granted - 1))))
            self.hear(3)

    def hear(self, many: int) -> None:
        """Some copies are set to the right source, and hear of the newest."""
        for one in self.draw.sample(self.copies, many):
            one.source = publisher(self.known())
            one.learn(self.known())

    def lose(self) -> None:
        """A region is gone for good: its senders are stopped, its places taken over."""
        gone = self.draw.choice(NAMES)
        if self.lost or gone not in {one.region for one in self.known().grants}:
            return
        self.lost.add(gone)
        self.copies = [one for one in self.copies if one.region != gone]
        last = self.known()
        made = planning.taken_over(
            last, gone, self.now + self.office, LEASE, ASSUMED, LossStatement(True, True)
        ).epoch
        if publisher(last) is Source.FILE:
            self.files.append(made)
        else:
            self.publish(made, self.machine.state.granted, gone)

    def fork(self) -> None:
        """All have taken a hand-over to the log, and a head office of before goes on: renewals and moves from its state."""
        if publisher(self.known()) is Source.FILE:
            return
        for one in self.copies:
            one.source = Source.AGREED
            one.learn(self.known())
            if one.view.epoch != self.known():
                return
            one.durable = [self.known()]
        older = next((one for one in reversed(self.files) if publisher(one) is Source.FILE), self.files[0])
        wild = planning.renewed(older, self.now + self.office, LEASE, ASSUMED)
        wild = msgspec.structs.replace(
            wild, number=self.known().number + 1, issued=max(wild.issued, self.known().issued)
        )
        for one in self.draw.sample(self.copies, 2):
            one.source = Source.FILE
            one.learn(wild)

    def event(self) -> None:
        draw, what = self.draw, self.draw.choice(EVENTS)
        copy = draw.choice(self.copies)
        if what in ("renew", "desired", "raw"):
            self.change(what, copy)
        elif what == "read":
            for one in draw.sample(self.copies, 2):
                heard = self.files if one.source is Source.FILE else self.log
                if heard:
                    one.learn(heard[-1] if draw.random() < 0.7 else draw.choice(heard[-4:]))
        elif what == "step":
            copy.offset += draw.choice((-100_000.0, -40_000.0, -10_000.0, 10_000.0, 40_000.0, 100_000.0))
        elif what in ("back", "restart", "older"):  # its operator has looked at the clock
            copy.offset = draw.uniform(-ERROR, ERROR)
            copy.restart(
                copy.view.epoch if what != "older" or not copy.durable else draw.choice(copy.durable[-3:]),
                self.now,
            )
        elif what == "switch":
            right = publisher(self.known())
            for one in self.copies:
                if draw.random() < 0.7:
                    one.source = right
        elif what == "hand" and draw.random() < 0.3:
            self.hand()
        elif what == "fork":
            self.fork() if draw.random() < 0.7 else self.lose()

    def pass_on(self) -> None:
        """Time: often to just before or after where a grant begins or ends, on some clock."""
        edges = [
            edge + by
            for one in self.known().grants
            for edge in (one.begins, one.ends)
            for by in (-300.0, 0.0, 300.0, 700.0)
            if self.now < edge + by < self.now + 20_000.0
        ]
        self.now = (
            self.draw.choice(edges)
            if edges and self.draw.random() < 0.4
            else self.now + self.draw.uniform(0.0, 4_000.0)
        )

    def ask(self) -> None:
        """Each message that may be asked for, at each copy."""
        for _ in range(2):
            stamp = self.now + self.draw.uniform(-ERROR, ERROR) if self.draw.random() < 0.6 else None
            self.messages[f"m{len(self.messages)}"] = (self.now, stamp)
        for copy in self.copies:
            wall = copy.wall(self.now)
            for name, (born, stamp) in self.messages.items():
                if (
                    self.now <= born + ASSUMED.answer_window_ms
                    and (name, copy.region) not in self.took
                    and copy.view.refusal(Effect.UNSAFE, "c", name, wall, stamp) is None
                ):
                    self.took.add((name, copy.region))
                    self.tape.append((name, copy.region, self.now, self.now + ASSUMED.max_deadline_ms))


def run(seed: int, steps: int = 60) -> list[Taken]:
    """The tape of one run."""
    world = World(seed)
    for _ in range(steps):
        try:
            world.event()
        except EpochError:
            pass  # what cannot be planned is not
        world.pass_on()
        world.ask()
    return world.tape
