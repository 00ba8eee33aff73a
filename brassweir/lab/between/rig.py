"""Sets a run up: files, the relay, copies as processes, partners and clients; and ends all of it."""

from __future__ import annotations

import asyncio
import socket
import sys
import time
from collections.abc import Callable, Coroutine
from dataclasses import replace
from pathlib import Path
from typing import Any

import msgspec

from brassweir.as2.message import Identity
from brassweir.lab.between.asking import ask
from brassweir.lab.between.copy import CopyHandle
from brassweir.lab.between.day import LONGEST
from brassweir.lab.between.fate import Fates
from brassweir.lab.between.faults import Faults
from brassweir.lab.between.keeper import Keeper, Reader
from brassweir.lab.between.relay import Relay
from brassweir.lab.between.schedule import Schedule
from brassweir.lab.between.seen import Told
from brassweir.lab.between.sites import Stand
from brassweir.lab.rigs.fleet import Fleet
from brassweir.lab.rigs.fleet_settings import write_yaml
from brassweir.lab.rigs.handle import Handle, free_port
from brassweir.lab.rigs.plan import FleetPlan
from brassweir.regions.epochs import PLACES, parse
from brassweir.regions.ownership import Assumptions
from brassweir.regions.planning import first_epoch, handed_over, moved

CLOCK_ERROR = 500.0  # ms that a copy's clock may be off
ASKS_ON = 13_000.0  # ms for which a client asks for an answer: its message's time, its patience, and one more
LEASE = 6000.0  # ms: short, so that a run of half a minute sees leases end at copies that are cut off
LONGER = 60.0  # s that faults may take beyond the day: restarts are slow on a busy machine
REST = 10.0  # s after the last fault in which copies find each other and a leader, and then are quiet
EVERY = 0.25  # s between two questions to one copy
PATIENT = 0.2  # s that a copy has to answer
KEY = b"the key of all copies of this rig\n"

Teller = Callable[[float, str, int, int, dict[str, Any], dict[str, Any]], Told]


def hold_udp_port() -> socket.socket:
    """A UDP port of loopback, held until its socket is closed: the relay must not be given it."""
    held = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    held.bind(("127.0.0.1", 0))
    return held


class Rig(Fleet):
    """One run: a fleet whose senders know of each other, and only through the relay."""

    def __init__(
        self,
        folder: Path,
        plan: FleetPlan,
        seed: int,
        stands: list[Stand],
        schedule: Schedule,
        reader: Reader,
        teller: Teller,
        without: str = "",
    ) -> None:
        super().__init__(folder, plan, seed, lambda name, path, port: self._launch(name, path, port, without))
        self.stands, self.teller, self.reader = list(stands), teller, reader
        self.schedule = schedule
        self.metrics: dict[str, int] = {}
        self.trees: dict[str, dict[str, Any]] = {}  # settings as they were written last
        self.made: dict[str, Identity] = {}
        self.copies: list[CopyHandle] = []
        self.told: list[Told] = []
        self.fates = Fates(seed, {one.name: one.site for one in stands})
        self.voters = [one.name for one in stands if one.voter]  # as they are wanted
        self.spares = [f"s{len(stands) + 1 + i}" for i in range(schedule.spares())]  # not in use yet
        self.held = {name: hold_udp_port() for name in [one.name for one in stands] + self.spares}
        self.relay = Relay({name: held.getsockname()[1] for name, held in self.held.items()}, self.fates)
        self.tasks: list[asyncio.Task[None]] = []
        self.faults: Faults | None = None
        self.keeper: Keeper | None = None
        self.start = self.ended = time.time()

    def _launch(self, name: str, path: Path, port: int, without: str) -> Handle:
        copy = CopyHandle(name, path, port, without)
        self.copies.append(copy)
        return copy

    async def set_up(self) -> None:
        """The relay first, then the fleet, then those who look on and those who break things."""
        await self.relay.listen()
        for one in self.stands:
            self.held[one.name].close()
        (self.folder / "peers.key").write_bytes(KEY)
        now = time.time() * 1000.0
        regions = {one.region: f"http://127.0.0.1/{one.region}" for one in self.stands}
        epoch = handed_over(first_epoch(regions, now, LEASE), now)
        (self.folder / "first_epoch.json").write_bytes(msgspec.json.encode(epoch))
        await super().set_up()
        self.start = self.relay.start = time.time()
        self.relay.tape.seen.clear()
        self.keeper = Keeper(self.folder / "copies", self.copies, self.reader)
        self.faults = Faults(
            self.schedule,
            self.copies,
            self.fates,
            self.leader,
            self.keeper.older,
            self.move,
            self.spare,
            self.vote,
        )
        self.keeper.start = self.faults.start = self.start
        self._task(self.keeper.watch())
        self._task(self.faults.play())
        for copy in self.copies:
            self._task(self._ask(copy))

    def spare(self, gone: CopyHandle) -> CopyHandle:
        """A copy at the site of one that is gone for good: new name, empty folder, in all copies' files."""
        name, port = self.spares.pop(0), free_port()
        place = next(one for one in self.stands if one.name == gone.name)
        self.stands.append(replace(place, name=name, voter=False))
        self.fates.sites[name] = place.site
        self.receipt_urls[name] = f"http://127.0.0.1:{port}/as2/receipts"
        write_yaml(self.folder / f"{name}.yaml", self.settings(name, port, free_port(), self.made))
        for copy in self.copies:
            if copy is not gone:
                self._write_copies(copy.name)
                copy.reread()
        self.senders.append(self.launch(name, self.folder / f"{name}.yaml", port))
        self.held[name].close()
        self._task(self._ask(self.copies[-1]))
        return self.copies[-1]

    def vote(self, gone: str, new: str) -> None:
        """The new copy is to vote if the gone one did: in the settings of all that are left, and word to
        each to read them."""
        self.voters = [new if name == gone else name for name in self.voters]
        assert self.faults is not None
        for copy in self.faults.copies.values():
            self.trees[copy.name]["agreed"]["voters"] = list(self.voters)
            write_yaml(copy.settings, self.trees[copy.name])
            copy.reread()

    def _task(self, work: Coroutine[Any, Any, None]) -> None:
        self.tasks.append(asyncio.get_running_loop().create_task(work))

    def settings(self, name: str, port: int, metrics: int, made: dict[str, Identity]) -> dict[str, Any]:
        """One sender's settings, with peers, the agreed log and its region; its copies' file is written."""
        self.metrics[name] = metrics
        mine = next(one for one in self.stands if one.name == name)
        self.made = made
        self._write_copies(name)
        tree = super().settings(name, port, metrics, made)
        for client in tree["clients"]:
            client["dated"] = True  # its messages carry the time at which they were made
        self.trees[name] = tree | {
            "peers": {
                "copies": f"{name}.copies.yaml",
                "keys": ["peers.key"],
                "listen": f"127.0.0.1:{self.relay.real[name]}",
            },
            "agreed": {
                "folder": f"{name}.agreed",
                "voters": list(self.voters),
                "lease_ms": LEASE,
                "first_epoch": "first_epoch.json",
            },
            "region": {
                "name": mine.region,
                "source": "agreed",
                "clock_error_ms": CLOCK_ERROR,
                "asks_on_ms": ASKS_ON,
            },
        }
        return self.trees[name]

    def _write_copies(self, name: str) -> None:
        """The copies' file of one, with every copy that there is or was."""
        write_yaml(
            self.folder / f"{name}.copies.yaml",
            {
                "copies": [
                    {
                        "name": one.name,
                        "site": one.site,
                        "region": one.region,
                        "address": f"127.0.0.1:{self._port(name, one.name)}",
                    }
                    for one in self.stands
                ]
            },
        )

    def _port(self, name: str, other: str) -> int:
        """Where ``name`` finds ``other``: its own real port, and the relay's for everybody else."""
        return self.relay.real[name] if name == other else self.relay.port(name, other)

    def leader(self) -> str:
        """Who said last, in the highest term, that it leads; empty if nobody did."""
        leading = [one for one in self.told if one.role == "leader"]
        return max(leading, key=lambda one: (one.term, one.at)).copy if leading else ""

    def move(self, region: str) -> None:
        """Head office gives all places to one region: a new file, and word to all copies to read it."""
        known = [parse(copy.epoch.read_bytes()) for copy in self.copies if copy.epoch.exists()]
        if known:
            newest = max(known, key=lambda one: (one.number, one.issued))
            assumed = Assumptions(CLOCK_ERROR, LONGEST * 1000.0, ASKS_ON)
            made = moved(newest, 0, PLACES, region, time.time() * 1000.0, LEASE, assumed).epoch
            (self.folder / "first_epoch.json").write_bytes(msgspec.json.encode(made))
            for copy in self.copies:
                copy.reread()

    async def _ask(self, copy: CopyHandle) -> None:
        """Ask one copy again and again what it says of itself."""
        while True:
            name, life, run, port = copy.name, copy.life, copy.run, self.metrics[copy.name]
            if copy.listens and not copy.stalled:
                agreed, peers = await ask(port, "/agreed", PATIENT), await ask(port, "/peers", PATIENT)
                if agreed is not None and peers is not None and (copy.life, copy.run) == (life, run):
                    self.told.append(self.teller(time.time() - self.start, name, life, run, agreed, peers))
            await asyncio.sleep(EVERY)

    async def stop(self) -> list[tuple[str, int, float]]:
        """Let the faults come to their end and the copies to rest, if nothing failed; then take the last
        copies of the folders, end all processes and close all ports."""
        if self.faults is not None and sys.exception() is None:
            await asyncio.wait(self.tasks[1:2], timeout=LONGER)
            await asyncio.sleep(max(0.0, self.faults.over + REST - self.faults.now()))
        self.ended = time.time()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        problems = [task.exception() for task in self.tasks if not task.cancelled()]
        try:
            return await super().stop()
        finally:
            for copy in self.copies:
                await copy.kill()
            for held in self.held.values():
                held.close()
            if self.keeper is not None:
                await self.keeper.take()
            self.relay.stop()
            for problem in filter(None, problems):
                raise problem
