"""What a member knows while it runs, and how messages wait for what must be durable first. Pure."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from brassweir.agreed import timing
from brassweir.agreed.facts import Applied, How, Outcome, Post, Restored, Step, Told, Write
from brassweir.agreed.log import Log
from brassweir.agreed.messages import COMMAND, VERSION, Entry, Envelope, Message
from brassweir.agreed.records import Ack, Agreed, Ballot, Base, Cut, Kept, Record, Snapshot, learn
from brassweir.agreed.replica import Machine, Replica

LEARNER, FOLLOWER, ASKING, CANDIDATE, ELECTED, LEADER = (
    "learner",
    "follower",
    "asking",
    "candidate",
    "elected",
    "leader",
)


@dataclass
class Waiting:
    """What a write under way holds up: messages, and how far log and what is agreed are durable after it."""

    token: int
    last: int
    agreed: int
    posts: list[tuple[str, Message]] = field(default_factory=list)
    restore: Snapshot | None = None


class State:
    """All that a member knows; parts of the core add what they do with it."""

    snap_every, keep = timing.SNAP_EVERY, timing.KEEP
    term_start: int = 0  # index of the first entry of this leader's term

    def __init__(
        self, name: str, kept: Kept, machine: Machine, rng: Random, now: float, founders: tuple[str, ...] = ()
    ) -> None:
        """``kept`` is durable with its run already counted; ``rng`` draws waits and ids."""
        self.name, self.rng, self.now, self.founders = name, rng, now, founders
        self.identity = kept.identity
        self.term, self.vote = kept.ballot.term, kept.ballot.vote
        self.log = Log(kept.base, kept.entries)
        self.memory = dict(kept.memory)
        self.snap = kept.snapshot
        self.agreed = self.firm = kept.agreed  # known to be agreed; and durably known so
        self.durable = self.log.last  # last entry that is durable here
        self.replica = Replica(machine)
        self.applied = 0
        if kept.snapshot is not None:
            self.replica.restore(kept.snapshot.state)
            self.applied = kept.snapshot.index
        self.kept_term = self.term  # what the folder held at this start: its term, and of that term's entries
        self.kept_last = self.log.last if self.log.last_term == self.term else 0
        self.sure = kept.identity.life == 1  # nothing speaks against the folder
        self.role = LEARNER
        self.leader = ""
        self.elect_at = 0.0
        self.heard = -1e18  # when a leader was last heard
        self.names: tuple[str, ...] = tuple(name for name in founders if name != self.name)
        self.broken = ""
        self.out: list[Step] = []
        self.records: list[Record] = []
        self.whole = False
        self.after: list[tuple[str, Message]] = []
        self.restoring: Snapshot | None = None
        self.token = 0
        self.waiting: list[Waiting] = []
        self.ended: list[tuple[int, Entry]] = []
        self.dropped: dict[str, int] = {}

    # Who this is

    @property
    def votes(self) -> bool:
        """Does the log, as it is here, count this very member among the voters?"""
        return self.log.membership.has(self.name, self.identity.member)

    def voter(self, name: str, member: str) -> bool:
        """Is that a voter?"""
        return self.log.membership.has(name, member)

    def others(self) -> list[str]:
        """Names of the other voters."""
        return [name for name in self.log.membership.names() if name != self.name]

    # Messages, and what must be durable before them

    def post(self, to: str, message: Message) -> None:
        """Send at once: nothing in it rests on what is not durable."""
        mine = self.identity
        self.out.append(Post(to, Envelope(VERSION, mine.group, mine.member, mine.life, mine.nonce, message)))

    def post_after(self, to: str, message: Message) -> None:
        """Send, or if it is to this member take in, once all that was written up to now is durable."""
        self.after.append((to, message))

    def rest(self) -> None:
        """Wait anew before asking for votes."""
        lone = self.log.membership.names() == [self.name]
        self.elect_at = self.now + timing.ELECT * (0.1 if lone else 1.0 + self.rng.random())

    def write(self, record: Record) -> None:
        """Make it durable."""
        self.records.append(record)

    def write_ballot(self, term: int, vote: str) -> None:
        """Go to a term, or vote in it."""
        self.term, self.vote = term, vote
        self.write(Ballot(term, vote))

    def cut(self, index: int) -> None:
        """Drop entries that another leader's log does not have."""
        if index <= self.agreed:
            raise AssertionError(f"entry {index} is agreed and another is to take its place")
        self.log.cut(index)
        self.write(Cut(index))
        self.durable = min(self.durable, index - 1)
        for waiting in self.waiting:
            waiting.last = min(waiting.last, index - 1)

    def remember(self, ack: Ack) -> None:
        """That member had so much; what it had in one run only grows."""
        if ack[0] != self.identity.member:
            learn(self.memory, ack)

    def ack_of(self, member: str, life: int, nonce: int, index: int) -> Ack:
        """What a member has of this leader's term; of older terms' entries a stale log may have as many."""
        return member, life, nonce, self.term, index if index >= self.term_start else 0

    def flush(self) -> None:
        """Turn what was collected into one write; give out what waits for none."""
        if self.records or self.whole:
            self.token += 1
            records = self.image().records() if self.whole else self.records
            self.out.append(Write(self.token, tuple(records), self.whole))
            self.waiting.append(Waiting(self.token, self.log.last, self.agreed, self.after, self.restoring))
            self.records, self.whole, self.after, self.restoring = [], False, [], None
        elif self.waiting:
            self.waiting[-1].posts += self.after
            self.after = []
        else:
            posts, self.after = self.after, []
            for to, message in posts:
                self.deliver(to, message)

    def image(self) -> Kept:
        """All that must be on disk."""
        return Kept(
            self.identity,
            Ballot(self.term, self.vote),
            self.log.base,
            list(self.log.entries),
            self.agreed,
            self.snap,
            dict(self.memory),
        )

    # What is agreed, and what comes of it

    def agree(self, index: int, acks: tuple[Ack, ...] = ()) -> None:
        """All up to ``index`` is agreed. It takes effect here once that is durable, so it never goes back."""
        if index > self.agreed:
            self.agreed = index
            self.write(Agreed(index, acks))

    def apply(self) -> None:
        """Carry out what is durably agreed."""
        while self.log.base.index <= self.applied < self.firm:  # below the base: a snapshot is being written
            self.applied += 1
            entry = self.log.get(self.applied)
            self.ended.append((self.applied, entry))
            if entry.kind == COMMAND:
                self.carry_out(entry)
            # looked at after each entry, so that all copies take their snapshots at the same places
            if self.applied - (self.snap.index if self.snap else 0) >= self.snap_every:
                self.take_snapshot()

    def carry_out(self, entry: Entry) -> None:
        """A command takes effect, unless it did before."""
        done = self.replica.apply(entry)
        if done is not None and done[2]:
            self.out.append(Applied(entry.index, entry.data, done[1]))
        self.came(entry, done)

    def came(self, entry: Entry, done: tuple[int, bytes, bool] | None) -> None:
        """An entry took effect: tell whoever waits for it."""

    def take_snapshot(self) -> None:
        """Fold what was applied into one state, and forget old entries."""
        at, membership = self.log.membership_by(self.applied)
        term = self.log.term(self.applied)
        assert term is not None
        self.snap = Snapshot(self.applied, term, membership, at, self.replica.snapshot())
        if self.applied - self.keep > self.log.base.index:
            self.log.begin_at(self.applied - self.keep)
        self.whole = True

    def install(self, snap: Snapshot) -> None:
        """Take a snapshot of what is agreed in place of the log up to it. An older one is passed over."""
        if snap.index <= self.agreed:
            return
        if self.log.term(snap.index) == snap.term:
            self.log.begin_at(snap.index)
        else:
            self.log = Log(Base(snap.index, snap.term, snap.membership, snap.membership_at), [])
            self.durable = min(self.durable, snap.index)  # what lay behind it here is gone
            for waiting in self.waiting:
                waiting.last = min(waiting.last, snap.index)
        self.snap, self.restoring, self.whole = snap, snap, True
        self.agreed = snap.index

    def written(self, token: int) -> None:
        """Writes up to this one are durable."""
        while self.waiting and self.waiting[0].token <= token:
            done = self.waiting.pop(0)
            self.durable = max(self.durable, done.last)
            if done.restore is not None and done.restore.index > self.applied:
                self.replica.restore(done.restore.state)
                self.applied = done.restore.index
                self.out.append(Restored(self.applied))
            self.firm = max(self.firm, done.agreed)
            for to, message in done.posts:
                self.deliver(to, message)

    def deliver(self, to: str, message: Message) -> None:
        """Send it, or take it in if it is to this member."""
        if to == self.name:
            self.own(message)
        else:
            self.post(to, message)

    def own(self, message: Message) -> None:
        """A message of this member to itself, held back until it was durable."""

    def tell(self, ticket: int, how: How, index: int = 0, result: bytes = b"", why: str = "") -> None:
        """End what was asked for."""
        self.out.append(Told(ticket, Outcome(how, index, result, why)))

    def count(self, what: str) -> None:
        """Count what was dropped."""
        self.dropped[what] = self.dropped.get(what, 0) + 1
