"""What agreed entries make: the machine, and sessions so that no repeated proposal runs twice. Pure."""

from __future__ import annotations

from typing import Protocol

import msgspec

from brassweir.agreed import timing
from brassweir.agreed.messages import Entry


class Machine(Protocol):
    """The replicated state. Deterministic; a command that makes no sense yields an error result."""

    def apply(self, index: int, command: bytes) -> bytes:
        """Carry one command out and say what came of it. Never raises."""

    def snapshot(self) -> bytes:
        """All of it."""

    def restore(self, data: bytes) -> None:
        """Become what that snapshot says."""


class Session(msgspec.Struct, array_like=True):
    """What a session has had done: the lowest open number it told, and results from there on by number."""

    lowest_open: int
    results: dict[int, tuple[int, bytes]]


class _Image(msgspec.Struct, array_like=True):
    sessions: list[tuple[str, Session]]
    machine: bytes


class Replica:
    """The machine with its sessions, the least recently used first."""

    def __init__(self, machine: Machine) -> None:
        self.machine = machine
        self.sessions: dict[str, Session] = {}
        self.blank = machine.snapshot()

    def apply(self, entry: Entry) -> tuple[int, bytes, bool] | None:
        """Index and result of the proposal, and whether it ran just now. None: its session is not known."""
        if not entry.session:
            return entry.index, self.machine.apply(entry.index, entry.data), True
        done = self.sessions.pop(entry.session, None)
        if done is None:
            if entry.lowest_open > 1:
                return None
            done = Session(1, {})
        self.sessions[entry.session] = done  # now the most recently used
        while len(self.sessions) > timing.MAX_SESSIONS:
            del self.sessions[next(iter(self.sessions))]
        if entry.seq < done.lowest_open:
            return None
        if entry.seq in done.results:
            return *done.results[entry.seq], False
        done.lowest_open = max(done.lowest_open, entry.lowest_open)
        result = self.machine.apply(entry.index, entry.data)
        done.results = {seq: was for seq, was in done.results.items() if seq >= done.lowest_open}
        done.results[entry.seq] = (entry.index, result)
        return entry.index, result, True

    def snapshot(self) -> bytes:
        """All of it."""
        return msgspec.msgpack.encode(_Image(list(self.sessions.items()), self.machine.snapshot()))

    def restore(self, data: bytes) -> None:
        """Become what that snapshot says; b"": the beginning. Raises msgspec.MsgspecError."""
        if not data:
            self.sessions = {}
            self.machine.restore(self.blank)
            return
        image = msgspec.msgpack.decode(data, type=_Image)
        self.sessions = dict(image.sessions)
        self.machine.restore(image.machine)
