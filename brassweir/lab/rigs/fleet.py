"""A fleet on loopback: files in a folder, stand-in partners and clients here, senders as processes."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

from ruamel.yaml import YAML

from brassweir.as2.keys import file_name, make, write
from brassweir.as2.message import Identity
from brassweir.core.offload import Offload
from brassweir.lab.judges.tape import Published, Tape
from brassweir.lab.rigs.handle import Handle, SenderHandle, free_port
from brassweir.lab.rigs.plan import FleetPlan
from brassweir.lab.standins.client import Client
from brassweir.lab.standins.partner import Partner
from brassweir.lab.standins.shipper import Shipper
from brassweir.lab.standins.sink import Sink
from brassweir.lab.standins.works import Works
from brassweir.undelivered.item import Item
from brassweir.undelivered.store import read_all

HUB = "brassweir-hub"
SINK_KEY = b"key of all sinks"


class Fleet:
    """All parts of one run, in one folder."""

    def __init__(
        self,
        folder: Path,
        plan: FleetPlan,
        seed: int,
        launch: Callable[[str, Path, int], Handle] = SenderHandle,
    ) -> None:
        self.folder, self.plan, self.seed, self.launch = folder, plan, seed, launch
        self.tape = Tape()
        self.offload = Offload(4)
        self.senders: list[Handle] = []
        self.partners: dict[str, Partner] = {}
        self.clients: list[Client] = []
        self.sinks: dict[str, Sink] = {}
        self.shippers: list[Shipper] = []
        self.forward_ports: list[int] = []
        self.receipt_urls: dict[str, str] = {}
        self.locks = [asyncio.Lock() for _ in range(plan.senders)]  # one start or end of a sender at a time
        self.states: dict[str, str] = {}
        self.urls: dict[str, tuple[str, str]] = {}  # endpoint: url, partner

    async def set_up(self) -> None:
        """Make keys, start partners and clients, write all files, and start the senders."""
        names = [HUB, "stranger", *(f"office {i + 1}" for i in range(self.plan.clients)), *self.plan.partners]
        with ThreadPoolExecutor(8) as pool:
            made = dict(zip(names, pool.map(lambda name: make(name, self.plan.kind), names), strict=True))
        for identity in made.values():
            write(identity, self.folder)
        hub = made[HUB].certificate
        for number, (name, manner) in enumerate(self.plan.partners.items()):
            partner = Partner(
                made[name],
                hub,
                manner,
                self.tape,
                self.offload,
                self.seed * 1000 + number,
                self.receipt_urls,
                made["stranger"],
            )
            self.partners[name] = partner
            for letter in "abcdefgh"[: self.plan.endpoints]:
                endpoint = f"{name}-{letter}"
                port = await partner.listen(endpoint)
                self.urls[endpoint] = (f"http://127.0.0.1:{port}/as2", name)
                self.states[endpoint] = "ready"
        await self._set_up_forward()
        for i in range(self.plan.clients):
            client = Client(
                made[f"office {i + 1}"],
                hub,
                self.tape,
                self.offload,
                lambda n: f"http://127.0.0.1:{self.senders[n].port}/as2",
                lambda n: self.senders[n].name,
            )
            if i < self.plan.async_clients:
                await client.listen()
            self.clients.append(client)
        self.publish({})
        for i in range(self.plan.senders):
            port, metrics = free_port(), free_port()
            name = f"s{i + 1}"
            self.forward_ports.append(free_port())
            self.receipt_urls[name] = f"http://127.0.0.1:{port}/as2/receipts"
            path = self.folder / f"{name}.yaml"
            self._write(path, self.settings(name, port, metrics, made))
            self.senders.append(self.launch(name, path, port))
        await asyncio.gather(*(sender.start() for sender in self.senders))

    async def _set_up_forward(self) -> None:
        """Keys, sinks and shippers, where the plan has any."""
        (self.folder / "sink.key").write_bytes(SINK_KEY + b"\n")
        for number, (name, manner) in enumerate(self.plan.sinks.items()):
            sink = self.sinks[name] = Sink(name, SINK_KEY, manner, self.tape, self.seed * 1000 + 500 + number)
            for letter in "abcdefgh"[: self.plan.endpoints]:
                port = await sink.listen(f"{name}-{letter}")
                self.urls[f"{name}-{letter}"] = (f"forward://127.0.0.1:{port}", name)
                self.states[f"{name}-{letter}"] = "ready"
        for i in range(self.plan.shippers):
            key = f"key of shipper {i + 1}".encode()
            (self.folder / f"shipper-{i + 1}.key").write_bytes(key + b"\n")
            self.shippers.append(
                Shipper(
                    f"shipper-{i + 1}",
                    key,
                    self.tape,
                    lambda n: self.forward_ports[n],
                    lambda n: self.senders[n].name,
                    self.seed * 1000 + 700 + i,
                    self.plan.ack_timeout,
                )
            )

    def works(self) -> dict[str, Works]:
        """All stand-in destinations."""
        return {**self.partners, **self.sinks}

    def kept(self) -> set[str]:
        """Identities of the chunks that senders keep for the operator."""
        folders = [self.folder / f"{sender.name}.kept" for sender in self.senders]
        return {
            item.identity
            for folder in folders
            if folder.exists()
            for _, item in read_all(folder)
            if isinstance(item, Item)
        }

    def _forward(self, name: str, port: int) -> dict[str, Any]:
        rules = [
            {
                "tag": f"{cls.name}.**",
                "class": cls.name,
                "destination": "{1}",
                "body": "msgpack" if cls.effect == "safe" else "json-lines",
                "key": "{1}.{2}" if cls.in_order else "",
            }
            for cls in self.plan.classes
            if cls.effect != "unsafe"
        ]
        return {
            "listen": f"127.0.0.1:{port}",
            "kept": f"{name}.kept",
            "sources": [
                {"name": shipper.name, "shared_keys": [f"{shipper.name}.key"], "rules": rules}
                for shipper in self.shippers
            ],
        }

    def settings(self, name: str, port: int, metrics: int, made: dict[str, Identity]) -> dict[str, Any]:
        """The settings file of one sender, as a tree."""
        plan = self.plan
        return {
            "sender": {
                "name": name,
                "listen": f"127.0.0.1:{port}",
                "metrics": f"127.0.0.1:{metrics}",
                "seed": self.seed * 100 + len(self.senders),
                "slots": plan.slots,
                "max_open": plan.max_open,
                "senders": plan.senders,
                "connect_timeout_ms": 1000,
                "max_retry_after_ms": 5000,
                "idle_close_ms": 5000,
                "order_pause_ms": 200,
                "cold_ms": 5000,
                "start_capacity": 0.25,
                "tip_multiple": 2.0,
                "drain_grace_ms": plan.drain_grace * 1000,
                "crypto_threads": 2,
            },
            "classes": [
                {
                    "name": cls.name,
                    "aim_ms": cls.aim * 1000,
                    "deadline_ms": cls.deadline * 1000,
                    "effect": cls.effect,
                    "window_ms": cls.window * 1000,
                    "in_order": cls.in_order,
                    "late_worth": 0.3,
                }
                for cls in plan.classes
            ],
            "kinds": [
                {"name": "partner"},
                {"name": "sink", "carrier": "forward", "shared_key": "sink.key", "batch": 4},
            ],
            **({"forward": self._forward(name, self.forward_ports[-1])} if self.shippers else {}),
            "identity": {
                "as2_id": HUB,
                "key": f"{HUB}.key.pem",
                "certificate": f"{HUB}.crt.pem",
                "receipt_url": self.receipt_urls[name],
            },
            "clients": [
                {
                    "as2_id": client.name,
                    "certificates": [f"{file_name(client.name)}.crt.pem"],
                    "may_send_to": [*self.partners, *(["*"] if self.sinks else [])],
                    **({"receipt_url": client.receipt_url} if client.receipt_url else {}),
                    "rules": [
                        {"subject": rf"^{cls.name} \S+(?: key-(?P<key>\S+))?", "class": cls.name}
                        for cls in plan.classes
                    ],
                }
                for client in self.clients
            ],
            "partners": [
                {
                    "as2_id": partner.name,
                    "certificates": [f"{file_name(partner.name)}.crt.pem"],
                    "receipt": "async" if partner.manner.asynchronous else "sync",
                }
                for partner in self.partners.values()
            ],
            "endpoints": "endpoints.yaml",
        }

    def publish(self, change: dict[str, str]) -> None:
        """Write the endpoint list with some states changed; gone endpoints leave it."""
        self.states.update(change)
        tree = {
            "endpoints": [
                {
                    "name": name,
                    "url": self.urls[name][0],
                    "state": state,
                    **(
                        {"destination": self.urls[name][1], "kind": "sink"}
                        if self.urls[name][1] in self.sinks
                        else {"partner": self.urls[name][1], "kind": "partner"}
                    ),
                }
                for name, state in self.states.items()
                if state != "gone"
            ]
        }
        path = self.folder / "endpoints.yaml"
        fresh = path.with_suffix(".new")
        self._write(fresh, tree)
        fresh.replace(path)
        self.tape.add(Published(time.time(), dict(self.states)))

    @staticmethod
    def _write(path: Path, tree: dict[str, Any]) -> None:
        with path.open("w", encoding="utf-8") as file:
            YAML().dump(tree, file)

    async def stop(self) -> list[tuple[str, int, float]]:
        """Drain every sender, then end all; names, exit codes and seconds."""
        running = [sender for sender in self.senders if sender.running]
        ends = await asyncio.gather(*(sender.drain(self.plan.drain_grace + 2.0) for sender in running))
        for client in self.clients:
            client.stop()
        for shipper in self.shippers:
            shipper.stop()
        for one in self.works().values():
            one.stop()
        self.offload.close()
        return [(sender.name, code, took) for sender, (code, took) in zip(running, ends, strict=True)]
