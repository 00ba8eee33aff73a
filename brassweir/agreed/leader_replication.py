"""Log replication, the leader's side, and the commit rule. Pure."""

from __future__ import annotations

from dataclasses import dataclass

import google_crc32c
import msgspec

from brassweir.agreed import timing
from brassweir.agreed.core_state import LEADER
from brassweir.agreed.follower_replication import FollowerReplication
from brassweir.agreed.messages import COMMAND, AppendEntries, AppendReply, Entry, SnapshotOffer
from brassweir.agreed.progress import Progress
from brassweir.agreed.records import Ack, LogAppend


@dataclass
class OutgoingSnapshot:
    """An encoded snapshot that is sent in chunks."""

    data: bytes
    used_at: float = 0.0  # when it was last offered, or a chunk of it sent


class LeaderReplication(FollowerReplication):
    """Replicates entries to voters, and to learners that are to become voters."""

    progress: dict[str, Progress]
    unapplied: dict[tuple[str, int], int]  # proposals in the log that are not applied
    outgoing_snapshots: dict[int, OutgoingSnapshot]  # by snapshot index
    heartbeat_round: int = 0

    def become_leader(self) -> None:
        """Act as the leader of this term."""
        self.role, self.leader, self.leader_heard_at = LEADER, self.name, self.now
        self.progress = {}
        self.update_progress()
        self.broadcast_heartbeat()

    def update_progress(self) -> None:
        """Keep one progress for each other voter, and for learners that are to become voters."""
        voters = self.log.membership.voters
        for name, member in voters:
            if name != self.name and (name not in self.progress or self.progress[name].member != member):
                self.progress[name] = Progress(member, self.log.last_index + 1, heard_at=self.now)
        names = [name for name, _ in voters]
        for name in [
            name
            for name, p in self.progress.items()
            if name not in names and p.admission_deadline <= self.now
        ]:
            del self.progress[name]

    def add_entry(
        self, kind: int, data: bytes, session: str = "", seq: int = 0, lowest_open: int = 0
    ) -> Entry:
        """Append an entry to the leader's log."""
        entry = Entry(self.log.last_index + 1, self.term, kind, data, session, seq, lowest_open)
        self.log.add([entry])
        self.write(LogAppend((entry,)))
        if session:
            self.unapplied[session, seq] = entry.index
        return entry

    def collect_unapplied(self) -> None:
        """Collect the proposals in the log that have not taken effect."""
        first = max(self.applied_index, self.log.base.index)
        entries = self.log.entries[first - self.log.base.index :]
        self.unapplied = {
            (entry.session, entry.seq): entry.index for entry in entries if entry.kind == COMMAND
        }

    def broadcast_heartbeat(self) -> None:
        """Start a new round: send every copy at least one message."""
        self.heartbeat_round += 1
        for name in self.progress:
            self.send_append(name, True)

    def replicate(self) -> None:
        """Send entries and the commit index to the copies that lack them."""
        for name, p in self.progress.items():
            if (
                p.next_index <= self.log.last_index
                and p.in_flight < self.window(p)
                or p.commit_sent < min(self.commit_index, p.match_index)
            ):
                self.send_append(name, False)

    def window(self, p: Progress) -> int:
        """Messages with entries that may be in flight to a copy; one, as a probe, if it is silent."""
        return timing.APPEND_WINDOW if self.now - p.heard_at < timing.ELECTION_MS else 1

    def send_append(self, name: str, always: bool) -> None:
        """Send messages up to the window, at least one if ``always``; a snapshot if entries are compacted."""
        p = self.progress[name]
        if p.in_flight and self.now - p.sent_at >= timing.RESEND_MS:
            p.in_flight, p.next_index = 0, p.match_index + 1
        window = self.window(p)
        if p.in_flight >= window:
            p.next_index, always = min(p.next_index, self.log.last_index + 1), True
        while True:
            prev = p.next_index - 1
            prev_term = self.log.term_of(prev)
            if prev_term is None or prev < self.log.base.index:
                if self.snapshot is not None and (always or self.now - p.sent_at >= timing.RESEND_MS):
                    p.commit_sent, p.sent_at = self.commit_index, self.now
                    self.offer_snapshot(name, self.term, self.heartbeat_round)
                return
            entries = self.log.batch(p.next_index, self.log.last_index) if p.in_flight < window else ()
            if not entries and not always and p.commit_sent >= min(self.commit_index, p.match_index):
                return
            acks = (
                self.acks()
                if p.commit_sent < self.commit_index or self.heartbeat_round % timing.ACKS_EVERY_BEATS == 0
                else ()
            )
            self.send(
                name,
                AppendEntries(
                    self.term, prev, prev_term, entries, self.commit_index, self.heartbeat_round, acks
                ),
            )
            p.commit_sent, always = self.commit_index, False
            if not entries:
                return
            p.sent_at = self.now
            p.next_index += len(entries)
            p.in_flight += 1

    def offer_snapshot(self, name: str, term: int, round: int) -> None:
        """Offer the latest snapshot."""
        assert self.snapshot is not None
        outgoing = self.outgoing_snapshots.get(self.snapshot.index)
        if outgoing is None:
            data = msgspec.msgpack.encode(self.snapshot)
            outgoing = OutgoingSnapshot(data + google_crc32c.value(data).to_bytes(4, "little"))
            self.outgoing_snapshots = dict([*self.outgoing_snapshots.items()][-1:])  # may be in transfer
            self.outgoing_snapshots[self.snapshot.index] = outgoing
        outgoing.used_at = self.now
        self.send(name, SnapshotOffer(term, self.snapshot.index, len(outgoing.data), round))

    def acks(self) -> tuple[Ack, ...]:
        """What each voter has durably of this leader's log."""
        me = self.identity
        acks = [self.ack_of(me.member, me.generation, me.nonce, self.durable_index)] if self.is_voter else []
        for name, member in self.log.membership.voters:
            p, record = self.progress.get(name), self.member_records.get(member)
            if p is not None and record is not None and p.member == member and p.match_index:
                acks.append(self.ack_of(member, record.generation, record.nonce, p.match_index))
        return tuple(acks)

    def on_voter_restart(self, name: str, member: str) -> None:
        """A voter restarted: its earlier answers no longer count, as its directory may be an older one."""
        p = self.progress.get(name)
        if p is not None and p.member == member:
            p.match_index = p.in_flight = 0

    def on_append_reply(self, sender: str, member: str, message: AppendReply) -> None:
        """Handle a follower's answer."""
        p = self.progress.get(sender)
        if p is None or self.role != LEADER or message.term < self.term:
            return
        if message.term > self.term:
            self.become_follower(message.term, "")
            return
        if p.member != member:
            if self.has_vote(sender, p.member):
                return  # another member id under a voter's name does not answer for the voter
            p.member, p.match_index = member, 0
        p.heard_at = self.now
        p.answered_round = max(p.answered_round, message.round)
        p.in_flight = max(0, p.in_flight - 1)
        if message.ok:
            p.match_index = max(p.match_index, min(message.match_index, self.log.last_index))
            record = self.member_records.get(member)
            if record is not None:
                self.note_ack(self.ack_of(member, record.generation, record.nonce, p.match_index))
            p.next_index = max(p.next_index, p.match_index + 1)
        else:
            self.step_back(p, max(p.match_index, min(message.match_index, self.log.last_index)) + 1)
        self.advance_commit_index()

    def advance_commit_index(self) -> None:
        """Commit the highest entry of this term that a quorum has durably, and all entries before it."""
        voters = self.log.membership.voters
        matches = sorted((self.match_index_of(name, member) for name, member in voters), reverse=True)
        if not matches:
            return
        index = matches[self.log.membership.quorum - 1]
        if index > self.commit_index and self.log.term_of(index) == self.term:
            acks = self.acks()
            for ack in acks:
                self.note_ack(ack)
            self.commit_up_to(index, acks)

    def step_back(self, p: Progress, index: int) -> None:
        """Resend from ``index``; only once if several messages in flight are rejected at the same index."""
        if index == p.rewound_to and self.now - p.rewound_at < timing.STEP_BACK_SPACING_MS:
            return
        p.next_index, p.in_flight = index, 0
        p.rewound_to, p.rewound_at = index, self.now

    def match_index_of(self, name: str, member: str) -> int:
        """Last index that a voter is known to have durably."""
        if (name, member) == (self.name, self.identity.member):
            return self.durable_index
        p = self.progress.get(name)
        return p.match_index if p is not None and p.member == member else 0

    def responsive_voters(self) -> set[str]:
        """Names of the voters that answered within an election timeout, and of this one."""
        names = {
            name
            for name, p in self.progress.items()
            if self.now - p.heard_at < timing.ELECTION_MS and self.has_vote(name, p.member)
        }
        return names | ({self.name} if self.is_voter else set())
