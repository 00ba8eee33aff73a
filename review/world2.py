"""Stand-ins for the second review: clients, endpoints, discovery, and the sender as a process of its own.

Standard library only. Written from the operators' protocol page. Every address is a loopback address.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def wall() -> float:
    """Return the wall time in ms."""
    return time.time() * 1000.0


def free_port() -> int:
    """Return a port of the loopback address that nothing listens on."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


class Record:
    """The lines of record.txt, written at the end; times are in ms since the start."""

    def __init__(self, folder: Path) -> None:
        self.path, self.start, self.lines = folder / "record.txt", wall(), list[str]()

    def say(self, *words: object) -> None:
        """Add a line."""
        self.lines.append(f"{wall() - self.start:9.0f}  " + " ".join(map(str, words)))

    def save(self) -> None:
        """Write the file."""
        self.path.write_text("\n".join(self.lines) + "\n")


class Call:
    """One whole request as an endpoint read it."""

    def __init__(self, at: float, ident: str, key: str, left: str, body: bytes, earlier: int) -> None:
        self.at, self.id, self.key, self.left, self.body, self.earlier = at, ident, key, left, body, earlier


Answer = Callable[[Call], Awaitable[bytes | None]]


def reply(status: int, *fields: str, body: bytes = b"") -> bytes:
    """Return an answer as bytes."""
    head = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *fields]
    return "\r\n".join([*head, "", ""]).encode() + body


class Endpoint:
    """One endpoint. ``answer`` gives a call's answer; None leaves it without one, its connection open."""

    def __init__(self, uid: str, destination: int, answer: Answer, hint: float = 1.0) -> None:
        self.uid, self.destination, self.answer, self.hint = uid, destination, answer, hint
        self.server: asyncio.Server | None = None
        self.port = free_port()
        self.writers: set[asyncio.StreamWriter] = set()
        self.calls: list[Call] = []

    async def start(self) -> None:
        """Listen, again on the same port after a stop."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    async def stop(self) -> None:
        """Refuse new connections and reset the open ones, as a dead process does."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        earlier = 0
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                pairs = (line.partition(": ") for line in head[1:])
                fields = {name.lower(): value for name, _, value in pairs}
                body = await reader.readexactly(int(fields["content-length"]))
                call = Call(
                    wall(),
                    fields["x-correlation-id"],
                    fields.get("idempotency-key", ""),
                    fields.get("x-time-left", ""),
                    body,
                    earlier,
                )
                earlier += 1
                self.calls.append(call)
                data = await self.answer(call)
                if data is not None:
                    writer.write(data)
                    await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # the peer has gone, or the case is over
        finally:
            self.writers.discard(writer)
            writer.close()

    def entry(self, state: str = "active") -> dict[str, Any]:
        """Return this endpoint as the list tells it."""
        return {
            "uid": self.uid,
            "endpoint": f"127.0.0.1:{self.port}",
            "az": "dc1",
            "model": "partner",
            "pod_group": self.destination,
            "state": state,
            "capacity_hint": self.hint,
            "boot_ms": 0,
        }


class Discovery:
    """The agent: the list, its watches with an empty line every 2 s, and the notices."""

    def __init__(self, record: Record) -> None:
        self.record, self.rev, self.port = record, 1, free_port()
        self.entries: dict[str, dict[str, Any]] = {}
        self.notices: list[tuple[float, dict[str, Any]]] = []
        self.watches: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.speaks = asyncio.Event()  # not set while discovery is down: notices alone are answered then
        self.speaks.set()

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    def stop(self, silent: bool = False) -> None:
        """Stop listening and end the watches; with ``silent`` say nothing instead, until :meth:`back`."""
        if silent:
            self.speaks.clear()
            return
        if self.server is not None:
            self.server.close()
        for writer in list(self.watches):
            writer.transport.abort()

    def back(self) -> None:
        """Answer again, all that is open and asked for."""
        self.speaks.set()

    def whole(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"rev": self.rev, "all": True, "targets": list(self.entries.values())}

    def change(self, *entries: dict[str, Any]) -> None:
        """Tell every watch of changed entries."""
        self.rev += 1
        self.entries.update({entry["uid"]: entry for entry in entries})
        line = json.dumps({"rev": self.rev, "all": False, "targets": list(entries)}).encode()
        self.entries = {uid: one for uid, one in self.entries.items() if one["state"] != "left"}
        for writer in list(self.watches):
            _chunk(writer, line + b"\n")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                if head[0].startswith("POST /status "):
                    pairs = (line.partition(": ") for line in head[1:])
                    fields = {name.lower(): value for name, _, value in pairs}
                    body = await reader.readexactly(int(fields["content-length"]))
                    for line in filter(None, body.splitlines()):
                        self.notices.append((wall(), json.loads(line)))
                        self.record.say("notice", line.decode())
                    writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
                elif "follow=1" in head[0]:
                    await self.speaks.wait()
                    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                    _chunk(writer, json.dumps(self.whole()).encode() + b"\n")
                    self.watches.add(writer)
                    while not writer.transport.is_closing():
                        await asyncio.sleep(2.0)
                        await self.speaks.wait()
                        _chunk(writer, b"\n")
                else:
                    body = json.dumps(self.whole()).encode()
                    writer.write(reply(200, body=body))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # the peer has gone, or the case is over
        finally:
            self.watches.discard(writer)
            writer.close()


def _chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
    writer.write(b"%x\r\n%s\r\n" % (len(data), data))


class Sender:
    """The sender's process, started as the deploy file says."""

    def __init__(self, folder: Path, config: dict[str, Any]) -> None:
        self.folder, self.config = folder, config
        self.address = config["listen"]
        self.process: subprocess.Popen[bytes] | None = None
        (folder / "state").mkdir(exist_ok=True)

    async def start(self) -> None:
        """Write the configuration, start the process, and wait for +PONG."""
        (self.folder / "config.json").write_text(json.dumps(self.config))
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        env = {
            **os.environ,
            "RELAY_NAME": self.config["name"],
            "RELAY_LISTEN": self.config["listen"],
            "RELAY_DISCOVERY": self.config["discovery"],
            "RELAY_STATE": str(self.folder / "state"),
            "RELAY_CONFIG": str(self.folder / "config.json"),
        }
        with (self.folder / "log").open("ab") as log:
            self.process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=env, stdout=log, stderr=log)
        host, _, port = self.address.rpartition(":")
        for _ in range(300):
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"*1\r\n$4\r\nPING\r\n")
                line = await asyncio.wait_for(reader.readline(), 1.0)
                writer.transport.abort()
                if line == b"+PONG\r\n":
                    return
            except (OSError, TimeoutError):
                pass
            if self.process.poll() is not None:
                break
            await asyncio.sleep(0.02)
        raise CannotRun("the sender did not become ready: " + self.log()[-500:])

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def killed(self) -> None:
        """Kill the process and wait for its end."""
        self.send(signal.SIGKILL)
        while self.process is not None and self.process.poll() is None:
            await asyncio.sleep(0.005)

    def log(self) -> str:
        """Return what the sender wrote."""
        return (self.folder / "log").read_text() if (self.folder / "log").exists() else ""


class CannotRun(Exception):
    """The case could not run."""


class HandIn:
    """One message as a client handed it in, and what it was told ('' if nothing came)."""

    def __init__(self, ident: str, class_name: str, destination: int, left: float) -> None:
        self.id, self.class_name, self.destination, self.left = ident, class_name, destination, left
        self.at, self.line = wall(), ""


class Client:
    """One client's connection; it gives a command up after 400 ms, as the protocol says."""

    def __init__(self, address: str) -> None:
        self.host, self.port = address.rpartition(":")[0], int(address.rpartition(":")[2])
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def put(self, one: HandIn, key: str = "0" * 16, token: str = "", body: bytes = b"x" * 200) -> str:
        """Hand a message in; return the answer's line, or '' if there was none."""
        names = f"c={one.class_name},d={one.left:.0f},dest={one.destination}" + (
            f",k={token}" if token else ""
        )
        parts = (b"MSG.PUT", key.encode(), one.id.encode(), names.encode(), body)
        data = b"*5\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(part), part) for part in parts)
        one.at = wall()
        try:
            if self.writer is None or self.writer.transport.is_closing():
                self.reader, self.writer = await asyncio.open_connection(self.host, self.port)
            self.writer.write(data)
            assert self.reader is not None
            one.line = (await asyncio.wait_for(self.reader.readline(), 0.4)).decode().strip()
        except (OSError, TimeoutError):
            one.line = ""
        if not one.line:
            self.close()
        return one.line

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.transport.abort()
            self.writer = None


def new_id(source: random.Random) -> str:
    """Return a new id."""
    return f"{source.getrandbits(64):016x}"


def run(case: Callable[[Record, Path], Awaitable[bool]], folder: Path) -> None:
    """Run a case; exit with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    record = Record(folder)
    try:
        with tempfile.TemporaryDirectory() as temporary:
            broken = asyncio.run(asyncio.wait_for(case(record, Path(temporary)), 115.0))
    except Exception as error:
        record.say("could not run:", type(error).__name__, error)
        record.save()
        print(record.lines[-1])
        sys.exit(2)
    record.say("the rule was broken" if broken else "the rule held")
    record.save()
    print(record.lines[-1])
    sys.exit(1 if broken else 0)
