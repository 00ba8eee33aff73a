"""What the simulated fleet's folders hold at first: all copies joined, level 2, the first list in force."""

from __future__ import annotations

from collections.abc import Iterable

from brassweir.agreed import commands as level1
from brassweir.agreed.messages import Membership
from brassweir.agreed.records import Ballot, Base, Identity, Persisted, Snapshot
from brassweir.agreed.replica import Replica
from brassweir.configstream.entries import Entry
from brassweir.configstream.machine import ConfiguredMachine
from brassweir.configstream.publish_plan import make_plan
from brassweir.lab.models.configfleet import Fleet

GROUP = "0123456789abcdef"
TERM = 1


class Founding:
    """A state that was agreed before the simulation begins."""

    def __init__(self, fleet: Fleet, entries: Iterable[Entry]) -> None:
        machine = ConfiguredMachine()
        self.index = 1  # the entry that says who votes
        for name, place in fleet.places.items():
            self._apply(machine, level1.encode(level1.Join(name, place.zone, place.region, machine.level)))
        self._apply(machine, level1.encode(level1.Format(machine.level)))
        made = make_plan(0, machine.configuration.catalog, entries, "operator")
        assert made is not None
        for command in (*made.stage_commands, made.final_command):
            self._apply(machine, command)
        self.version = machine.configuration.version
        members = tuple(sorted((name, self.member(name)) for name in fleet.voters))
        state = Replica(machine).snapshot()
        self.snapshot = Snapshot(self.index, TERM, Membership(members), 1, state)

    def _apply(self, machine: ConfiguredMachine, command: bytes) -> None:
        self.index += 1
        result = level1.decode_result(machine.apply(self.index, command))
        if not result.ok:
            raise AssertionError(f"{result.field}: {result.why}")

    def member(self, name: str) -> str:
        """The member id of a copy."""
        return f"{name:0>16}"

    def kept(self, name: str) -> Persisted:
        """What a copy's folder holds."""
        snap = self.snapshot
        return Persisted(
            Identity(self.member(name), GROUP, 1, 1),
            Ballot(TERM, ""),
            Base(snap.index, snap.term, snap.membership, snap.membership_at),
            [],
            snap.index,
            snap,
        )
