"""Raft's log replication: the leader's side, what a follower takes, and when an entry is agreed. Pure."""

from __future__ import annotations

import google_crc32c
import msgspec

from brassweir.agreed import timing
from brassweir.agreed.messages import COMMAND, Append, Appended, Entry, Offer
from brassweir.agreed.progress import Progress, in_order
from brassweir.agreed.records import Ack, Added
from brassweir.agreed.state import ELECTED, FOLLOWER, LEADER, LEARNER, State


class Replication(State):
    """Entries go from the leader to voters and to learners that shall vote."""

    progress: dict[str, Progress]
    queued: dict[tuple[str, int], int]  # proposals in the log without effect yet
    sending: tuple[int, bytes] = (0, b"")  # a snapshot as it is sent
    fitted = -1e18  # when a leader's entries, or its beat, last fitted behind what is here
    round: int = 0

    def lead(self) -> None:
        """Begin to act as leader of this term."""
        self.role, self.leader, self.heard = LEADER, self.name, self.now
        self.progress = {}
        self.tend_progress()
        self.beat()

    def tend_progress(self) -> None:
        """One progress for each other voter."""
        voters = self.log.membership.voters
        for name, member in voters:
            if name != self.name and (name not in self.progress or self.progress[name].member != member):
                self.progress[name] = Progress(member, self.log.last + 1, heard=self.now)
        names = [name for name, _ in voters]
        for name in [name for name, p in self.progress.items() if name not in names and p.until <= self.now]:
            del self.progress[name]

    def add_entry(self, kind: int, data: bytes, session: str = "", seq: int = 0, low: int = 0) -> Entry:
        """The leader's next entry."""
        entry = Entry(self.log.last + 1, self.term, kind, data, session, seq, low)
        self.log.add([entry])
        self.write(Added((entry,)))
        if session:
            self.queued[session, seq] = entry.index
        return entry

    def queue_again(self) -> None:
        """What of the log has not taken effect."""
        first = max(self.applied, self.log.base.index)
        entries = self.log.entries[first - self.log.base.index :]
        self.queued = {(entry.session, entry.seq): entry.index for entry in entries if entry.kind == COMMAND}

    def beat(self) -> None:
        """Something for everyone."""
        self.round += 1
        for name in self.progress:
            self.send_to(name, True)

    def send_news(self) -> None:
        """Entries, and what is agreed, for whoever lacks them."""
        for name, p in self.progress.items():
            if p.next <= self.log.last and p.out < timing.WINDOW or p.agreed < min(self.agreed, p.match):
                self.send_to(name, False)

    def send_to(self, name: str, always: bool) -> None:
        """As many messages as the window allows, one at least if ``always``."""
        p = self.progress[name]
        if p.out and self.now - p.sent >= timing.RESEND:
            p.out, p.next = 0, p.match + 1
        if p.out >= timing.WINDOW:
            p.next, always = min(p.next, self.log.last + 1), True
        while True:
            prev = p.next - 1
            prev_term = self.log.term(prev)
            if prev_term is None or prev < self.log.base.index:
                if self.snap is not None and (always or self.now - p.sent >= timing.RESEND):
                    p.agreed, p.sent = self.agreed, self.now
                    self.offer(name, self.term, self.round)
                return
            entries = self.log.some(p.next, self.log.last) if p.out < timing.WINDOW else ()
            if not entries and not always and p.agreed >= min(self.agreed, p.match):
                return
            acks = self.acks() if p.agreed < self.agreed or self.round % timing.ACKS_EVERY == 0 else ()
            self.post(name, Append(self.term, prev, prev_term, entries, self.agreed, self.round, acks))
            p.agreed, always = self.agreed, False
            if not entries:
                return
            p.sent = self.now
            p.next += len(entries)
            p.out += 1

    def offer(self, name: str, term: int, round: int) -> None:
        """Tell that a snapshot is to be fetched."""
        assert self.snap is not None
        if self.sending[0] != self.snap.index:
            data = msgspec.msgpack.encode(self.snap)
            self.sending = (self.snap.index, data + google_crc32c.value(data).to_bytes(4, "little"))
        self.post(name, Offer(term, self.snap.index, len(self.sending[1]), round))

    def acks(self) -> tuple[Ack, ...]:
        """What each voter has durably of this leader's log."""
        mine = self.identity
        found = [self.ack_of(mine.member, mine.life, mine.nonce, self.durable)] if self.votes else []
        for name, member in self.log.membership.voters:
            p, memory = self.progress.get(name), self.memory.get(member)
            if p is not None and memory is not None and p.member == member and p.match:
                found.append(self.ack_of(member, memory.life, memory.nonce, p.match))
        return tuple(found)

    def new_run(self, name: str, member: str) -> None:
        """A voter was started anew: it has what it shows, not what it once had."""
        p = self.progress.get(name)
        if p is not None and p.member == member:
            p.match = p.out = 0

    def on_appended(self, sender: str, member: str, message: Appended) -> None:
        """A follower's answer."""
        p = self.progress.get(sender)
        if p is None or self.role != LEADER or message.term < self.term:
            return
        if message.term > self.term:
            self.follow(message.term, "")
            return
        if p.member != member:
            if self.voter(sender, p.member):
                return  # another member under a voter's name: no answer of that voter
            p.member, p.match = member, 0
        p.heard = self.now
        p.round = max(p.round, message.round)
        p.out = max(0, p.out - 1)
        if message.ok:
            p.match = max(p.match, min(message.match, self.log.last))
            memory = self.memory.get(member)
            if memory is not None:
                self.remember(self.ack_of(member, memory.life, memory.nonce, p.match))
            p.next = max(p.next, p.match + 1)
        else:
            p.next, p.out = max(p.match, min(message.match, self.log.last)) + 1, 0
        self.count_agreed()

    def count_agreed(self) -> None:
        """The highest entry of this term that a quorum of voters has durably is agreed, and all before it."""
        voters = self.log.membership.voters
        matches = sorted((self.match_of(name, member) for name, member in voters), reverse=True)
        if not matches:
            return
        index = matches[self.log.membership.quorum - 1]
        if index > self.agreed and self.log.term(index) == self.term:
            acks = self.acks()
            for ack in acks:
                self.remember(ack)
            self.agree(index, acks)

    def match_of(self, name: str, member: str) -> int:
        """What a voter has durably."""
        if (name, member) == (self.name, self.identity.member):
            return self.durable
        p = self.progress.get(name)
        return p.match if p is not None and p.member == member else 0

    def in_touch(self) -> set[str]:
        """Names of voters that answered within the shortest election time, this one with them."""
        found = {
            name
            for name, p in self.progress.items()
            if self.now - p.heard < timing.ELECT and self.voter(name, p.member)
        }
        return found | ({self.name} if self.votes else set())

    # Followers

    def follow(self, term: int, leader: str) -> None:
        """Be no leader; go to the term if it is later."""
        if term > self.term:
            self.write_ballot(term, "")
            self.leader = ""
        if self.role in (LEADER, ELECTED):
            self.deposed()
        self.role = FOLLOWER if self.votes else LEARNER
        self.leader = leader or ("" if self.leader == self.name else self.leader)

    def deposed(self) -> None:
        """Leadership ended: nothing of it may be told any more."""

    def on_append(self, sender: str, message: Append) -> None:
        """Entries of a leader."""
        if not in_order(message.prev + 1, message.entries):
            return
        if message.term < self.term:
            self.post_after(sender, Appended(self.term, False, 0, message.round))
            return
        self.hear_leader(message.term, sender)
        for ack in message.acks:
            self.remember(ack)
        if message.prev < self.agreed and message.prev + len(message.entries) <= self.agreed:
            self.post_after(sender, Appended(self.term, True, self.agreed, message.round))
            return
        here = self.log.term(message.prev)
        if here != message.prev_term and message.prev > self.agreed:
            hint = min(message.prev - 1, self.log.last)
            while hint > self.agreed and self.log.term(hint) == here:  # the whole conflicting term at once
                hint -= 1
            self.post_after(sender, Appended(self.term, False, max(hint, self.agreed), message.round))
            return
        self.fitted = self.now
        self.take(message.entries)
        match = message.prev + len(message.entries)
        self.agree(min(message.commit, match), message.acks)
        self.post_after(sender, Appended(self.term, True, max(match, self.agreed), message.round))

    def hear_leader(self, term: int, leader: str) -> None:
        """A leader of a term that is not past spoke."""
        if term > self.term or self.role not in (FOLLOWER, LEARNER) or self.leader != leader:
            self.follow(term, leader)
        self.heard = self.now
        self.rest()

    def take(self, entries: tuple[Entry, ...]) -> None:
        """Add what is not here; entries here that differ give way."""
        fresh = [entry for entry in entries if entry.index > self.agreed]
        while fresh and self.log.term(fresh[0].index) == fresh[0].term:
            del fresh[0]
        if not fresh:
            return
        if fresh[0].index <= self.log.last:
            self.cut(fresh[0].index)
        self.log.add(fresh)
        self.write(Added(tuple(fresh)))
        if self.role in (FOLLOWER, LEARNER):
            self.role = FOLLOWER if self.votes else LEARNER
