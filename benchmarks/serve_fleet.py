"""Real ``serve`` processes on loopback for measurements: control machines, senders, and what is seen of them
from outside: their operations endpoint, their log, and the kernel's figures of the process."""

from __future__ import annotations

import http.client
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterable, Sequence
from contextlib import suppress
from pathlib import Path
from typing import Any

from brassweir.lab.rigs.handle import free_port

WAIT = 120.0  # seconds that any condition may take
TICK = os.sysconf("SC_CLK_TCK")
PEERS = "peers: {copies: copies.yaml, keys: [peers.key]}\n"
SENDER = """\
sender: {{name: {name}, metrics: '127.0.0.1:{metrics}', slots: 8, max_open: 100}}
classes:
  - {{name: status, aim_ms: 1000, deadline_ms: 8000, effect: safe}}
kinds:
  - {{name: collectors, carrier: forward, shared_key: out.key, batch: 4}}
forward:
  listen: 127.0.0.1:0
  sources:
    - {{name: edge-1, shared_keys: [edge.key], rules: [{{tag: "app.**", class: status, destination: "d{{1}}"}}]}}
endpoints: {endpoints}
"""


# A log is folded into a snapshot so soon that a short run sees it: the real spans are 4,096 and 1,024 entries.
LAUNCH = """\
import sys
from brassweir.agreed import timing
timing.SNAPSHOT_ENTRIES, timing.KEPT_ENTRIES = 48, 16
from brassweir.cli.main import main
sys.argv = ["brassweir", *sys.argv[1:]]
sys.exit(main())
"""


def line(number: int, rate: float = 0.0) -> str:
    """One endpoint, of a destination of its own, as a JSON line."""
    entry = {
        "name": f"endpoint-{number:05}",
        "url": f"forward://collector-{number % 971}.example:{1024 + number % 60_000}",
        "destination": f"d{number:05}",
        "kind": "collectors",
        "zone": f"zone-{number % 10}",
    }
    return json.dumps(entry | ({"rate": rate} if rate else {})) + "\n"


class EndpointList:
    """The operator's list."""

    def __init__(self, count: int) -> None:
        self.lines = [line(number) for number in range(count)]

    def change(self, numbers: Iterable[int], rate: float) -> str:
        """Give some endpoints another rate; the whole list after it."""
        for number in numbers:
            self.lines[number] = line(number, rate)
        return self.text()

    def text(self) -> str:
        """All of it."""
        return "".join(self.lines)


class Serving:
    """One process in a folder of its own."""

    def __init__(self, home: Path, name: str, metrics: int) -> None:
        self.home, self.name, self.metrics = home / name, name, metrics
        self.process: subprocess.Popen[bytes] | None = None
        self.home.mkdir()
        for key in ("edge.key", "out.key", "peers.key"):
            (self.home / key).write_text("a key of this fleet\n")

    def start(self) -> None:
        """Start it; it goes on from its folder."""
        with (self.home / "log").open("ab") as log:
            command = [sys.executable, "-c", LAUNCH, "serve", str(self.home / "s.yaml")]
            self.process = subprocess.Popen(command, stderr=log, stdout=log)

    def kill(self) -> None:
        """End it at once."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
            self.process = None

    def hangup(self) -> None:
        """Ask it to read its list."""
        assert self.process is not None
        self.process.send_signal(signal.SIGHUP)

    def ask(self, path: str) -> bytes:
        """What its operations endpoint answers; nothing if it does not."""
        connection = http.client.HTTPConnection("127.0.0.1", self.metrics, timeout=10.0)
        with suppress(OSError, http.client.HTTPException):
            connection.request("GET", path)
            return connection.getresponse().read()
        return b""

    def tree(self, path: str) -> dict[str, Any]:
        """The same as a tree."""
        try:
            found = json.loads(self.ask(path) or b"{}")
        except ValueError:
            return {}
        return found if isinstance(found, dict) else {}

    def metric(self, series: str) -> float:
        """One of its metrics; 0 if it does not show it."""
        for line in self.ask("/metrics").decode().splitlines():
            if line.startswith(f"{series} "):
                return float(line.rpartition(" ")[2])
        return 0.0

    def traffic(self) -> float:
        """Bytes of datagrams sent and taken since it started."""
        text = self.ask("/metrics").decode().splitlines()
        found = [line for line in text if "brassweir_peers{" in line and '"bytes_' in line]
        return sum(float(line.rpartition(" ")[2]) for line in found)

    def cpu(self) -> float:
        """Seconds of processor time since it started."""
        assert self.process is not None
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICK

    def memory(self, field: str = "VmRSS") -> float:
        """Resident MB; with VmHWM the most there ever were."""
        assert self.process is not None
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return next(int(line.split()[1]) for line in status.splitlines() if line.startswith(field)) / 1024.0

    def logged(self, event: str) -> list[dict[str, Any]]:
        """What it has logged of one kind."""
        text = (self.home / "log").read_text()
        lines = [json.loads(line) for line in text.splitlines() if line.startswith("{")]
        return [line for line in lines if line.get("event") == event]


class Fleet:
    """Control machines, all voters, of which the first has the edited list; and senders that follow."""

    def __init__(self, home: Path, controls: Sequence[str], senders: Sequence[str]) -> None:
        names = [*controls, *senders]
        ports = {name: free_port(socket.SOCK_DGRAM) for name in names}
        self.copies = {name: Serving(home, name, free_port(socket.SOCK_STREAM)) for name in names}
        self.controls, self.senders = tuple(controls), tuple(senders)
        self.list = self.copies[controls[0]].home / "list.jsonl"
        written = "copies:\n" + "".join(
            f"  - {{name: {name}, site: x{name}, region: r1, address: '127.0.0.1:{port}'}}\n"
            for name, port in ports.items()
        )
        self.list.write_text("")
        for name, copy in self.copies.items():
            (copy.home / "copies.yaml").write_text(written)
            edits = "{list: list.jsonl}" if name == controls[0] else "{}"
            shared = f"{PEERS}agreed: {{voters: [{', '.join(controls)}], configuration: {edits}}}\n"
            own = f"sender: {{name: {name}, metrics: '127.0.0.1:{copy.metrics}'}}\n"
            if name in senders:
                own = SENDER.format(name=name, metrics=copy.metrics, endpoints="agreed")
            (copy.home / "s.yaml").write_text(own + shared)

    def __enter__(self) -> Fleet:
        for copy in self.copies.values():
            copy.start()
        self.until(lambda: all(self.shown(name).get("level") == 2 for name in self.copies), "level 2 at all")
        return self

    def __exit__(self, *_: object) -> None:
        for copy in self.copies.values():
            copy.kill()

    def shown(self, name: str) -> dict[str, Any]:
        """The configuration as that copy shows it."""
        return self.copies[name].tree("/configuration")

    def publish(self, text: str) -> float:
        """The operator edits the list and says so; returns when (s)."""
        fresh = self.list.with_suffix(".new")
        fresh.write_text(text)
        fresh.replace(self.list)
        self.copies[self.controls[0]].hangup()
        return time.monotonic()

    def wait_in_force(self, after: int, names: Sequence[str]) -> int:
        """Wait until one version newer than that is agreed, and in force at these; returns it."""

        def is_so() -> bool:
            found = {self.shown(name).get("in_force", 0) for name in names}
            return len(found) == 1 and found.pop() > after

        self.until(is_so, f"a version after {after} in force")
        return int(self.shown(names[0])["version"])

    def lose_folder(self, name: str) -> None:
        """Nothing of the log is left at that copy."""
        shutil.rmtree(self.copies[name].home / f"{name}.agreed")

    def until(self, what: Callable[[], bool], words: str) -> None:
        """Wait for a condition. Raises TimeoutError."""
        end = time.monotonic() + WAIT
        while not what():
            if time.monotonic() > end:
                raise TimeoutError(words)
            time.sleep(0.05)


def alone(home: Path, text: str) -> Serving:
    """A sender without peers and log, with this list from a file."""
    made = Serving(home, "alone", free_port(socket.SOCK_STREAM))
    (made.home / "list.jsonl").write_text(text)
    (made.home / "s.yaml").write_text(
        SENDER.format(name="alone", metrics=made.metrics, endpoints="list.jsonl")
    )
    return made
