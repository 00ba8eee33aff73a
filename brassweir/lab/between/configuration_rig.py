"""Six copies that share an endpoint configuration, as processes, with a relay and faults between them."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Coroutine
from pathlib import Path
from typing import Any

import msgspec
from ruamel.yaml import YAML

from brassweir.lab.between.asking import ask, told_of
from brassweir.lab.between.configuration_seen import Shown, shown_of
from brassweir.lab.between.copy import CopyHandle
from brassweir.lab.between.edits import DESTINATIONS, KIND, destination
from brassweir.lab.between.fate import Fates
from brassweir.lab.between.faults import Faults
from brassweir.lab.between.folders import read_folder
from brassweir.lab.between.keeper import Keeper
from brassweir.lab.between.relay import Relay
from brassweir.lab.between.rig import CLOCK_ERROR, EVERY, KEY, LEASE, PATIENT, hold_udp_port
from brassweir.lab.between.schedule import Schedule
from brassweir.lab.between.seen import Told
from brassweir.lab.between.sites import Stand
from brassweir.lab.rigs.handle import free_port
from brassweir.regions.planning import first_epoch, handed_over

STANDS = tuple(
    Stand(f"{role}{number}", f"site-{site}", region, role == "c")
    for role in "cs"
    for number, site, region in ((1, "a", "east"), (2, "b", "west"), (3, "c", "north"))
)
EDITORS = ("c1", "c2")
SENDERS = tuple(one.name for one in STANDS if not one.voter)
LONGEST_DEADLINE = 8_000.0  # ms, of all classes
ENDS_WITHIN = 15.0  # s that a copy may take to drain


class ConfigurationRig:
    """One run. Control machines vote and edit; senders follow."""

    def __init__(self, folder: Path, seed: int, schedule: Schedule, without: str = "") -> None:
        self.folder = folder
        self.fates = Fates(seed, {one.name: one.site for one in STANDS})
        self.held = {one.name: hold_udp_port() for one in STANDS}
        self.relay = Relay({name: held.getsockname()[1] for name, held in self.held.items()}, self.fates)
        self.copies = [
            CopyHandle(one.name, folder / f"{one.name}.yaml", free_port(), without) for one in STANDS
        ]
        self.told: list[Told] = []
        self.shown: list[Shown] = []
        self.modules: dict[str, dict[str, set[str]]] = {}  # at the end: what each sender's module knows
        self.keeper = Keeper(folder / "copies", self.copies, read_folder)
        self.faults = Faults(schedule, self.copies, self.fates, self.leader, self.keeper.older)
        self.tasks: list[asyncio.Task[None]] = []
        self.exits: dict[str, int] = {}
        self.start = time.time()

    def now(self) -> float:
        """Seconds since the start."""
        return time.time() - self.start

    def copy(self, name: str) -> CopyHandle:
        """A copy by its name."""
        return next(one for one in self.copies if one.name == name)

    def list_file(self, name: str) -> Path:
        """The list that is edited there."""
        return self.folder / f"{name}.jsonl"

    def leader(self) -> str:
        """Who said last, in the highest term, that it leads; empty if nobody did."""
        leading = [one for one in self.told if one.role == "leader"]
        return max(leading, key=lambda one: (one.term, one.at)).copy if leading else ""

    async def set_up(self, listed: str) -> None:
        """The relay first, then all copies; ``listed``: what stands in the edited lists at first."""
        await self.relay.listen()
        for held in self.held.values():
            held.close()
        (self.folder / "peers.key").write_bytes(KEY)
        (self.folder / "edge.key").write_text("a key of the rig\n")
        now = time.time() * 1000.0
        regions = {one.region: f"http://127.0.0.1/{one.region}" for one in STANDS}
        epoch = handed_over(first_epoch(regions, now, LEASE), now)
        (self.folder / "first_epoch.json").write_bytes(msgspec.json.encode(epoch))
        for stand in STANDS:
            self._write(f"{stand.name}.copies.yaml", self._copies_of(stand.name))
            self._write(f"{stand.name}.yaml", self._settings(stand))
        for name in EDITORS:
            self.list_file(name).write_text(listed)
        await asyncio.gather(*(copy.start() for copy in self.copies))
        for copy in self.copies:
            self.task(self._watch(copy))

    def begin(self) -> None:
        """The day begins: faults, and copies of the folders."""
        self.start = self.relay.start = self.keeper.start = self.faults.start = time.time()
        self.relay.tape.seen.clear()
        self.told.clear()
        self.shown.clear()
        self.task(self.keeper.watch())
        self.task(self.faults.play())

    def task(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Begin something that ends with the run."""
        made = asyncio.create_task(work)
        self.tasks.append(made)
        return made

    def _write(self, name: str, tree: dict[str, Any]) -> None:
        with (self.folder / name).open("w", encoding="utf-8") as file:
            YAML(typ="safe").dump(tree, file)

    def _copies_of(self, name: str) -> dict[str, Any]:
        """The copies' file of one: everybody else is behind the relay."""
        return {
            "copies": [
                {
                    "name": one.name,
                    "site": one.site,
                    "region": one.region,
                    "address": f"127.0.0.1:{self._port(name, one.name)}",
                }
                for one in STANDS
            ]
        }

    def _port(self, name: str, other: str) -> int:
        return self.relay.real[name] if name == other else self.relay.port(name, other)

    def _settings(self, stand: Stand) -> dict[str, Any]:
        name = stand.name
        configuration = {"list": self.list_file(name).name} if name in EDITORS else {}
        tree: dict[str, Any] = {
            "sender": {"name": name, "metrics": f"127.0.0.1:{self.copy(name).port}"},
            "peers": {
                "copies": f"{name}.copies.yaml",
                "keys": ["peers.key"],
                "listen": f"127.0.0.1:{self.relay.real[name]}",
            },
            "agreed": {
                "folder": f"{name}.agreed",
                "voters": [one.name for one in STANDS if one.voter],
                "lease_ms": LEASE,
                "first_epoch": "first_epoch.json",
                "configuration": configuration,
            },
            "region": {"name": stand.region, "source": "agreed", "clock_error_ms": CLOCK_ERROR},
        }
        if stand.voter:
            tree["region"]["longest_deadline_ms"] = LONGEST_DEADLINE
            return tree
        return tree | self._delivery(tree["sender"])

    def _delivery(self, sender: dict[str, Any]) -> dict[str, Any]:
        """What only senders have."""
        return {
            "sender": sender | {"slots": 8, "max_open": 100, "drain_grace_ms": 500.0},
            "classes": [
                {"name": "status", "aim_ms": 1000.0, "deadline_ms": LONGEST_DEADLINE, "effect": "safe"}
            ],
            "kinds": [{"name": KIND, "carrier": "forward", "shared_key": "edge.key"}],
            "forward": {
                "listen": "127.0.0.1:0",
                "sources": [
                    {
                        "name": "edge",
                        "shared_keys": ["edge.key"],
                        "rules": [{"tag": "app.**", "class": "status", "destination": destination(0)}],
                    }
                ],
            },
            "endpoints": "agreed",
        }

    async def _watch(self, copy: CopyHandle) -> None:
        """Ask one copy again and again what it says of itself."""
        while True:
            life, run = copy.life, copy.run
            if copy.listens and not copy.stalled:
                found = [
                    await ask(copy.port, path, PATIENT) for path in ("/agreed", "/peers", "/configuration")
                ]
                agreed, peers, configuration = found
                if agreed and peers and configuration and (copy.life, copy.run) == (life, run):
                    at = self.now()
                    self.told.append(told_of(at, copy.name, life, run, agreed, peers))
                    self.shown.append(shown_of(at, copy.name, life, run, configuration, agreed))
            await asyncio.sleep(EVERY)

    async def ask_modules(self) -> None:
        """What the decision module of each sender knows of each destination."""
        for name in SENDERS:
            known = self.modules[name] = {}
            for number in range(DESTINATIONS):
                home = destination(number)
                found = await ask(self.copy(name).port, f"/destinations/{home}", 2.0)
                rows = found["endpoints"] if found is not None else []
                known[home] = {
                    row if isinstance(row, str) else str(row["name"])
                    for row in rows
                    if isinstance(row, str) or row["state"] != "gone"
                }

    async def stop(self) -> None:
        """End all processes and close all ports."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        problems = [task.exception() for task in self.tasks if not task.cancelled()]
        ends = await asyncio.gather(*(self._end(copy) for copy in self.copies))
        self.exits = dict(zip((copy.name for copy in self.copies), ends, strict=True))
        await self.keeper.take()
        self.relay.stop()
        for problem in filter(None, problems):
            raise problem

    async def _end(self, copy: CopyHandle) -> int:
        if not copy.running:
            return 0
        code, _ = await copy.drain(ENDS_WITHIN)
        return code
