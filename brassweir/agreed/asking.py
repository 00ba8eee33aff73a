"""What this copy asks the group: proposals that take effect once however often sent, and current reads. Pure.

A proposal is named by session and number. Whoever leads puts it into the log; the copy that proposed learns
of its end from the log itself. So an answer is never lost, only late, and a repeated one takes effect once.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from brassweir.agreed import timing
from brassweir.agreed.facts import How, Propose, Read
from brassweir.agreed.learners import Learners
from brassweir.agreed.messages import COMMAND, AskRead, Entry, Forward, ReadAt
from brassweir.agreed.state import LEADER


@dataclass
class Open:
    """A proposal that has not ended."""

    fact: Propose
    again: float
    sent: bool = False  # from here on it may come into a log somewhere
    sent_to: str = ""  # the leader that it was brought to last
    span: float = timing.RETRY  # ms until it is brought to the same leader again


@dataclass
class Reading:
    """A read that waits: for an index, then until that is applied."""

    ticket: int  # the asker's
    until: float
    again: float
    index: int = -1


@dataclass
class Confirm:
    """A leader's promise to find out whether it still leads, for some asker's read."""

    asker: str
    ask: int
    index: int
    round: int
    until: float


@dataclass
class Repeat:
    """How long a leader keeps repeats of a proposal out of its log.

    A copy that is slow to learn what came of its proposal repeats it, and each repeat in the log goes to all
    copies. It is let in now and then, as the copy may have passed over the entry by a snapshot.
    """

    until: float
    span: float


@dataclass
class Asked:
    """What this copy has asked for."""

    session: str  # of this run; another one once the group forgot it
    seq: int = 0
    known: bool = False  # an entry of it took effect: until then it tells that it begins
    open: dict[int, Open] = field(default_factory=dict)
    reads: list[Reading] = field(default_factory=list)


class Asking(Learners):
    """Proposals and reads of this copy, and what a leader does with those of others."""

    asked: Asked
    confirms: list[Confirm]
    beat_at: float
    repeats: dict[tuple[str, int], Repeat]  # of proposals that this leader put into its log lately

    def lead(self) -> None:
        """Nothing was put into the log in this term."""
        self.repeats = {}
        super().lead()

    # Proposals

    def on_propose(self, fact: Propose) -> None:
        """Take one on."""
        if len(fact.command) > timing.MOST_COMMAND:
            why = f"a command of {len(fact.command)} bytes; at most {timing.MOST_COMMAND} fit a message"
            self.tell(fact.ticket, How.REFUSED, why=why)
        elif len(self.asked.open) >= timing.MOST_OPEN:
            self.tell(fact.ticket, How.REFUSED, why=f"{timing.MOST_OPEN} proposals of this copy wait")
        else:
            self.asked.seq += 1
            self.asked.open[self.asked.seq] = Open(fact, self.now)
            self.try_open(self.asked.seq)

    def try_open(self, seq: int) -> None:
        """Bring it to the leader, if one is known."""
        waiting = self.asked.open[seq]
        if self.leader != waiting.sent_to:
            waiting.span = timing.RETRY
        waiting.again, waiting.sent_to = self.now + waiting.span, self.leader
        waiting.span = min(timing.RETRY_MOST, 2.0 * waiting.span) if self.leader else timing.RETRY
        low = min(self.asked.open) if self.asked.known else 1
        if self.role == LEADER:
            waiting.sent = True
            self.take_proposal(self.asked.session, seq, low, waiting.fact.command)
        elif self.leader and self.leader != self.name:
            waiting.sent = True
            self.post(self.leader, Forward(self.asked.session, seq, low, waiting.fact.command))

    def take_proposal(self, session: str, seq: int, low: int, command: bytes) -> None:
        """A leader puts it into the log, unless it stands there without effect, or came there lately."""
        key = (session, seq)
        if key in self.queued or self.log.last - self.agreed >= timing.MOST_UNAGREED:
            return
        repeat = self.repeats.pop(key, None)
        if repeat is not None and self.now < repeat.until:
            self.repeats[key] = repeat
            return
        span = timing.PUT_AGAIN if repeat is None else 2.0 * repeat.span
        self.repeats[key] = Repeat(self.now + span, span)
        while len(self.repeats) > timing.MOST_REPEATS:
            del self.repeats[next(iter(self.repeats))]
        self.add_entry(COMMAND, command, session, seq, low)

    def on_forward(self, sender: str, message: Forward) -> None:
        """Take another copy's proposal, or pass it on."""
        if len(message.command) > timing.MOST_COMMAND:
            self.count("forward too large")
        elif self.role == LEADER:
            self.take_proposal(message.session, message.seq, message.low, message.command)
        elif self.leader not in ("", self.name, sender) and message.hops < 2:
            self.post(self.leader, msgspec.structs.replace(message, hops=message.hops + 1))

    def came(self, entry: Entry, done: tuple[int, bytes, bool] | None) -> None:
        """An entry took effect: tell whoever waits for it."""
        self.queued.pop((entry.session, entry.seq), None)
        if entry.session != self.asked.session:
            return
        self.asked.known = self.asked.known or done is not None
        if entry.seq not in self.asked.open:
            return
        waiting = self.asked.open.pop(entry.seq)
        if done is None:
            self.tell(waiting.fact.ticket, How.UNKNOWN, why="the group no longer knows this copy's session")
            self.new_session()
        else:
            self.tell(waiting.fact.ticket, How.AGREED, done[0], done[1])

    def new_session(self) -> None:
        """All that waits under the old name ends unknown."""
        for waiting in self.asked.open.values():
            how = How.UNKNOWN if waiting.sent else How.REFUSED
            self.tell(waiting.fact.ticket, how, why="the group no longer knows this copy's session")
        self.asked = Asked(f"{self.rng.getrandbits(64):016x}", reads=self.asked.reads)

    def tend_open(self) -> None:
        """Try again, or give up at their time."""
        for seq, waiting in list(self.asked.open.items()):
            if self.now >= waiting.fact.until:
                del self.asked.open[seq]
                if waiting.sent:
                    self.tell(waiting.fact.ticket, How.UNKNOWN, why="not agreed in time; it may still come")
                else:
                    self.tell(waiting.fact.ticket, How.REFUSED, why="no leader is known")
            elif self.now >= waiting.again or self.leader not in ("", waiting.sent_to):
                self.try_open(seq)

    # Reads

    def on_read(self, fact: Read) -> None:
        """Find the index that a current read needs."""
        self.asked.reads.append(Reading(fact.ticket, fact.until, self.now))
        self.tend_reads()

    def tend_reads(self) -> None:
        """Ask, give up, and tell those whose index is applied."""
        for reading in list(self.asked.reads):
            if 0 <= reading.index <= self.applied:
                self.asked.reads.remove(reading)
                self.tell(reading.ticket, How.AGREED, self.applied)
            elif self.now >= reading.until:
                self.asked.reads.remove(reading)
                self.tell(reading.ticket, How.REFUSED, why="no leader answered in time")
            elif reading.index < 0 and self.now >= reading.again:
                reading.again = self.now + timing.RETRY
                if self.role == LEADER:
                    self.on_ask_read(self.name, AskRead(self.ask_of(reading)))
                elif self.leader and self.leader != self.name:
                    self.post(self.leader, AskRead(self.ask_of(reading)))

    def ask_of(self, reading: Reading) -> int:
        """A number that no other run of this copy uses: an answer to an earlier run's question is too old."""
        return self.identity.nonce << 20 | reading.ticket & 0xFFFFF

    def on_ask_read(self, sender: str, message: AskRead) -> None:
        """A leader that has agreed on an entry of its own term asks a quorum whether it still leads."""
        if self.role == LEADER and self.agreed >= self.term_start:
            self.confirms = [confirm for confirm in self.confirms if confirm.until > self.now][-1_000:]
            until = self.now + timing.ELECT
            self.confirms.append(Confirm(sender, message.ask, self.agreed, self.round + 1, until))
            self.beat_at = self.now

    def confirm(self) -> None:
        """Answer reads whose round a quorum has answered."""
        if not self.confirms:
            return
        voters = self.log.membership.voters
        rounds = sorted((self.round_of(name, member) for name, member in voters), reverse=True)
        answered = rounds[self.log.membership.quorum - 1]
        for confirm in [confirm for confirm in self.confirms if confirm.round <= answered]:
            self.confirms.remove(confirm)
            self.deliver(confirm.asker, ReadAt(confirm.ask, confirm.index))

    def round_of(self, name: str, member: str) -> int:
        """The latest round a voter answered in this term."""
        if (name, member) == (self.name, self.identity.member):
            return self.round
        p = self.progress.get(name)
        return p.round if p is not None and p.member == member else 0

    def on_read_at(self, message: ReadAt) -> None:
        """The answer. Once that is applied, so is all that was told before the question."""
        for reading in self.asked.reads:
            if self.ask_of(reading) == message.ask and reading.index < 0:
                reading.index = message.index
