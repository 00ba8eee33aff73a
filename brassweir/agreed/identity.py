"""Identity of a member: checked with the voters after each start, given up if they contradict it. Pure.

After each start a member asks the voters what they recorded of it. They confirm a directory that is as the
last run left it. One that was restored from an old copy lacks entries or votes that a voter recorded: its
member gives up its id and joins as a new learner, as it could vote twice in one term.

The first of the founders that the settings name founds the group.
"""

from __future__ import annotations

import msgspec

from brassweir.agreed import timing
from brassweir.agreed.core_state import LEARNER
from brassweir.agreed.elections import Elections
from brassweir.agreed.messages import (
    MEMBERS,
    Entry,
    Envelope,
    FoundingReply,
    FoundingRequest,
    IdentityCheck,
    IdentityReply,
    Membership,
)
from brassweir.agreed.records import Identity, LogAppend, add_ack


class Identities(Elections):
    """Checks this member's identity, records the runs of others, and founds the group."""

    identity_check_at: float
    identity_check_until: float  # from then on a quorum is enough
    confirmed_by: dict[str, str]  # names and ids of the voters that confirmed this directory
    new_founders: dict[str, str]  # names and ids of the founders that have no group
    founding_at: float

    def note_run(self, sender: str, envelope: Envelope) -> bool:
        """Record a sender's run. Returns False for an earlier run, or a second run of the same generation."""
        previous = self.member_records.get(envelope.member)
        current = add_ack(self.member_records, (envelope.member, envelope.generation, envelope.nonce, 0, 0))
        if current and (previous is None or previous.generation < envelope.generation):
            self.on_voter_restart(sender, envelope.member)
            voters = {member for _, member in self.log.membership.voters}
            non_voters = [member for member in self.member_records if member not in voters]
            for member in non_voters[: max(0, len(self.member_records) - timing.MAX_MEMBER_RECORDS)]:
                del self.member_records[member]
        return current

    def on_identity_check(self, sender: str, envelope: Envelope, message: IdentityCheck) -> None:
        """Tell a member whether its directory lacks what is recorded of it; persist that this run asked."""
        agrees = self.note_run(sender, envelope)
        memory = self.member_records.get(envelope.member)
        if memory is not None:
            agrees = agrees and memory.before_run <= (message.term, message.last_index)
            self.write(memory)
        self.send_when_durable(sender, IdentityReply(envelope.nonce, agrees))

    def needs_identity_check(self) -> bool:
        """Whether the identity is unconfirmed and a vote is wanted, by this log or by a candidate."""
        return not self.identity_confirmed and (
            self.is_voter or self.vote_requested and bool(self.log.membership.voters)
        )

    def tick_identity_check(self) -> None:
        """Ask the voters, until enough have confirmed."""
        if not self.needs_identity_check():
            return
        if self.identity_check_until == 0.0:
            self.identity_check_until = self.now + timing.IDENTITY_CHECK_WAIT_MS
        if self.now >= self.identity_check_at:
            self.identity_check_at = self.now + timing.IDENTITY_CHECK_MS
            for name in self.other_voters():
                if name not in self.confirmed_by:
                    self.send(name, IdentityCheck(self.startup_term, self.startup_last_index))
        self.finish_identity_check()

    def on_identity_reply(self, sender: str, member: str, message: IdentityReply) -> None:
        """Handle a voter's answer."""
        if message.nonce != self.identity.nonce or not self.has_vote(sender, member):
            return
        if not message.agrees:
            self.abandon_identity()
            return
        self.confirmed_by[sender] = member
        if self.needs_identity_check():
            self.finish_identity_check()

    def finish_identity_check(self) -> None:
        """Confirm the identity once all voters agree, or a quorum does and the others had their time."""
        confirmed = self.is_voter + sum(
            self.has_vote(name, member) for name, member in self.confirmed_by.items()
        )
        membership = self.log.membership
        if (
            confirmed == len(membership.voters)
            or confirmed >= membership.quorum
            and self.now >= self.identity_check_until
        ):
            self.identity_confirmed = True
            self.reset_election_timer()

    def abandon_identity(self) -> None:
        """The directory lacks durable state: go on under a new id, as a learner, until readmitted."""
        self.become_follower(self.term, "")
        self.vote = ""
        self.write_ballot(self.term, "")
        self.take_identity(f"{self.rng.getrandbits(64):016x}", self.identity.group)
        self.identity_confirmed, self.role = True, LEARNER
        self.count_dropped("identity given up")

    def take_identity(self, member: str, group: str) -> None:
        """Become this member of this group, durably."""
        generation, nonce = self.identity.generation, self.identity.nonce
        if member != self.identity.member:
            generation, nonce = 1, self.rng.getrandbits(32)
        self.identity = Identity(member, group, generation, nonce)
        self.write(self.identity)

    # Founding

    def tick_founding(self) -> None:
        """The first founder asks the others, and founds the group when all are new with the same list."""
        if self.identity.group or self.founders[:1] != (self.name,) or self.now < self.founding_at:
            return
        self.founding_at = self.now + timing.FOUNDING_INTERVAL_MS
        if all(name in self.new_founders for name in self.founders[1:]):
            self.found_group()
            return
        for name in self.founders[1:]:
            self.send(name, FoundingRequest(self.founders))

    def found_group(self) -> None:
        """Start the log with the founders; the others get it as learners do, by pulling.

        Two groups cannot arise from one list: each would need a quorum of it, and no member joins two groups.
        """
        members = {**self.new_founders, self.name: self.identity.member}
        membership = Membership(tuple(sorted(members.items())))
        first = Entry(1, 1, MEMBERS, msgspec.msgpack.encode(membership))
        self.take_identity(self.identity.member, f"{self.rng.getrandbits(64):016x}")
        self.write_ballot(1, "")
        self.log.add([first])
        self.write(LogAppend((first,)))
        self.commit_up_to(1)
        self.become_follower(self.term, "")
        self.reset_election_timer()

    def on_founding_request(self, sender: str, envelope: Envelope, message: FoundingRequest) -> None:
        """Answer with this copy's list of founders; the envelope tells whether it has a group."""
        self.send_when_durable(sender, FoundingReply(self.founders, envelope.nonce))

    def on_founding_reply(self, sender: str, envelope: Envelope, message: FoundingReply) -> None:
        """Handle a founder's answer. If it has a group, the founding ends: this copy learns from it."""
        if envelope.group or self.identity.group or message.nonce != self.identity.nonce:
            return
        if message.founders == self.founders:
            self.new_founders[sender] = envelope.member
        else:
            self.count_dropped("founders differ")
