"""What the simulated fleet is made of: a copy's node, what it sent, and the network between copies."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from brassweir.agreed.core import Core
from brassweir.agreed.events import Event, Write
from brassweir.configstream.machine import ConfiguredMachine
from brassweir.lab.models.configfleet import Fleet
from brassweir.lab.models.configfolder import Folder
from brassweir.lab.models.configmodule import DecisionModel

JITTER = 0.1  # of a delay


@dataclass(frozen=True)
class Weather:
    """The network beyond its plain delays: the share of messages lost, and ms that one is late at most."""

    loss: float = 0.0
    late: float = 0.0


class Network:
    """Says of each message whether it comes, and when."""

    def __init__(self, fleet: Fleet, rng: Random) -> None:
        self.fleet, self.rng, self.weather = fleet, rng, Weather()
        self.cut_off: set[str] = set()  # regions that hear no other region, and are not heard

    def delay(self, sender: str, receiver: str) -> float | None:
        """Ms until a message sent now arrives; None if it is lost."""
        here, there = self.fleet.places[sender].region, self.fleet.places[receiver].region
        if here != there and self.cut_off & {here, there}:
            return None
        if self.weather.loss and self.rng.random() < self.weather.loss:
            return None
        delay = self.fleet.delay(sender, receiver) * (1.0 + JITTER * self.rng.random())
        return delay + self.rng.uniform(0.0, self.weather.late) if self.weather.late else delay


@dataclass
class Traffic:
    """What a copy sent and received, and what its core did."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    steps: int = 0
    cpu: float = 0.0  # s; work that the simulation shares between copies stands at the first of them only


@dataclass
class Node:
    """One copy: its folder, and while it is up its core, machine and decision module."""

    name: str
    folder: Folder
    core: Core | None = None
    machine: ConfiguredMachine | None = None
    module: DecisionModel | None = None
    starts: int = 0
    wake: float = 0.0
    writes: list[Write] = field(default_factory=list)
    writing: bool = False
    turning: bool = False  # a loop turn of the module is due
    stalled: float = 0.0
    inbox: list[Event] = field(default_factory=list)
    traffic: Traffic = field(default_factory=Traffic)
