"""The agreed log's core: facts and the time in, steps out. Pure; each part of it is a class it is built of.

State and what waits for durability < following < replication < elections < identity < feeding < fetching <
learners < asking < changes < Core.
"""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

from brassweir.agreed import messages as m
from brassweir.agreed import timing
from brassweir.agreed.asking import Asked
from brassweir.agreed.changes import Changes
from brassweir.agreed.facts import (
    Change,
    Copies,
    Fact,
    How,
    Late,
    Leave,
    Propose,
    Read,
    Received,
    Step,
    WakeAt,
    WriteFailed,
    Written,
)
from brassweir.agreed.pacing import Pacing
from brassweir.agreed.records import Kept
from brassweir.agreed.reordering import Reordering
from brassweir.agreed.replica import Machine
from brassweir.agreed.state import ASKING, CANDIDATE, LEADER

LEADERS = (m.Append, m.Offer, m.Feed, m.Full)  # messages by which a copy without a group learns of it


class Core(Changes):
    """One member."""

    def __init__(
        self, name: str, kept: Kept, machine: Machine, rng: Random, now: float, founders: tuple[str, ...] = ()
    ) -> None:
        """``kept``: what is durable, this run counted in it; ``founders``: who founds a group that is new."""
        super().__init__(name, kept, machine, rng, now, founders)
        self.progress, self.queued = {}, {}
        self.granted = set()
        self.rest()
        self.hello_at = self.hello_until = self.found_at = 0.0
        self.agreeing, self.fresh = {}, {}
        self.children, self.sending, self.pacing = {}, {}, Pacing()
        self.silent = {}
        self.ahead, self.early = Reordering(timing.WINDOW), Reordering(2 * timing.FEEDS)
        self.since, self.pull_at = now, now
        self.asked, self.confirms = Asked(f"{rng.getrandbits(64):016x}"), []
        self.wanted, self.changing, self.strangers, self.readmitted = [], {}, {}, {}
        self.beat_at = now
        self.stepped = now
        self.follow(self.term, "")

    def step(self, now: float, facts: Iterable[Fact] = ()) -> list[Step]:
        """Time and facts in, steps out. Raises nothing for whatever comes from the network."""
        if self.broken:
            return []
        gap, self.stepped, self.now = now - self.stepped, now, max(now, self.now)
        if gap > timing.STALL and self.votes:
            self.stalled()
        for fact in facts:
            self.take_fact(fact)
            if self.broken:
                out, self.out = self.out, []
                return out
        self.tend()
        while self.records or self.whole or self.after:
            self.flush()
        out, self.out = self.out, []
        out.append(WakeAt(self.next_time()))
        return out

    def take_fact(self, fact: Fact) -> None:
        """One fact."""
        match fact:
            case Received():
                self.receive(fact.sender, fact.envelope)
            case Written():
                self.written(fact.token)
                if self.role == LEADER:
                    self.count_agreed()
            case WriteFailed():
                self.break_down(fact.why)
            case Propose():
                self.on_propose(fact)
            case Read():
                self.on_read(fact)
            case Change():
                self.on_change(fact)
            case Late():
                if fact.ms > timing.STALL:
                    self.stalled()
            case Copies():
                self.names = fact.names
            case Leave():
                self.leave()

    def tend(self) -> None:
        """What time and news make due."""
        self.tend_founding()
        self.tend_hello()
        self.tend_election()
        self.tend_pull()
        self.tend_fetch()
        self.tend_open()
        self.tend_changes()
        if self.role == LEADER:
            if self.now >= self.beat_at:
                self.beat_at = self.now + timing.BEAT
                self.beat()
                self.confirm()
            self.count_agreed()
        self.apply()
        self.changed()
        self.tend_reads()
        if self.role == LEADER:
            self.send_news()
        self.feed_news()
        self.tend_chunks()

    def next_time(self) -> float:
        """When time makes something due."""
        times = [self.now + timing.PULL]
        if self.role == LEADER:
            times.append(self.beat_at)
        elif self.votes:  # a longer sleep would be taken for a stall
            times += [self.elect_at, self.now + timing.STALL / 2.0]
            if self.role in (ASKING, CANDIDATE):
                times.append(self.ask_at)
        if self.to_be_weighed():
            times.append(self.hello_at)
        if not self.identity.group and self.founders[:1] == (self.name,):
            times.append(self.found_at)
        if self.fetch is not None:
            times.append(self.fetch.at)
        times += [self.pull_at, self.pacing.next_time()]
        times += [min(waiting.again, waiting.fact.until) for waiting in self.asked.open.values()]
        times += [min(reading.again, reading.until) for reading in self.asked.reads]
        return max(self.now + 1.0, min(times))

    def break_down(self, why: str) -> None:
        """A write failed: nothing more is told or promised until a new start from the folder."""
        self.deposed()
        for waiting in self.asked.open.values():
            how = How.UNKNOWN if waiting.sent else How.REFUSED
            self.tell(waiting.fact.ticket, how, why=f"the folder cannot be written: {why}")
        for reading in self.asked.reads:
            self.tell(reading.ticket, How.REFUSED, why=f"the folder cannot be written: {why}")
        self.broken = why

    def own(self, message: m.Message) -> None:
        """A message of this member to itself, held back until it was durable."""
        match message:
            case m.Vote():
                self.on_vote(self.name, self.identity.member, message)
            case m.TakeOver():
                self.on_take_over(self.name, message)
            case m.ReadAt():
                self.on_read_at(message)

    def receive(self, sender: str, envelope: m.Envelope) -> None:
        """One message: of this group, and of a member's latest run, or it is dropped."""
        message = envelope.body
        if sender == self.name or envelope.life < 1:
            self.count("impossible sender")
            return
        match message:  # these pass between members that have no group, or not the same
            case m.AskFound():
                return self.on_ask_found(sender, envelope, message)
            case m.NewHere():
                return self.on_new_here(sender, envelope, message)
            case m.Pull():
                return self.on_pull(sender, message) if envelope.group in ("", self.identity.group) else None
        if not self.identity.group and envelope.group and isinstance(message, LEADERS):
            self.take_identity(self.identity.member, envelope.group)
        if not envelope.group or envelope.group != self.identity.group:
            self.count("another group")
            return
        if isinstance(message, m.Hello):
            return self.on_hello(sender, envelope, message)
        if isinstance(message, m.Appended):
            self.note_stranger(sender, envelope.member)
        if envelope.member in self.memory or self.voter(sender, envelope.member):
            if not self.note_run(sender, envelope):
                self.count("an earlier run")
                return
        self.receive_known(sender, envelope.member, message)

    def receive_known(self, sender: str, member: str, message: m.Message) -> None:
        """A message of the group."""
        match message:
            case m.AskVote():
                self.on_ask_vote(sender, member, message)
            case m.Vote():
                self.on_vote(sender, member, message)
            case m.Append() if message.term >= self.term and not self.log.fits(
                self.agreed, message.prev, message.prev_term, message.entries
            ):
                self.count("a leader of the past")  # agreed entries of a later term came here by a feeder
            case m.Append():
                self.on_append(sender, message)
            case m.Appended():
                self.on_appended(sender, member, message)
                self.confirm()
            case m.Forward():
                self.on_forward(sender, message)
            case m.Feed():
                self.on_feed(sender, message)
            case m.Full():
                self.on_full(sender, message)
            case m.Offer():
                self.on_offer(sender, message)
            case m.AskChunk():
                self.on_ask_chunk(sender, message)
            case m.Chunk():
                self.on_chunk(sender, message)
            case m.Remembered():
                self.on_remembered(sender, member, message)
            case m.TakeOver():
                self.on_take_over(sender, message)
            case m.AskRead():
                self.on_ask_read(sender, message)
            case m.ReadAt():
                self.on_read_at(message)
