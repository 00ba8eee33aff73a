"""A few real ``serve`` processes with peers and agreed log, idle: the check on hollow senders.

What one process alone, without peers and log, costs beside them is taken off: the rest is control.
"""

from __future__ import annotations

import os
import re
import socket
import statistics
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from pathlib import Path

import msgspec

from benchmarks.capacity.measurement import Axis, Figure, Kind, Measurement, Point, Role
from benchmarks.capacity.probes.processor import slowness
from brassweir.lab.models.peernet import HEADERS
from brassweir.lab.rigs.handle import free_port

LEAST, MOST = 3, 6  # processes
VOTERS = 3
WAIT = 40.0  # seconds until all follow a leader
SETTLE = 5.0  # seconds after that
MOST_SECONDS = 30.0
SAMPLE = 0.5  # seconds between two looks at how slow the machine is
SETTINGS = """\
sender: {{name: {name}, slots: 8, max_open: 100, metrics: '127.0.0.1:{metrics}'}}
classes:
  - {{name: status, aim_ms: 1000, deadline_ms: 8000, effect: safe}}
kinds:
  - {{name: collectors, carrier: forward, shared_key: out.key, batch: 4}}
forward:
  listen: 127.0.0.1:0
  sources:
    - name: edge-1
      shared_keys: [edge.key]
      rules:
        - {{tag: "app.**", class: status, destination: "hook-{{1}}"}}
endpoints: endpoints.yaml
"""
TOGETHER = "peers: {copies: copies.yaml, keys: [peers.key]}\nagreed: {voters: [s1, s2, s3]}\n"
LISTED = "endpoints:\n  - {name: c-a, url: 'forward://127.0.0.1:9', destination: c, kind: collectors}\n"


def _figure(name: str, unit: str, what: str, terms: tuple[str, ...] = ("1",)) -> Figure:
    return Figure(
        name,
        unit,
        Role.SENDER,
        what,
        (Axis.SENDERS,),
        terms,
        Kind.MEASURED,
        mechanism="peers and agreed log",
    )


CORES = _figure("serve_cpu", "cores", "idle `serve` with peers and log, less one without them")
TRAFFIC = _figure("serve_bytes", "bytes/s", "the same, both ways, with UDP headers", ("1", "1/N"))
RESIDENT = _figure("serve_memory", "MB", "the same, resident, less one without them")
FIGURES: tuple[Figure, ...] = (CORES, TRAFFIC, RESIDENT)


class Process:
    """One ``serve`` in a folder of its own."""

    def __init__(self, home: Path, name: str, together: str) -> None:
        self.metrics = free_port()
        home.mkdir()
        files = {
            "s.yaml": SETTINGS.format(name=name, metrics=self.metrics) + together,
            "endpoints.yaml": LISTED,
        }
        files |= {"edge.key": "a key\n", "out.key": "another\n", "peers.key": "a key of this fleet\n"}
        for file, text in files.items():
            (home / file).write_text(text, encoding="utf-8")
        self.log = (home / "log").open("wb")
        self.running: subprocess.Popen[bytes] | None = None
        self.settings = home / "s.yaml"

    def start(self) -> None:
        """Run it."""
        command = [sys.executable, "-m", "brassweir", "serve", str(self.settings)]
        self.running = subprocess.Popen(command, stderr=self.log)

    def shown(self, path: str) -> bytes:
        """A page of the operations endpoint; empty while there is none."""
        try:
            with urllib.request.urlopen(f"http://127.0.0.1:{self.metrics}{path}", timeout=2.0) as answer:
                return bytes(answer.read())
        except (OSError, urllib.error.URLError):
            return b""

    def cpu(self) -> float:
        """Seconds of processor time so far."""
        fields = self._proc("stat").rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def resident(self) -> float:
        """MB."""
        return int(self._proc("statm").split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6

    def traffic(self) -> float:
        """Bytes sent and taken so far, with headers."""
        found = dict(re.findall(r'brassweir_peers\w*\{what="(\w+)"\} (\S+)', self.shown("/metrics").decode()))
        datagrams = sum(float(value) for word, value in found.items() if word.startswith(("sent_", "taken_")))
        return float(found["bytes_sent"]) + float(found["bytes_taken"]) + datagrams * HEADERS

    def end(self) -> None:
        """Stop it, by force if need be."""
        if self.running is not None:
            self.running.terminate()
            try:
                self.running.wait(10.0)
            except subprocess.TimeoutExpired:
                self.running.kill()
                self.running.wait()
        self.log.close()

    def _proc(self, file: str) -> str:
        assert self.running is not None
        return Path(f"/proc/{self.running.pid}/{file}").read_text(encoding="ascii")


def measure(point: Point, seconds: float) -> list[Measurement]:
    """So many processes together, and one alone, for so many idle seconds."""
    if not LEAST <= point.senders <= MOST:
        return []
    span = min(seconds, MOST_SECONDS)
    with tempfile.TemporaryDirectory() as folder:
        alone, together = _processes(Path(folder), point.senders)
        try:
            for process in [alone, *together]:
                process.start()
            _wait(together)
            time.sleep(SETTLE)
            return _idle(point, span, alone, together)
        finally:
            for process in [alone, *together]:
                process.end()


def _processes(home: Path, count: int) -> tuple[Process, list[Process]]:
    names = [f"s{number + 1}" for number in range(count)]
    listed = "copies:\n" + "".join(
        f"  - {{name: {name}, site: x{name}, region: r1, address: '127.0.0.1:{free_port(socket.SOCK_DGRAM)}'}}\n"
        for name in names
    )
    together = [Process(home / name, name, TOGETHER) for name in names]
    for name in names:
        (home / name / "copies.yaml").write_text(listed, encoding="utf-8")
    return Process(home / "alone", "s0", ""), together


def _wait(processes: list[Process]) -> None:
    """Until all follow one leader."""
    end = time.monotonic() + WAIT
    while True:
        states = [msgspec.json.decode(process.shown("/agreed") or b"{}") for process in processes]
        leaders = {state.get("leader") for state in states}
        if (
            len(leaders) == 1
            and all(leaders)
            and all(len(state["members"]) == len(states) for state in states)
        ):
            return
        if time.monotonic() > end:
            raise RuntimeError("the processes did not find together")
        time.sleep(0.2)


def _idle(point: Point, span: float, alone: Process, together: list[Process]) -> list[Measurement]:
    before = [(process.cpu(), process.traffic()) for process in together]
    own = alone.cpu()
    start, slow = time.monotonic(), []
    while time.monotonic() < start + span:
        time.sleep(SAMPLE)
        slow.append(slowness())
    took = time.monotonic() - start
    own = (alone.cpu() - own) / took
    cores = [process.cpu() - cpu for process, (cpu, _) in zip(together, before, strict=True)]
    traffic = [process.traffic() - sent for process, (_, sent) in zip(together, before, strict=True)]
    resident = statistics.mean(process.resident() for process in together) - alone.resident()
    method = f"{point.senders} processes of serve for {span:g} idle seconds, mean, less one alone"
    return [
        Measurement(
            CORES.name,
            point,
            (statistics.mean(cores) / took - own) / statistics.mean(slow),
            f"{method}, scaled",
        ),
        Measurement(TRAFFIC.name, point, statistics.mean(traffic) / took, method),
        Measurement(RESIDENT.name, point, resident, method),
    ]
