"""Real ``brassweir serve`` processes on loopback, each in a folder of its own, and what they show."""

from __future__ import annotations

import json
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from collections.abc import Callable
from pathlib import Path
from typing import Any

from brassweir.lab.rigs.handle import free_port

WAIT = 30.0  # seconds that any condition may take, on a machine with other work


class Processes:
    """Copies by name; each finds its copies' file and key in its folder."""

    def __init__(self, home: Path, sites: dict[str, tuple[str, str]]) -> None:
        """``sites``: site and region of each copy."""
        self.home, self.names = home, tuple(sites)
        self.metrics = {name: free_port(socket.SOCK_STREAM) for name in sites}
        self.ports = {name: free_port(socket.SOCK_DGRAM) for name in sites}
        self.running: dict[str, subprocess.Popen[bytes]] = {}
        listed = "copies:\n" + "".join(
            f"  - {{name: {name}, site: {site}, region: {region}, address: '127.0.0.1:{self.ports[name]}'}}\n"
            for name, (site, region) in sites.items()
        )
        for name in sites:
            (home / name).mkdir()
            (home / name / "copies.yaml").write_text(listed)
            (home / name / "peers.key").write_text("a key of this fleet\n")

    def settings(self, name: str) -> Path:
        """Where a copy's settings are."""
        return self.home / name / "s.yaml"

    def start(self, name: str) -> None:
        """Start a copy; its log goes on where it was."""
        with (self.home / name / "log").open("ab") as log:
            self.running[name] = subprocess.Popen(
                [sys.executable, "-m", "brassweir", "serve", str(self.settings(name))], stderr=log
            )

    def kill(self, name: str) -> None:
        """End a copy at once."""
        self.running[name].kill()
        self.running[name].wait()

    def shown(self, name: str, path: str) -> Any:
        """What a copy shows to operators; nothing while it cannot be asked."""
        try:
            with urllib.request.urlopen(
                f"http://127.0.0.1:{self.metrics[name]}{path}", timeout=2.0
            ) as answer:
                return answer.read() if path == "/metrics" else json.load(answer)
        except (OSError, urllib.error.URLError):
            return {}

    def log(self, name: str) -> str:
        """All that a copy has logged, over all its runs."""
        return (self.home / name / "log").read_text()

    def until(self, what: Callable[[], bool], words: str, path: str = "/agreed") -> None:
        """Wait for a condition; a failure shows what each copy shows and said last."""
        end = time.monotonic() + WAIT
        while not what():
            assert time.monotonic() < end, (
                words,
                {name: (self.shown(name, path), self.log(name)[-2000:]) for name in self.running},
            )
            time.sleep(0.05)

    def agreed(self, what: Callable[[dict[str, Any]], Any], names: tuple[str, ...] = ()) -> bool:
        """Do all show the same, and something?"""
        found = [what(self.shown(name, "/agreed")) for name in names or self.names]
        return bool(found[0]) and all(one == found[0] for one in found)

    def end(self) -> None:
        """End all that run."""
        for one in self.running.values():
            if one.poll() is None:
                one.kill()
                one.wait()
