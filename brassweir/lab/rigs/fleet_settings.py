"""The settings files of a fleet on loopback, section by section, and its endpoint list."""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from pathlib import Path
from typing import Any

from ruamel.yaml import YAML

from brassweir.as2.keys import file_name
from brassweir.lab.rigs.plan import FleetPlan
from brassweir.lab.standins.client import Client
from brassweir.lab.standins.partner import Partner

KINDS = (
    {"name": "partner"},
    {"name": "sink", "carrier": "forward", "shared_key": "sink.key", "batch": 4},
)


def write_yaml(path: Path, tree: Mapping[str, Any]) -> None:
    """Write a settings file."""
    with path.open("w", encoding="utf-8") as file:
        YAML().dump(tree, file)


def sender_section(plan: FleetPlan, seed: int, name: str, port: int, metrics: int) -> dict[str, Any]:
    """What one sender is, and its limits."""
    return {
        "name": name,
        "listen": f"127.0.0.1:{port}",
        "metrics": f"127.0.0.1:{metrics}",
        "seed": seed,
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
    }


def class_sections(plan: FleetPlan) -> list[dict[str, Any]]:
    """The classes of messages."""
    return [
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
    ]


def forward_section(plan: FleetPlan, name: str, port: int, shippers: Sequence[str]) -> dict[str, Any]:
    """Where shippers bring chunks, and how their tags become messages."""
    rules = [
        {
            "tag": f"{cls.name}.**",
            "class": cls.name,
            "destination": "{1}",
            "body": "msgpack" if cls.effect == "safe" else "json-lines",
            "key": "{1}.{2}" if cls.in_order else "",
        }
        for cls in plan.classes
        if cls.effect != "unsafe"
    ]
    return {
        "listen": f"127.0.0.1:{port}",
        "kept": f"{name}.kept",
        "sources": [
            {"name": shipper, "shared_keys": [f"{shipper}.key"], "rules": rules} for shipper in shippers
        ],
    }


def client_section(plan: FleetPlan, client: Client, may_send_to: Sequence[str]) -> dict[str, Any]:
    """An AS2 client: whom it may send to, and which class its messages have."""
    return {
        "as2_id": client.name,
        "certificates": [f"{file_name(client.name)}.crt.pem"],
        "may_send_to": list(may_send_to),
        **({"receipt_url": client.receipt_url} if client.receipt_url else {}),
        "rules": [
            {"subject": rf"^{cls.name} \S+(?: key-(?P<key>\S+))?", "class": cls.name} for cls in plan.classes
        ],
    }


def partner_section(partner: Partner) -> dict[str, Any]:
    """An AS2 partner: its certificate, and how it sends receipts."""
    return {
        "as2_id": partner.name,
        "certificates": [f"{file_name(partner.name)}.crt.pem"],
        "receipt": "async" if partner.manner.asynchronous else "sync",
    }


def endpoint_list(
    states: Mapping[str, str], urls: Mapping[str, tuple[str, str]], sinks: Collection[str]
) -> dict[str, Any]:
    """The endpoint list; those that are gone are not on it. ``urls``: of each endpoint, and whose it is."""
    endpoints = []
    for name, state in states.items():
        if state == "gone":
            continue
        url, owner = urls[name]
        kind = (
            {"destination": owner, "kind": "sink"}
            if owner in sinks
            else {"partner": owner, "kind": "partner"}
        )
        endpoints.append({"name": name, "url": url, "state": state, **kind})
    return {"endpoints": endpoints}
