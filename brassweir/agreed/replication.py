"""Raft's log replication, the leader's side, and when an entry is agreed. Pure."""

from __future__ import annotations

from dataclasses import dataclass

import google_crc32c
import msgspec

from brassweir.agreed import timing
from brassweir.agreed.following import Following
from brassweir.agreed.messages import COMMAND, Append, Appended, Entry, Offer
from brassweir.agreed.progress import Progress
from brassweir.agreed.records import Ack, Added
from brassweir.agreed.state import LEADER


@dataclass
class Sending:
    """A snapshot as it is sent."""

    data: bytes
    used: float = 0.0  # when it was last offered, or a piece of it sent


class Replication(Following):
    """Entries go from the leader to voters and to learners that shall vote."""

    progress: dict[str, Progress]
    queued: dict[tuple[str, int], int]  # proposals in the log without effect yet
    sending: dict[int, Sending]  # snapshots as they are sent, by their places
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
            if p.next <= self.log.last and p.out < self.window(p) or p.agreed < min(self.agreed, p.match):
                self.send_to(name, False)

    def window(self, p: Progress) -> int:
        """Messages with entries that may be out to a copy: one, as a probe, if it has long been silent."""
        return timing.WINDOW if self.now - p.heard < timing.ELECT else 1

    def send_to(self, name: str, always: bool) -> None:
        """As many messages as the window allows, one at least if ``always``."""
        p = self.progress[name]
        if p.out and self.now - p.sent >= timing.RESEND:
            p.out, p.next = 0, p.match + 1
        window = self.window(p)
        if p.out >= window:
            p.next, always = min(p.next, self.log.last + 1), True
        while True:
            prev = p.next - 1
            prev_term = self.log.term(prev)
            if prev_term is None or prev < self.log.base.index:
                if self.snap is not None and (always or self.now - p.sent >= timing.RESEND):
                    p.agreed, p.sent = self.agreed, self.now
                    self.offer(name, self.term, self.round)
                return
            entries = self.log.some(p.next, self.log.last) if p.out < window else ()
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
        sending = self.sending.get(self.snap.index)
        if sending is None:
            data = msgspec.msgpack.encode(self.snap)
            sending = Sending(data + google_crc32c.value(data).to_bytes(4, "little"))
            self.sending = dict([*self.sending.items()][-1:])  # one before it may be on its way to someone
            self.sending[self.snap.index] = sending
        sending.used = self.now
        self.post(name, Offer(term, self.snap.index, len(sending.data), round))

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
            self.go_back(p, max(p.match, min(message.match, self.log.last)) + 1)
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

    def go_back(self, p: Progress, index: int) -> None:
        """Send again from there on; once, if several messages sent before say the same."""
        if index == p.back and self.now - p.back_at < timing.BACK_AGAIN:
            return
        p.next, p.out = index, 0
        p.back, p.back_at = index, self.now

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
