"""The simulated fleet's world: its operator, what fails in it, and what its leader says of it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from brassweir.agreed.core import Core
from brassweir.agreed.events import Completed, TransferLeadership
from brassweir.configstream.core import ConfiguredCore
from brassweir.configstream.fleet import FleetView
from brassweir.configstream.machine import ConfiguredMachine
from brassweir.lab.models.configfleet import Fleet
from brassweir.lab.models.configfloor import Floor
from brassweir.lab.models.configfolder import Folder, RecordFolder
from brassweir.lab.models.configfounding import Founding
from brassweir.lab.models.configjudge import Judge, List
from brassweir.lab.models.confignode import Traffic
from brassweir.lab.models.configoperator import PROPOSER, Operator

VIEW_EVERY = 250.0  # ms between two looks at the leader's view


@dataclass(frozen=True)
class Outage:
    """A copy was out of contact with the rest from one time to another."""

    name: str
    begun: float
    ended: float
    newest: int  # the version that was agreed when it ended


@dataclass
class ViewLog:
    """When the leader first said that a version is in force at all copies that are in contact."""

    everywhere_at: dict[int, float] = field(default_factory=dict)
    longest_counted: float = 0.0  # ms that a copy out of contact was still counted


class World(Floor):
    """The fleet with its operator and its troubles."""

    def __init__(
        self,
        fleet: Fleet,
        founding: Founding,
        entries: List,
        seed: int,
        make: Callable[[], ConfiguredMachine],
        core: type[Core] = ConfiguredCore,
    ) -> None:
        judge = Judge(founding.version, founding.index, entries)
        super().__init__(fleet, seed, make, core, judge, founding.kept)
        self.list = entries  # as the operator's file has it
        self.operator = Operator(
            self.nodes[PROPOSER], lambda fact: self.give(PROPOSER, fact), self.at, judge.expected
        )
        self.views = ViewLog()
        self.measured: dict[str, Traffic] = {}
        self.measured_from = self.measured_to = 0.0
        self.outages: list[Outage] = []
        self.out_since: dict[str, float] = {}  # copies out of contact with the rest, and since when
        self.at(VIEW_EVERY, self.look)

    # The operator

    def submit(self, entries: List) -> None:
        """The operator has edited the list and sent SIGHUP."""
        self.list = entries
        self.operator.submit(entries, self.now)

    def told(self, name: str, step: Completed) -> None:
        """What came of a proposal."""
        if name == PROPOSER:
            self.operator.told(step, self.now)

    # What fails

    def crash(self, name: str, down: float = 500.0) -> None:
        """A copy's machine stops."""
        self.out_since.setdefault(name, self.now)
        super().crash(name, down)

    def start(self, name: str) -> None:
        """A copy starts."""
        super().start(name)
        if self.fleet.places[name].region not in self.network.cut_off:
            self.back(name)

    def back(self, name: str) -> None:
        """A copy is in contact again."""
        since = self.out_since.pop(name, None)
        if since is not None:
            self.outages.append(Outage(name, since, self.now, self.judge.chain[-1]))

    def stall(self, name: str, span: float) -> None:
        """SIGSTOP, and later SIGCONT."""
        self.out_since.setdefault(name, self.now)
        super().stall(name, span)

    def woken(self, name: str, start: int) -> None:
        """It goes on."""
        self.back(name)
        super().woken(name, start)

    def leave(self, name: str, down: float) -> None:
        """A planned restart: hand leadership over, then stop."""
        self.give(name, TransferLeadership())
        self.at(self.now + 200.0, self.crash, name, down)

    def lose_folder(self, name: str, down: float) -> None:
        """A copy's machine is replaced by a blank one."""
        self.crash(name, -1.0)
        self.replace_folder(name, RecordFolder(), down)

    def replace_folder(self, name: str, folder: Folder, down: float) -> None:
        """A copy that is down starts from another folder."""
        self.nodes[name].folder = folder
        self.judge.forgot(name)
        self.at(self.now + down, self.start, name)

    def cut_region(self, region: str) -> None:
        """A region neither hears the others nor is heard."""
        self.network.cut_off.add(region)
        for name in self.fleet.in_region(region):
            self.out_since.setdefault(name, self.now)

    def mend_region(self, region: str) -> None:
        """It does again."""
        self.network.cut_off.discard(region)
        for name in self.fleet.in_region(region):
            if self.nodes[name].core is not None:
                self.back(name)

    # What is measured

    def begin_measuring(self) -> None:
        """From here on bytes and steps count."""
        self.measured_from = self.now
        for node in self.nodes.values():
            node.traffic = Traffic()

    def end_measuring(self) -> None:
        """Up to here."""
        self.measured_to = self.now
        self.measured = {name: replace(node.traffic) for name, node in self.nodes.items()}

    def all_told(self) -> bool:
        """Do all modules that are up hold what was last agreed, and has every change ended?"""
        newest = self.judge.chain[-1]
        if newest not in self.views.everywhere_at:
            return False
        return all(one.accepted_at >= 0.0 for one in self.operator.submissions) and all(
            node.module is not None and node.module.version == newest
            for node in self.nodes.values()
            if node.core is not None
        )

    # What the leader says

    def leader(self) -> str | None:
        """Who leads, by its own word, in the latest term."""
        found = [
            (node.core.term, name)
            for name, node in self.nodes.items()
            if node.core is not None and node.core.role == "leader" and node.stalled <= self.now
        ]
        return max(found)[1] if found else None

    def look(self) -> None:
        """Read the leader's view, and hold it against what is so."""
        self.at(self.now + VIEW_EVERY, self.look)
        leader = self.leader()
        core = self.nodes[leader].core if leader is not None else None
        if isinstance(core, ConfiguredCore):
            self.weigh(core.fleet_view(self.now))

    def weigh(self, view: FleetView) -> None:
        """A view counts in force those copies that it does not name as behind or unheard of."""
        counted = set(self.fleet.names) - {one.name for one in view.behind} - set(view.unreported)
        self.judge.view(view.newest, view.in_force, counted, self.out_since, self.now)
        outs = [self.now - self.out_since[name] for name in counted if name in self.out_since]
        self.views.longest_counted = max([self.views.longest_counted, *outs])
        if view.newest == self.judge.chain[-1] and not set(self.fleet.names) - counted - set(self.out_since):
            self.views.everywhere_at.setdefault(view.newest, self.now)
