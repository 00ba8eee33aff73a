"""An exhaustive small model of the agreed log: every order of deliveries, writes, crashes and candidacies of
three real cores, within bounds. States are hashed and counted.

Time does not pass: who is asked for a vote counts as not having heard a leader, and anyone may be a candidate
at any moment: nothing here rests on a clock, a pre-vote or what others remember. Messages come in any order,
or never; one that is sent again while it is under way is one.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from typing import Any

import msgspec

from brassweir.agreed.core import Core
from brassweir.agreed.core_state import ELECTED, LEADER
from brassweir.agreed.events import Action, Event, Propose, Received, Send, Write, Written
from brassweir.agreed.messages import Entry, VoteRequest
from brassweir.lab.models.logjudge import Broken
from brassweir.lab.models.logscene import Bounds, Place, Scene, clone, start


class Model:
    """Walks all histories within bounds, breadth first."""

    def __init__(self, bounds: Bounds, core: type[Core] = Core) -> None:
        self.bounds, self.kind = bounds, core
        self.seen: set[int] = set()
        self.whole = False  # all states within the bounds were seen

    def walk(self, first: Scene) -> int:
        """The number of states from there. Raises Broken with the way there."""
        queue = deque([first])
        self.seen.add(self.print(first))
        while queue:
            scene = queue.popleft()
            for after in self.following(scene):
                mark = self.print(after)
                if mark not in self.seen:
                    self.seen.add(mark)
                    queue.append(after)
            if len(self.seen) >= self.bounds.states:
                return len(self.seen)
        self.whole = True
        return len(self.seen)

    def following(self, scene: Scene) -> Iterator[Scene]:
        """All that may happen next."""
        for message in scene.net:
            yield self.act(scene, "deliver", message[1], message)
        for name, place in scene.places.items():
            if place.writes:
                yield self.act(scene, "written", name)
            if place.core.term < self.bounds.terms and place.core.role != LEADER:
                yield self.act(scene, "campaign", name)
            if place.core.role == LEADER:
                if scene.proposals < self.bounds.proposals:
                    yield self.act(scene, "propose", name)
                yield self.act(scene, "beat", name)
            if scene.crashes < self.bounds.crashes:
                yield self.act(scene, "crash", name)

    def act(self, scene: Scene, what: str, name: str, message: Any = None) -> Scene:
        """The scene after it."""
        old = scene.places[name]
        place = Place(clone(old.core), old.kept, list(old.writes))
        after = Scene(
            {**scene.places, name: place},
            scene.net,
            scene.leads,
            scene.agreed,
            scene.proposals,
            scene.crashes,
            (*scene.steps, f"{what} {name}"),
        )
        core = place.core
        facts: list[Event] = []
        match what:
            case "deliver":
                after.net = scene.net - {message}
                if isinstance(message[2].body, VoteRequest):
                    core.leader_heard_at = -1e18
                facts = [Received(message[0], message[2])]
                after.steps = (*scene.steps, f"{type(message[2].body).__name__} {message[0]}->{message[1]}")
            case "written":
                write = place.writes.pop(0)
                place.kept = clone(place.kept)
                place.kept.replay(write.records)
                facts = [Written(write.token)]
                for index in range(old.kept.commit_index + 1, place.kept.commit_index + 1):
                    self.took(after, place.kept.entries[index - 1], core.term)
            case "campaign":
                core.campaign(pre=False)
            case "propose":
                after.proposals += 1
                facts = [Propose(after.proposals, f"{name}{after.proposals}".encode(), 1e18)]
            case "beat":
                for p in core.progress.values():
                    p.in_flight, p.next_index = 0, p.match_index + 1
                core.broadcast_heartbeat()
            case "crash":
                after.crashes += 1
                identity = place.kept.identity
                place.kept = clone(place.kept)
                place.kept.identity = msgspec.structs.replace(identity, generation=identity.generation + 1)
                place.core, place.writes = start(self.kind, name, place.kept), []
                return after
        return self.settle(after, name, place, core, facts)

    def settle(self, after: Scene, name: str, place: Place, core: Core, facts: list[Event]) -> Scene:
        """Step, and see what it did."""
        try:
            steps: list[Action] = core.step(0.0, facts)
        except AssertionError as error:
            raise Broken(f"core: {error}; by {', '.join(after.steps)}") from None
        core.election_deadline = core.pull_at = core.heartbeat_at = 1e18
        core.heartbeat_round = 1
        net = set(after.net)
        for step in steps:
            match step:
                case Send() if len(net) < self.bounds.in_flight:
                    net.add((name, step.to, step.envelope))
                case Write():
                    place.writes.append(step)
        after.net = frozenset(net)
        if core.role in (ELECTED, LEADER):
            other = dict(after.leads).get(core.term, name)
            if other != name:
                raise Broken(f"one leader: {other} and {name} in {core.term}; by {', '.join(after.steps)}")
            after.leads = tuple(sorted({*after.leads, (core.term, name)}))
            for entry, term in after.agreed:
                if term < core.term and (
                    entry.index > core.log.last_index or core.log.get(entry.index) != entry
                ):
                    raise Broken(f"lost: {name} leads without {entry}; by {', '.join(after.steps)}")
        return after

    def took(self, after: Scene, entry: Entry, term: int) -> None:
        """A disk says that this is agreed: so do all, or say nothing."""
        for other, _ in after.agreed:
            if other.index == entry.index:
                if other != entry:
                    raise Broken(f"one entry: {other}, {entry}; by {', '.join(after.steps)}")
                return
        after.agreed = (*after.agreed, (entry, term))

    def follow(self, scene: Scene, script: str) -> Scene:
        """Play moves by hand: ``campaign a``, ``written a``, ``VoteRequest ab`` for a message on its way."""
        for move in script.split("; "):
            what, who = move.split()
            if what == "written" and not scene.places[who].writes:
                continue
            if what[0].islower():
                scene = self.act(scene, what, who)
                continue
            found = [m for m in scene.net if type(m[2].body).__name__ == what and m[0] + m[1] == who]
            assert found, f"no {move} among {[(type(m[2].body).__name__, m[0], m[1]) for m in scene.net]}"
            scene = self.act(scene, "deliver", who[1], min(found, key=lambda m: str(m[2].body)))
        return scene

    def print(self, scene: Scene) -> int:
        """A hash of all that decides what may follow."""
        marks: list[Any] = [scene.net, scene.proposals, scene.crashes, scene.leads, scene.agreed]
        for place in scene.places.values():
            c, k = place.core, place.kept
            marks.append(
                (
                    c.identity.generation,
                    c.term,
                    c.vote,
                    c.role,
                    c.leader,
                    c.commit_index,
                    c.durable_commit,
                    c.durable_index,
                    c.applied_index,
                    tuple(c.log.entries),
                    frozenset(c.votes_granted),
                    tuple((name, p.match_index, p.next_index, p.in_flight) for name, p in c.progress.items()),
                    tuple((w.last_index, w.commit_index, frozenset(w.messages)) for w in c.writes_in_flight),
                    tuple(w.records for w in place.writes),
                    tuple(k.entries),
                    k.commit_index,
                    k.ballot,
                )
            )
        return hash(tuple(marks))
