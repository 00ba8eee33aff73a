"""Only what lies on disk counts as durable, also after a snapshot replaced a longer log."""

from __future__ import annotations

from random import Random

from brassweir.agreed.core import Core
from brassweir.agreed.core_state import LEADER
from brassweir.agreed.events import Action, Event, Received, Send, Write, Written
from brassweir.agreed.messages import (
    VERSION,
    AppendEntries,
    AppendReply,
    Entry,
    Envelope,
    Membership,
    VoteReply,
)
from brassweir.agreed.records import Ballot, Base, Identity, Persisted, Snapshot
from brassweir.agreed.replica import Replica
from brassweir.lab.models.toys import Pile

THREE = Membership((("a", "ma"), ("b", "mb"), ("c", "mc")))


def member(kept: Persisted) -> Core:
    return Core("a", kept, Pile(), Random(1), 0.0, ("a", "b", "c"))


def kept(last: int, term: int, agreed: int) -> Persisted:
    entries = [Entry(i, term, 0) for i in range(1, last + 1)]
    return Persisted(Identity("ma", "g", 1, 7), Ballot(term, ""), Base(0, 0, THREE, 0), entries, agreed)


def received(sender: str, body: object) -> Received:
    return Received(sender, Envelope(VERSION, "g", f"m{sender}", 1, 9, body))  # type: ignore[arg-type]


class Turn:
    """Steps a core; its writes become durable by ``durable()``."""

    def __init__(self, core: Core) -> None:
        self.core, self.now, self.token = core, 0.0, 0
        self.posts: list[tuple[str, object]] = []

    def __call__(self, *events: Event, span: float = 1.0) -> list[Action]:
        self.now += span
        actions = self.core.step(self.now, events)
        for action in actions:
            if isinstance(action, Write):
                self.token = action.token
            if isinstance(action, Send):
                self.posts.append((action.to, action.envelope.body))
        return actions

    def durable(self) -> list[Action]:
        return self(Written(self.token))


def elected(turn: Turn) -> None:
    """Win an election with the vote of b; the first entry of the term is durable."""
    while turn.core.role != "asking":
        turn(span=200.0)
    turn.durable()
    term = turn.core.term + 1
    turn(received("b", VoteReply(term - 1, term, True, True)))
    turn.durable()
    turn(received("b", VoteReply(term, term, True)))
    turn.durable()
    assert turn.core.role == LEADER


def test_a_snapshot_over_a_longer_log_leaves_nothing_durable_behind_it() -> None:
    core = member(kept(20, 1, 0))
    turn = Turn(core)
    snap = Snapshot(15, 2, THREE, 0, Replica(Pile()).snapshot())
    core.install_snapshot(snap)
    turn()
    turn.durable()
    assert core.log.last_index == 15
    elected(turn)
    turn(received("b", AppendReply(core.term, True, 16, 1)))
    turn.durable()
    assert core.commit_index == 16
    core.add_entry(0, b"")
    turn()
    turn(received("b", AppendReply(core.term, True, 17, 2)))
    assert core.commit_index == 16, "it lies on one disk of three"
    turn.durable()
    assert core.commit_index == 17


def test_a_leader_of_the_past_adds_nothing_behind_what_is_agreed() -> None:
    """This member was fed 12 to 14 of term 3 and knows no term after 2; the leader of 2 still sends."""
    persisted = kept(11, 1, 11)
    persisted.entries += [Entry(i, 3, 0) for i in (12, 13, 14)]
    persisted.commit_index, persisted.ballot = 14, Ballot(2, "")
    core = member(persisted)
    turn = Turn(core)
    leader_entries = tuple(Entry(i, 2, 0) for i in range(12, 17))
    for first in (12, 14, 15):  # the entries here differ, or the one before does
        entries = leader_entries[first - 12 :]
        turn(received("b", AppendEntries(2, first - 1, 1 if first == 12 else 2, entries, 11, 1)))
        turn.durable()
        assert core.log.last_index == 14, "entries of term 2 behind those of term 3"
    assert not [post for post in turn.posts if isinstance(post[1], AppendReply)]
    turn(received("b", AppendEntries(3, 14, 3, (Entry(15, 3, 0),), 14, 1)))
    turn.durable()
    assert (
        core.log.last_index == 15
        and isinstance(turn.posts[-1][1], AppendReply)
        and turn.posts[-1][1].match_index == 15
    )
