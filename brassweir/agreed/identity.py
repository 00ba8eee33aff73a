"""Whose folder this is: what others remember of its member, giving an id up, founding a group. Pure.

A member asks, after each start, what the others remember of it. Nothing speaks against a folder that is as
it was left. One restored from an old copy lacks what a member remembers it had: it gives its id up and learns
anew.
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
    """Members, their runs, their group."""

    identity_check_at: float
    identity_check_until: float  # from then on a quorum's memory is enough
    confirmed_by: dict[str, str]
    new_founders: dict[str, str]  # founders that are new, and their member ids
    founding_at: float

    def note_run(self, sender: str, envelope: Envelope) -> bool:
        """Note which run of a member speaks. False: an earlier one, or a second of the same number."""
        old = self.member_records.get(envelope.member)
        known = add_ack(self.member_records, (envelope.member, envelope.generation, envelope.nonce, 0, 0))
        if known and (old is None or old.generation < envelope.generation):
            self.on_voter_restart(sender, envelope.member)
            voters = {member for _, member in self.log.membership.voters}
            idle = [member for member in self.member_records if member not in voters]
            for member in idle[: max(0, len(self.member_records) - timing.MAX_MEMBER_RECORDS)]:
                del self.member_records[member]
        return known

    def on_identity_check(self, sender: str, envelope: Envelope, message: IdentityCheck) -> None:
        """Tell a member what is remembered of it, and keep durably that this run has asked."""
        agrees = self.note_run(sender, envelope)
        memory = self.member_records.get(envelope.member)
        if memory is not None:
            agrees = agrees and memory.before_run <= (message.term, message.last_index)
            self.write(memory)
        self.send_when_durable(sender, IdentityReply(envelope.nonce, agrees))

    def needs_identity_check(self) -> bool:
        """Others must be asked, and a vote is wanted: by the log here, or by one that counts this member."""
        return not self.identity_confirmed and (
            self.is_voter or self.vote_requested and bool(self.log.membership.voters)
        )

    def tick_identity_check(self) -> None:
        """Ask, until enough answered."""
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
        """An answer."""
        if message.nonce != self.identity.nonce or not self.has_vote(sender, member):
            return
        if not message.agrees:
            self.abandon_identity()
            return
        self.confirmed_by[sender] = member
        if self.needs_identity_check():
            self.finish_identity_check()

    def finish_identity_check(self) -> None:
        """All others agree; or a quorum does, and the rest had their time."""
        agree = self.is_voter + sum(self.has_vote(name, member) for name, member in self.confirmed_by.items())
        voters = self.log.membership
        if agree == len(voters.voters) or agree >= voters.quorum and self.now >= self.identity_check_until:
            self.identity_confirmed = True
            self.reset_election_timer()

    def abandon_identity(self) -> None:
        """This folder forgot: go on under a new id, as a learner, until the group admits it."""
        self.become_follower(self.term, "")
        self.vote = ""
        self.write_ballot(self.term, "")
        self.take_identity(f"{self.rng.getrandbits(64):016x}", self.identity.group)
        self.identity_confirmed, self.role = True, LEARNER
        self.count_dropped("identity given up")

    def take_identity(self, member: str, group: str) -> None:
        """Be that member of that group, durably."""
        life, nonce = self.identity.generation, self.identity.nonce
        if member != self.identity.member:
            life, nonce = 1, self.rng.getrandbits(32)
        self.identity = Identity(member, group, life, nonce)
        self.write(self.identity)

    # Founding

    def tick_founding(self) -> None:
        """The first founder asks the others; when all are new with the same list, it founds."""
        if self.identity.group or self.founders[:1] != (self.name,) or self.now < self.founding_at:
            return
        self.founding_at = self.now + timing.FOUNDING_INTERVAL_MS
        if all(name in self.new_founders for name in self.founders[1:]):
            self.found_group()
            return
        for name in self.founders[1:]:
            self.send(name, FoundingRequest(self.founders))

    def found_group(self) -> None:
        """The log begins with its founders. They get it as learners do, by pulling.

        Any two groups of one list would need a quorum of that list each, and no member is of two.
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
        """Say whether this copy is new, by the group of the answer, and what its list is."""
        self.send_when_durable(sender, FoundingReply(self.founders, envelope.nonce))

    def on_founding_reply(self, sender: str, envelope: Envelope, message: FoundingReply) -> None:
        """A founder's answer. One that knows a group ends the founding: this copy learns from it."""
        if envelope.group or self.identity.group or message.nonce != self.identity.nonce:
            return
        if message.founders == self.founders:
            self.new_founders[sender] = envelope.member
        else:
            self.count_dropped("founders differ")
