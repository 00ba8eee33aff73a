"""A simulated fleet whose copies acknowledge versions, with invariants of the leader's counts."""

from __future__ import annotations

from dataclasses import dataclass

from brassweir.agreed import timing
from brassweir.agreed.events import Event, Propose, Send, VersionInForce
from brassweir.agreed.messages import Acknowledge, encode
from brassweir.configstream.core import ConfiguredCore
from brassweir.lab.models.logworld import Weather, World
from brassweir.lab.models.toys import Pile

MODULE = 40.0  # ms until a copy's decision module has a version in force
LEAVE = b"leave "


@dataclass(frozen=True)
class Listed:
    site: str
    region: str
    version: int = 1


def listed(name: str) -> Listed:
    """Place a copy in one of ten sites and three regions; each voter in another region."""
    site = int(name[1:]) % 10
    return Listed(f"s{site}", f"r{site % 3}")


class PileCore(ConfiguredCore):
    """Uses the number of applied commands as version; all names that did not leave are members."""

    @property
    def pile(self) -> list[bytes]:
        machine = self.replica.machine
        assert isinstance(machine, Pile)
        return machine.taken

    known: tuple[int, tuple[str, ...], dict[str, Listed]] = (-1, (), {})

    def copies(self) -> dict[str, Listed]:
        if (len(self.pile), self.copy_names) != self.known[:2]:
            self.known = (len(self.pile), self.copy_names, self.list_copies())
        return self.known[2]

    def list_copies(self) -> dict[str, Listed]:
        gone = {command[len(LEAVE) :].decode() for command in self.pile if command.startswith(LEAVE)}
        return {name: listed(name) for name in sorted({*self.copy_names, self.name} - gone)}

    def newest_version(self) -> int:
        return len(self.pile)


class AckWorld(World):
    """Copies whose modules lag; ``look`` compares the leader's counts with the modules' versions."""

    def __init__(self, seed: int, voters: int = 3, learners: int = 0, weather: Weather | None = None) -> None:
        self.due: dict[str, tuple[int, int]] = {}  # process start and version that a module is being given
        self.told: dict[str, list[tuple[float, int]]] = {}  # when each module got which version
        self.largest = 0  # bytes of the largest acknowledgement
        self.acknowledged: dict[str, int] = {}  # messages by receiver
        super().__init__(seed, voters, learners, weather, PileCore)

    def start(self, name: str) -> None:
        if self.nodes[name].core is None:
            self.told.setdefault(name, []).append((self.now, 0))
        super().start(name)

    def give(self, name: str, *facts: Event) -> None:
        super().give(name, *facts)
        node = self.nodes[name]
        if not isinstance(node.core, PileCore):
            return
        due = (node.starts, len(node.machine.taken))
        if due[1] and self.due.get(name) != due:
            self.due[name] = due
            self.at(self.now + MODULE, self.tell, name, *due)

    def tell(self, name: str, start: int, version: int) -> None:
        node = self.nodes[name]
        if node.starts == start and node.core is not None and node.stalled <= self.now:
            self.told[name].append((self.now, version))
            self.give(name, VersionInForce(version))

    def send(self, sender: str, post: Send) -> None:
        if isinstance(post.envelope.body, Acknowledge):
            self.largest = max(self.largest, len(encode(post.envelope)))
            self.acknowledged[post.to] = self.acknowledged.get(post.to, 0) + 1
        super().send(sender, post)

    def command(self, name: str, command: bytes) -> None:
        self.tickets += 1
        self.judge.asked(name, self.tickets, command, self.now)
        self.give(name, Propose(self.tickets, command, self.now + 8_000.0))

    def core(self, name: str) -> PileCore:
        core = self.nodes[name].core
        assert isinstance(core, PileCore)
        return core

    def look(self, expiry: float = timing.CHILD_EXPIRY_MS) -> None:
        """Check that the leader counts each copy once, and for no version that it lost before ``expiry``."""
        leader = self.leader()
        if leader is None:
            return
        core = self.core(leader)
        view = core.fleet_view(self.now)
        names = set(core.member_indexes.current.names)
        behind = {one.name for one in view.behind}
        assert view.in_force + len(behind) + len(view.unreported) == view.copies == len(names)
        for name in names - behind - set(view.unreported):
            had = [at for at, version in self.told[name] if version >= view.newest]
            assert had, f"{name} never had {view.newest}"
            lost = [at for at, version in self.told[name] if version < view.newest and at > max(had)]
            assert not lost or min(lost) >= self.now - expiry, f"{name} lost {view.newest} at {min(lost)}"

    def watch(self, span: float, every: float = 100.0, expiry: float = timing.CHILD_EXPIRY_MS) -> None:
        """Run for ``span`` ms, checking every ``every`` ms."""
        end = self.now + span
        while self.now < end:
            self.run(min(end, self.now + every))
            self.look(expiry)
