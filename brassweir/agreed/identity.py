"""Whose folder this is: what others remember of its member, giving an id up, founding a group. Pure.

A member asks, after each start, what the others remember of it. Nothing speaks against a folder that is as
it was left. One restored from an old copy lacks what a member remembers it had: it gives its id up and learns
anew.
"""

from __future__ import annotations

import msgspec

from brassweir.agreed import timing
from brassweir.agreed.elections import Elections
from brassweir.agreed.messages import (
    MEMBERS,
    AskFound,
    Entry,
    Envelope,
    Hello,
    Membership,
    NewHere,
    Remembered,
)
from brassweir.agreed.records import Added, Identity, learn
from brassweir.agreed.state import LEARNER


class Identities(Elections):
    """Members, their runs, their group."""

    hello_at: float
    hello_until: float  # from then on a quorum's memory is enough
    agreeing: dict[str, str]  # names of the voters that remember nothing against this folder, and their ids
    fresh: dict[str, str]  # founders that are new, and their member ids
    found_at: float

    def note_run(self, sender: str, envelope: Envelope) -> bool:
        """Note which run of a member speaks. False: an earlier one, or a second of the same number."""
        old = self.memory.get(envelope.member)
        known = learn(self.memory, (envelope.member, envelope.life, envelope.nonce, 0, 0))
        if known and (old is None or old.life < envelope.life):
            self.new_run(sender, envelope.member)
            voters = {member for _, member in self.log.membership.voters}
            idle = [member for member in self.memory if member not in voters]
            for member in idle[: len(self.memory) - timing.MOST_REMEMBERED]:
                del self.memory[member]
        return known

    def on_hello(self, sender: str, envelope: Envelope, message: Hello) -> None:
        """Tell a member what is remembered of it, and keep durably that this run has asked."""
        agrees = self.note_run(sender, envelope)
        memory = self.memory.get(envelope.member)
        if memory is not None:
            agrees = agrees and memory.before <= (message.term, message.last)
            self.write(memory)
        self.post_after(sender, Remembered(envelope.nonce, agrees))

    def tend_hello(self) -> None:
        """Ask, until enough answered."""
        if self.sure or not self.votes:
            return
        if self.hello_until == 0.0:
            self.hello_until = self.now + timing.HELLO_WAIT
        if self.now >= self.hello_at:
            self.hello_at = self.now + timing.HELLO
            for name in self.others():
                if name not in self.agreeing:
                    self.post(name, Hello(self.kept_term, self.kept_last))
        self.weigh()

    def on_remembered(self, sender: str, member: str, message: Remembered) -> None:
        """An answer."""
        if message.nonce != self.identity.nonce or not self.voter(sender, member):
            return
        if not message.agrees:
            self.give_up()
            return
        self.agreeing[sender] = member
        if not self.sure and self.votes:
            self.weigh()

    def weigh(self) -> None:
        """All others agree; or a quorum does, and the rest had their time."""
        agree = 1 + sum(self.voter(name, member) for name, member in self.agreeing.items())
        voters = self.log.membership
        if agree == len(voters.voters) or agree >= voters.quorum and self.now >= self.hello_until:
            self.sure = True
            self.rest()

    def give_up(self) -> None:
        """This folder forgot: go on under a new id, as a learner, until the group admits it."""
        self.follow(self.term, "")
        self.vote = ""
        self.write_ballot(self.term, "")
        self.take_identity(f"{self.rng.getrandbits(64):016x}", self.identity.group)
        self.sure, self.role = True, LEARNER
        self.count("identity given up")

    def take_identity(self, member: str, group: str) -> None:
        """Be that member of that group, durably."""
        life, nonce = self.identity.life, self.identity.nonce
        if member != self.identity.member:
            life, nonce = 1, self.rng.getrandbits(32)
        self.identity = Identity(member, group, life, nonce)
        self.write(self.identity)

    # Founding

    def tend_founding(self) -> None:
        """The first founder asks the others; when all are new with the same list, it founds."""
        if self.identity.group or self.founders[:1] != (self.name,) or self.now < self.found_at:
            return
        self.found_at = self.now + timing.FOUND
        if all(name in self.fresh for name in self.founders[1:]):
            self.found()
            return
        for name in self.founders[1:]:
            self.post(name, AskFound(self.founders))

    def found(self) -> None:
        """The log begins with its founders. They get it as learners do, by pulling.

        Any two groups of one list would need a quorum of that list each, and no member is of two.
        """
        members = {**self.fresh, self.name: self.identity.member}
        membership = Membership(tuple(sorted(members.items())))
        first = Entry(1, 1, MEMBERS, msgspec.msgpack.encode(membership))
        self.take_identity(self.identity.member, f"{self.rng.getrandbits(64):016x}")
        self.write_ballot(1, "")
        self.log.add([first])
        self.write(Added((first,)))
        self.agree(1)
        self.follow(self.term, "")
        self.rest()

    def on_ask_found(self, sender: str, envelope: Envelope, message: AskFound) -> None:
        """Say whether this copy is new, by the group of the answer, and what its list is."""
        self.post_after(sender, NewHere(self.founders, envelope.nonce))

    def on_new_here(self, sender: str, envelope: Envelope, message: NewHere) -> None:
        """A founder's answer. One that knows a group ends the founding: this copy learns from it."""
        if envelope.group or self.identity.group or message.nonce != self.identity.nonce:
            return
        if message.founders == self.founders:
            self.fresh[sender] = envelope.member
        else:
            self.count("founders differ")
