"""What one sender costs a message over AS2, signed and encrypted: CPU against the bare cryptographic operations.

One sender as a process of its own; partners and clients in other processes. Prints one JSON object: CPU of the
sender per message over that of the operations it cannot do without, what it carries a second when it is never
left idle, the loop's longest stall at half of that, the decisions' share of CPU, and memory per open message
and per idle connection.
"""

from __future__ import annotations

import asyncio
import json
import multiprocessing
import re
import sys
import tempfile
import time
import urllib.request
from pathlib import Path
from typing import Any

import uvloop
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives.asymmetric import padding, rsa
from ruamel.yaml import YAML

from brassweir.as2 import keys
from brassweir.as2.sending import post, prepare_message
from brassweir.core.offload import Offload
from brassweir.core.ports import Payload
from brassweir.lab.judges.tape import Tape
from brassweir.lab.models.desk import Manner
from brassweir.lab.rigs.fleet import HUB, Fleet
from brassweir.lab.rigs.flood import usage
from brassweir.lab.rigs.handle import free_port
from brassweir.lab.rigs.plan import FleetPlan
from brassweir.lab.standins.partner import Partner
from brassweir.net.client import Address, CallFailed, HttpPool
from brassweir.net.limits import Limits

WORKERS = 4


def bare(identity: Any, rounds: int = 200) -> float:
    """CPU seconds of the operations one message needs: unseal, check, sign, seal, check the receipt, sign ours."""
    key = identity.key
    public = key.public_key()
    assert isinstance(key, rsa.RSAPrivateKey)
    sealed = public.encrypt(b"x" * 32, padding.PKCS1v15())
    signature = key.sign(b"x", padding.PKCS1v15(), hashes.SHA256())
    before = time.process_time()
    for _ in range(rounds):
        key.decrypt(sealed, padding.PKCS1v15())
        key.sign(b"x", padding.PKCS1v15(), hashes.SHA256())
        key.sign(b"x", padding.PKCS1v15(), hashes.SHA256())
        public.verify(signature, b"x", padding.PKCS1v15(), hashes.SHA256())
        public.verify(signature, b"x", padding.PKCS1v15(), hashes.SHA256())
        public.encrypt(b"x" * 32, padding.PKCS1v15())
    return (time.process_time() - before) / rounds


def metric(port: int, name: str) -> float:
    """One series of the sender's metrics."""
    with urllib.request.urlopen(f"http://127.0.0.1:{port}/metrics", timeout=5) as answer:
        text = answer.read().decode()
    found = re.search(rf"^{name} (\S+)$", text, re.MULTILINE)
    return float(found[1]) if found is not None else 0.0


def worker(number: int, folder: str, port: int, sender: int, orders: Any, results: Any) -> None:
    """One partner and one client: carries out rounds given as (messages at once, seconds, messages a second)."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_worker(number, Path(folder), port, sender, orders, results))


async def _worker(number: int, folder: Path, port: int, sender: int, orders: Any, results: Any) -> None:
    loop = asyncio.get_running_loop()
    offload = Offload(2)
    partner_id, client_id = load(folder, f"partner-{number}"), load(folder, f"office-{number}")
    hub = load(folder, HUB)
    manner = Manner(service=0.02, workers=200, queue=2000)
    partner = Partner(partner_id, hub.certificate, manner, Tape(), offload, number, {}, partner_id)
    await partner.listen("a", port)
    pool = HttpPool(Address.parse(f"http://127.0.0.1:{sender}/as2"), Limits(), 2000, 30_000.0, 2000.0)
    results.put("ready")
    count = 0
    while True:
        order = await asyncio.to_thread(orders.get)
        if order is None:
            partner.stop()
            return
        at_once, seconds, rate = order
        end, good, gate = loop.time() + seconds, 0, asyncio.Semaphore(at_once)

        async def one(ident: str, gate: asyncio.Semaphore = gate) -> bool:
            document = json.dumps({"payment": ident, "effect": "safe"}).encode()
            sent = await offload(
                lambda: prepare_message(
                    client_id,
                    partner_id.as2_id,
                    hub.certificate,
                    Payload("application/json", document, f"status p-{ident}"),
                    f"<{ident}@w>",
                    wait=20,
                )
            )
            async with gate:
                try:
                    told = await post(pool, sent, hub.certificate, loop.time() + 20.0, offload)
                except CallFailed:
                    return False
            return told.answer == "delivered"

        tasks: set[asyncio.Task[bool]] = set()
        while loop.time() < end:
            count += 1
            tasks.add(loop.create_task(one(f"w{number}-{count}")))
            if rate:
                await asyncio.sleep(1.0 / rate)
            while len(tasks) >= at_once * 2:
                done, tasks = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
                good += sum(task.result() for task in done)
        done, _ = await asyncio.wait(tasks)
        good += sum(task.result() for task in done)
        results.put(good)


def load(folder: Path, name: str) -> Any:
    """A key written by the parent."""
    from cryptography import x509
    from cryptography.hazmat.primitives.serialization import load_pem_private_key

    from brassweir.as2.message import Identity

    key = load_pem_private_key((folder / f"{name}.key.pem").read_bytes(), None)
    return Identity(name, key, x509.load_pem_x509_certificate((folder / f"{name}.crt.pem").read_bytes()))  # type: ignore[arg-type]


async def main() -> dict[str, Any]:
    """Run all rounds."""
    context = multiprocessing.get_context("spawn")
    with tempfile.TemporaryDirectory() as temporary:
        folder = Path(temporary)
        plan = FleetPlan(senders=1, clients=0, partners={}, slots=400, max_open=4000)
        fleet = Fleet(folder, plan, 1)
        hub = keys.make(HUB)
        for identity in (
            hub,
            *(keys.make(f"{kind}-{i}") for kind in ("partner", "office") for i in range(WORKERS)),
        ):
            keys.write(identity, folder)
        port, metrics, ports = free_port(), free_port(), [free_port() for _ in range(WORKERS)]
        fleet.receipt_urls["s1"] = f"http://127.0.0.1:{port}/as2/receipts"
        tree = fleet.settings("s1", port, metrics, {})
        tree["sender"] |= {"crypto_threads": 4, "log_level": "warning", "connections_per_endpoint": 400}
        tree["clients"] = [
            {
                "as2_id": f"office-{i}",
                "certificates": [f"office-{i}.crt.pem"],
                "may_send_to": [f"partner-{i}"],
                "rules": [{"subject": "^status", "class": "status"}],
            }
            for i in range(WORKERS)
        ]
        tree["partners"] = [
            {"as2_id": f"partner-{i}", "certificates": [f"partner-{i}.crt.pem"]} for i in range(WORKERS)
        ]
        endpoints = {
            "endpoints": [
                {
                    "name": f"partner-{i}-a",
                    "url": f"http://127.0.0.1:{ports[i]}/as2",
                    "partner": f"partner-{i}",
                    "kind": "partner",
                }
                for i in range(WORKERS)
            ]
        }
        for path, content in ((folder / "s1.yaml", tree), (folder / "endpoints.yaml", endpoints)):
            with path.open("w") as file:
                YAML().dump(content, file)
        orders = [context.Queue() for _ in range(WORKERS)]
        results = context.Queue()
        workers = [
            context.Process(
                target=worker, args=(i, temporary, ports[i], port, orders[i], results), daemon=True
            )
            for i in range(WORKERS)
        ]
        for one in workers:
            one.start()
        for _ in workers:
            results.get(timeout=30)
        sender = fleet.launch("s1", folder / "s1.yaml", port)
        await sender.start()
        pid = sender.process.pid  # type: ignore[attr-defined]

        def round_of(at_once: int, seconds: float, rate: float = 0.0) -> tuple[int, float]:
            before = usage(pid).cpu
            for order in orders:
                order.put((at_once, seconds, rate))
            good = sum(results.get(timeout=seconds + 60) for _ in workers)
            return good, usage(pid).cpu - before

        try:
            round_of(8, 3.0)
            begun = time.monotonic()
            full, spent = round_of(24, 15.0)
            carried = full / (time.monotonic() - begun)
            decisions = metric(metrics, "brassweir_decision_cpu_seconds_total")
            total = usage(pid).cpu
            half, half_spent = round_of(100, 21.0, carried / 2 / WORKERS)
            stall = metric(metrics, "brassweir_loop_stall_seconds")
            idle_before = usage(pid).rss
            held = [await asyncio.open_connection("127.0.0.1", port) for _ in range(1000)]
            await asyncio.sleep(0.5)
            idle = (usage(pid).rss - idle_before) / len(held)
            for _, writer in held:
                writer.close()
            operations = bare(hub)
            return {
                "bare_operations_ms": round(operations * 1000, 3),
                "sender_cpu_ms_per_message": {
                    "full": round(spent / full * 1000, 3),
                    "half": round(half_spent / half * 1000, 3),
                },
                "ratio_to_bare": {
                    "full": round(spent / full / operations, 2),
                    "half": round(half_spent / half / operations, 2),
                },
                "carried_per_second": round(carried, 1),
                "loop_stall_ms_at_half_load": round(stall * 1000, 1),
                "decisions_share_of_cpu": round(decisions / total, 4),
                "idle_connection_bytes": round(idle),
            }
        finally:
            for order in orders:
                order.put(None)
            await sender.drain(10.0)
            for one in workers:
                one.join(5.0)


if __name__ == "__main__":
    with asyncio.Runner() as runner:
        print(json.dumps(runner.run(main()), indent=2))
    sys.exit(0)
