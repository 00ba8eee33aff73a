"""Runs ``brassweir serve`` processes on loopback, each in a directory of its own, and reads their state."""

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

WAIT_SECONDS = 30.0  # for any condition, on a loaded machine


class Processes:
    """Processes by copy name; each directory holds the copies' file and the shared key."""

    def __init__(self, home: Path, sites: dict[str, tuple[str, str]]) -> None:
        """``sites`` gives site and region of each copy."""
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
        """Return the path of a copy's settings."""
        return self.home / name / "s.yaml"

    def start(self, name: str) -> None:
        """Start a copy; its log file is appended to."""
        with (self.home / name / "log").open("ab") as log:
            self.running[name] = subprocess.Popen(
                [sys.executable, "-m", "brassweir", "serve", str(self.settings(name))], stderr=log
            )

    def kill(self, name: str) -> None:
        """Kill a copy and wait for it."""
        self.running[name].kill()
        self.running[name].wait()

    def state(self, name: str, path: str) -> Any:
        """Return a copy's state at an HTTP path; empty while it does not answer."""
        try:
            with urllib.request.urlopen(
                f"http://127.0.0.1:{self.metrics[name]}{path}", timeout=2.0
            ) as answer:
                return answer.read() if path == "/metrics" else json.load(answer)
        except (OSError, urllib.error.URLError):
            return {}

    def log(self, name: str) -> str:
        """Return a copy's log over all its runs."""
        return (self.home / name / "log").read_text()

    def until(self, condition: Callable[[], bool], words: str, path: str = "/agreed") -> None:
        """Wait for a condition; a failure shows each copy's state and the end of its log."""
        end = time.monotonic() + WAIT_SECONDS
        while not condition():
            assert time.monotonic() < end, (
                words,
                {name: (self.state(name, path), self.log(name)[-2000:]) for name in self.running},
            )
            time.sleep(0.05)

    def all_agree(self, value_of: Callable[[dict[str, Any]], Any], names: tuple[str, ...] = ()) -> bool:
        """Whether all copies show the same value, and one that is not empty."""
        found = [value_of(self.state(name, "/agreed")) for name in names or self.names]
        return bool(found[0]) and all(one == found[0] for one in found)

    def kill_all(self) -> None:
        """Kill all running processes."""
        for one in self.running.values():
            if one.poll() is None:
                one.kill()
                one.wait()
