"""Applies committed entries: the machine, and sessions so that a repeated proposal runs once. Pure."""

from __future__ import annotations

from typing import Protocol

import msgspec

from brassweir.agreed import timing
from brassweir.agreed.messages import Entry


class Machine(Protocol):
    """The replicated state machine. Deterministic; an invalid command yields an error result."""

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply one command and return its result. Never raises."""

    def snapshot(self) -> bytes:
        """Encode the whole state."""

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot's."""


class Session(msgspec.Struct, array_like=True):
    """Results of a session's proposals by number, from its lowest open number on."""

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
        self.initial_state = machine.snapshot()

    def apply(self, entry: Entry) -> tuple[int, bytes, bool] | None:
        """Apply a proposal: its index, result, and whether it ran now. None if its session is unknown."""
        if not entry.session:
            return entry.index, self.machine.apply(entry.index, entry.data), True
        session = self.sessions.pop(entry.session, None)
        if session is None:
            if entry.lowest_open > 1:
                return None
            session = Session(1, {})
        self.sessions[entry.session] = session  # now the most recently used
        while len(self.sessions) > timing.MAX_SESSIONS:
            del self.sessions[next(iter(self.sessions))]
        if entry.seq < session.lowest_open:
            return None
        if entry.seq in session.results:
            return *session.results[entry.seq], False
        session.lowest_open = max(session.lowest_open, entry.lowest_open)
        result = self.machine.apply(entry.index, entry.data)
        session.results = {
            seq: result for seq, result in session.results.items() if seq >= session.lowest_open
        }
        session.results[entry.seq] = (entry.index, result)
        return entry.index, result, True

    def snapshot(self) -> bytes:
        """Encode sessions and machine."""
        return msgspec.msgpack.encode(_Image(list(self.sessions.items()), self.machine.snapshot()))

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot's; b"" is the initial state. Raises msgspec.MsgspecError."""
        if not data:
            self.sessions = {}
            self.machine.restore(self.initial_state)
            return
        image = msgspec.msgpack.decode(data, type=_Image)
        self.sessions = dict(image.sessions)
        self.machine.restore(image.machine)
