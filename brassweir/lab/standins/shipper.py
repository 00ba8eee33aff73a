"""A stand-in forward source: sends chunks in every mode, waits for acks, and sends again what was not acked.

It does what shippers do: chunks go out under an id, a missing ack or a closed connection means the same chunk
again, on a new connection, after a growing pause; nothing tells it why.
"""

from __future__ import annotations

import asyncio
import secrets
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import numpy as np

from brassweir.forward import handshake, message
from brassweir.forward.errors import ForwardError
from brassweir.forward.events import Event, EventTime
from brassweir.forward.frames import Frames
from brassweir.forward.message import Mode
from brassweir.lab.judges.tape import Answered, HandIn, Tape

# Seconds: more than the longest deadline and the longest told wait together, as docs/operate-forward.md asks
# for.
ACK_TIMEOUT = 15.0
FIRST_PAUSE, LONGEST_PAUSE = 0.1, 2.0  # seconds between tries, doubling


@dataclass(frozen=True, slots=True)
class Load:
    """One chunk to hand in, ``at`` seconds from the start, at a sender, until ``patience`` seconds have
    passed."""

    at: float
    payment: str
    class_name: str
    effect: str
    destination: str
    tag: str
    sender: int
    left: float
    mode: Mode = Mode.PACKED
    entries: int = 3
    patience: float = 20.0
    key: str = ""


class Line:
    """One connection to a sender."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.acks: dict[str, asyncio.Future[str]] = {}
        self.task: asyncio.Task[None] | None = None

    async def listen(self, frames: Frames) -> None:
        """Give acks to who waits; at the end all that wait learn that it is closed."""
        try:
            while data := await self.reader.read(65_536):
                frames.feed(data)
                while (frame := frames.next()) is not None:
                    chunk = message.read_ack(frame)
                    waiting = self.acks.get(chunk)
                    if waiting is not None and not waiting.done():
                        waiting.set_result("acked")
        except (OSError, ForwardError):
            pass
        finally:
            self.close()

    def close(self) -> None:
        """End it."""
        self.writer.close()
        for waiting in self.acks.values():
            if not waiting.done():
                waiting.set_result("closed")

    @property
    def usable(self) -> bool:
        """Does it stand?"""
        return not self.writer.is_closing() and (self.task is None or not self.task.done())


async def connect(host: str, port: int, name: str, key: bytes, user: str = "", password: bytes = b"") -> Line:
    """Connect and pass the handshake. Raises OSError, and ForwardError where one side cannot prove the
    key."""
    reader, writer = await asyncio.open_connection(host, port)
    frames = Frames(message.MAX_CHUNK_ID_BYTES + 4096)

    async def hear() -> bytes:
        while (frame := frames.next()) is None:
            data = await reader.read(4096)
            if not data:
                raise ForwardError("closed during the handshake")
            frames.feed(data)
        return frame

    try:
        helo = handshake.read_helo(await hear())
        salt = secrets.token_bytes(16)
        writer.write(handshake.ping(helo, name, salt, key, user, password).encode())
        pong = handshake.read_pong(await hear())
        if not pong.accepted:
            raise ForwardError(f"not let in: {pong.reason}")
        if not pong.proves(salt, helo.nonce, key):
            raise ForwardError("the server does not know the key")
    except BaseException:
        writer.close()
        raise
    line = Line(reader, writer)
    line.task = asyncio.get_running_loop().create_task(line.listen(frames))
    return line


@dataclass(slots=True)
class Tally:
    """What a shipper has done."""

    sent: int = 0
    acked: int = 0
    closed: int = 0
    given_up: int = 0
    connects: int = 0
    latencies: list[float] = field(default_factory=list)


class Shipper:
    """One source. ``port_of`` and ``name_of`` say where senders are and what they are called."""

    def __init__(
        self,
        name: str,
        key: bytes,
        tape: Tape,
        port_of: Callable[[int], int],
        name_of: Callable[[int], str],
        seed: int,
        ack_timeout: float = ACK_TIMEOUT,
    ) -> None:
        self.name, self.key, self.tape = name, key, tape
        self.port_of, self.name_of, self.ack_timeout = port_of, name_of, ack_timeout
        self.rng = np.random.default_rng(seed)
        self.lines: dict[int, Line] = {}
        self.locks: dict[int, asyncio.Lock] = {}
        self.tally = Tally()

    async def hand_in(self, load: Load, start: float) -> str:
        """See one chunk through, however often it must be sent."""
        await asyncio.sleep(max(0.0, start + load.at - time.time()))
        chunk = f"{load.payment}@{self.name}"
        data = build(load, chunk)
        begun, pause, attempt = time.time(), FIRST_PAUSE, 0
        while True:
            told = await self._try(load, chunk, data, attempt)
            if told == "acked":
                self.tally.acked += 1
                self.tally.latencies.append(time.time() - begun)
                return told
            attempt += 1
            if time.time() - begun > load.patience:
                self.tally.given_up += 1
                return "given up"
            await asyncio.sleep(pause * (0.5 + self.rng.random()))
            pause = min(LONGEST_PAUSE, pause * 2.0)

    async def _try(self, load: Load, chunk: str, data: bytes, attempt: int) -> str:
        try:
            line = await self._line(load.sender)
        except (OSError, ForwardError):
            return "unreachable"
        loop = asyncio.get_running_loop()
        sender = self.name_of(load.sender)
        self.tape.add(
            HandIn(
                time.time(),
                self.name,
                sender,
                chunk,
                load.payment,
                load.class_name,
                load.key,
                load.destination,
                attempt,
                load.left,
            )
        )
        waiting = line.acks[chunk] = loop.create_future()
        self.tally.sent += 1
        try:
            line.writer.write(data)
            async with asyncio.timeout(self.ack_timeout):
                await line.writer.drain()
                told: str = await asyncio.shield(waiting)
        except TimeoutError:
            told = "no ack"
            line.close()  # what shippers do: nothing more is to be hoped for on it
        except OSError:
            told = "closed"
        if told != "acked":
            self.tally.closed += 1
        # A closed connection is this protocol's refusal; an ack may also mean kept, which the day looks up.
        answer = {"acked": "delivered", "closed": "refused"}.get(told, "lost")
        self.tape.add(Answered(time.time(), self.name, chunk, load.payment, answer, attempt))
        return told

    async def _line(self, sender: int) -> Line:
        async with self.locks.setdefault(sender, asyncio.Lock()):
            line = self.lines.get(sender)
            if line is None or not line.usable:
                self.tally.connects += 1
                port = self.port_of(sender)
                line = self.lines[sender] = await connect("127.0.0.1", port, self.name, self.key)
            return line

    def stop(self) -> None:
        """Close all."""
        for line in self.lines.values():
            line.close()
            if line.task is not None:
                line.task.cancel()


def build(load: Load, chunk: str) -> bytes:
    """The bytes of a chunk: its first record names the payment, the others are ballast."""
    entries = [
        Event(EventTime(1_700_000_000, i), {"payment": load.payment, "effect": load.effect, "n": i})
        for i in range(1 if load.mode is Mode.MESSAGE else load.entries)
    ]
    return message.build(load.mode, load.tag, entries, chunk)
