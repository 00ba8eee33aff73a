"""What a run of very many destinations is set up with: its plan, keys, settings and list."""

from __future__ import annotations

import base64
import json
import re
import resource
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ruamel.yaml import YAML

from brassweir.as2 import keys
from brassweir.lab.rigs.load import Mix
from brassweir.lab.rigs.local import Lines
from brassweir.lab.standins import hooks

KEY = b"a key for the laboratory only"


class Quiet(Lines):
    """A log that counts its lines: thousands of messages a second are not kept."""

    def __init__(self) -> None:
        super().__init__()
        self.counts: Counter[str] = Counter()

    def info(self, event: str, **details: Any) -> None:
        """Count a line."""
        self.counts[event] += 1

    warning = info

    def bind(self, **_: Any) -> Quiet:
        """The same log."""
        return self


@dataclass(slots=True)
class Plan:
    """A run. ``slots`` and limits are the sender's; strikes hit ranges of receivers."""

    mix: Mix
    seed: int = 1
    slots: int = 256
    max_open: int = 4000
    connections: int = 4000
    setups: int = 64
    service: float = 0.02
    strikes: list[hooks.Strike] = field(default_factory=list)
    journaled: bool = False
    lists: list[tuple[float, float]] = field(default_factory=list)  # second, share of the idle replaced
    shortages: list[tuple[float, int, float]] = field(default_factory=list)  # second, how many left, seconds


def rss() -> int:
    """Resident bytes of this process."""
    found = re.search(r"VmRSS:\s+(\d+) kB", Path("/proc/self/status").read_text(encoding="ascii"))
    if found is None:
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024
    return int(found[1]) * 1024


def write(folder: Path, plan: Plan, port: int) -> Path:
    """Keys, settings and the list of a run; returns the settings file."""
    for name in ("hub", "office"):
        if not (folder / f"{name}.key.pem").exists():
            keys.write(keys.make(name, "ec256"), folder)
    secret = "whsec_" + base64.b64encode(KEY).decode()
    (folder / "hook.secret").write_text(secret, encoding="ascii")
    settings = {
        "sender": {
            "name": "idle",
            "listen": "127.0.0.1:0",
            "slots": plan.slots,
            "max_open": plan.max_open,
            "seed": plan.seed,
            "connections": plan.connections,
            "setups": plan.setups,
            "idle_close_ms": 10_000,
            "linger_ms": 0,
            "drain_grace_ms": 3000,
            "max_retry_after_ms": 5000,
            "journaled": plan.journaled,
            "connect_timeout_ms": 1000,
            "order_pause_ms": 200,
        },
        "classes": [
            {"name": "status", "aim_ms": 1500, "deadline_ms": 6000, "effect": "safe"},
            {
                "name": "order",
                "aim_ms": 2000,
                "deadline_ms": 8000,
                "effect": "keyed",
                "window_ms": 8000,
                "in_order": True,
            },
            {"name": "payment", "aim_ms": 2000, "deadline_ms": 8000, "effect": "unsafe"},
        ],
        "kinds": [{"name": "hook", "carrier": "webhook", "secrets": ["hook.secret"]}],
        "limits": {"connections": 64},
        "identity": {"as2_id": "hub", "key": "hub.key.pem", "certificate": "hub.crt.pem"},
        "clients": [
            {
                "as2_id": "office",
                "certificates": ["office.crt.pem"],
                "may_send_to": ["hook-*"],
                "rules": [{"subject": ".", "class": "status"}],
            }
        ],
        "endpoints": "endpoints.jsonl",
    }
    with (folder / "settings.yaml").open("w", encoding="utf-8") as file:
        YAML().dump(settings, file)
    publish(folder, plan.mix.busy, plan.mix.idle, port, 0)
    return folder / "settings.yaml"


def publish(folder: Path, busy: int, idle: int, port: int, replaced: int) -> None:
    """The list; the first ``replaced`` idle ones have an endpoint of another name."""

    def line(number: int) -> str:
        letter = "b" if busy <= number < busy + replaced else "a"
        return json.dumps(
            {
                "name": f"hook-{number}-{letter}",
                "kind": "hook",
                "destination": f"hook-{number}",
                "url": f"http://127.0.0.1:{port}/d/{number}/{letter}",
            }
        )

    fresh = folder / "endpoints.new"
    fresh.write_text("\n".join(line(i) for i in range(busy + idle)) + "\n", encoding="ascii")
    fresh.replace(folder / "endpoints.jsonl")
