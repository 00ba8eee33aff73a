"""A fleet on loopback: files in a folder, stand-in partners and clients here, senders as processes."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

from brassweir.as2.keys import make, write
from brassweir.as2.message import Identity
from brassweir.core.offload import Offload
from brassweir.lab.judges.tape import Published, Tape
from brassweir.lab.rigs.fleet_settings import (
    KINDS,
    class_sections,
    client_section,
    endpoint_list,
    forward_section,
    partner_section,
    sender_section,
    write_yaml,
)
from brassweir.lab.rigs.handle import Handle, SenderHandle, free_port
from brassweir.lab.rigs.plan import FleetPlan
from brassweir.lab.standins.client import Client
from brassweir.lab.standins.partner import Partner
from brassweir.lab.standins.shipper import Shipper
from brassweir.lab.standins.sink import Sink
from brassweir.lab.standins.works import Works
from brassweir.undelivered.item import UndeliveredItem
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
            write_yaml(path, self.settings(name, port, metrics, made))
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
            if isinstance(item, UndeliveredItem)
        }

    def settings(self, name: str, port: int, metrics: int, made: dict[str, Identity]) -> dict[str, Any]:
        """The settings file of one sender, as a tree."""
        plan, shippers = self.plan, [shipper.name for shipper in self.shippers]
        forward = forward_section(plan, name, self.forward_ports[-1], shippers) if shippers else None
        may_send_to = [*self.partners, *(["*"] if self.sinks else [])]
        return {
            "sender": sender_section(plan, self.seed * 100 + len(self.senders), name, port, metrics),
            "classes": class_sections(plan),
            "kinds": [dict(kind) for kind in KINDS],
            **({"forward": forward} if forward else {}),
            "identity": {
                "as2_id": HUB,
                "key": f"{HUB}.key.pem",
                "certificate": f"{HUB}.crt.pem",
                "receipt_url": self.receipt_urls[name],
            },
            "clients": [client_section(plan, client, may_send_to) for client in self.clients],
            "partners": [partner_section(partner) for partner in self.partners.values()],
            "endpoints": "endpoints.yaml",
        }

    def publish(self, change: dict[str, str]) -> None:
        """Write the endpoint list with some states changed; gone endpoints leave it."""
        self.states.update(change)
        path = self.folder / "endpoints.yaml"
        fresh = path.with_suffix(".new")
        write_yaml(fresh, endpoint_list(self.states, self.urls, self.sinks.keys()))
        fresh.replace(path)
        self.tape.add(Published(time.time(), dict(self.states)))

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
