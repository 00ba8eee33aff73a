"""Runs a member: the pure core with the event loop's clock, a network port and a directory."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from pathlib import Path
from random import Random

import msgspec
import structlog

from brassweir.agreed import timing
from brassweir.agreed.core import Core
from brassweir.agreed.core_state import LEADER
from brassweir.agreed.disk import Disk
from brassweir.agreed.events import (
    Action,
    Applied,
    ChangeVoter,
    Completed,
    CopiesChanged,
    Event,
    LoopStalled,
    Outcome,
    OutcomeKind,
    Propose,
    ReadCurrent,
    Received,
    Restored,
    Send,
    TransferLeadership,
    WakeAt,
    Write,
    Written,
)
from brassweir.agreed.messages import UnreadableMessage, decode, encode
from brassweir.agreed.pending_calls import PendingCalls
from brassweir.agreed.replica import Machine
from brassweir.agreed.status import Port, Status, status_of
from brassweir.agreed.store import StoreDamaged
from brassweir.journal.storage import DirectoryStorage, Storage, StorageLocked

MESSAGE_KIND = "log"
REOPEN_SECONDS, MAX_REOPEN_SECONDS = 1.0, 30.0  # before a failed directory is reopened; doubled each time
TRANSFER_WAIT_SECONDS = 1.0  # a leader that stops waits for another


class Member:
    """One running member. ``machine`` is empty when passed in; anything on the loop may read it."""

    def __init__(
        self,
        name: str,
        directory: Path | Callable[[], Storage],
        machine: Machine,
        port: Port,
        founders: tuple[str, ...] = (),
        copies: tuple[str, ...] = (),
        core: type[Core] = Core,
    ) -> None:
        """``founders``: the voters of the settings; ``copies``: names of all copies. Opens nothing yet."""
        self.core_type = core
        self.name, self.machine, self.port, self.founders, self.copies = name, machine, port, founders, copies
        self.initial_state = machine.snapshot()
        open_storage: Callable[[], Storage] = (
            (lambda: DirectoryStorage(directory)) if isinstance(directory, Path) else directory
        )
        self.disk = Disk(open_storage, self.submit)
        self.on_apply: list[Callable[[int, bytes, bytes], None]] = []  # (index, command, result), once each
        self.on_restore: list[Callable[[int], None]] = []  # (index of the snapshot)
        self.core: Core | None = None
        self.trouble = "not started"
        self.log = structlog.get_logger().bind(part="agreed", copy=name)
        self.dropped: dict[str, int] = {}
        self._rng = Random(os.urandom(16))
        self._events: list[Event] = []
        self._step_scheduled = self._stopping = False
        self._timer: asyncio.TimerHandle | None = None
        self._calls = PendingCalls()
        self._last_reported = 0
        self._reopen_seconds = REOPEN_SECONDS
        self._reopen_task: asyncio.Task[None] | None = None
        port.on(MESSAGE_KIND, self._on_message)

    @property
    def now(self) -> float:
        """The loop's monotonic time in ms."""
        return asyncio.get_running_loop().time() * 1_000.0

    async def start(self) -> None:
        """Open the directory and take part. A directory that fails is retried; a damaged one is not."""
        self._stopping = False
        await self._open()

    async def _open(self) -> None:
        try:
            store = await self.disk.open(self._rng)
        except (StoreDamaged, StorageLocked) as error:
            self.trouble = str(error)
            self.log.error("agreed_log_refused", why=self.trouble)
            return
        except OSError as error:
            self.trouble = f"the folder cannot be written: {error}"
            self.log.error("agreed_log_folder", why=self.trouble, again_s=self._reopen_seconds)
            self._reopen_later()
            return
        self.machine.restore(self.initial_state)
        try:
            self.core = self.core_type(
                self.name, store.persisted, self.machine, self._rng, self.now, self.founders
            )
        except msgspec.MsgspecError as error:  # a later version's state
            self._halt(error)
            return
        self.trouble = ""
        self.submit(CopiesChanged(self.copies))

    def _reopen_later(self) -> None:
        async def reopen() -> None:
            await asyncio.sleep(self._reopen_seconds)
            self._reopen_seconds = min(MAX_REOPEN_SECONDS, self._reopen_seconds * 2.0)
            if not self._stopping:
                await self._open()

        if not self._stopping:
            self._reopen_task = asyncio.create_task(reopen())

    async def stop(self) -> None:
        """Transfer leadership, let writes end, close. Pending calls end as unknown."""
        self._stopping = True
        if self._reopen_task is not None:
            self._reopen_task.cancel()
        if self.core is not None and self.core.role == LEADER and self.core.other_voters():
            self.submit(TransferLeadership())
            deadline = self.now + TRANSFER_WAIT_SECONDS * 1_000.0
            while self.core is not None and self.core.role == LEADER and self.now < deadline:
                await asyncio.sleep(0.02)
        self.core, self.trouble = None, "stopped"
        if self._timer is not None:
            self._timer.cancel()
        await self.disk.close()
        self.disk.shutdown()
        self._calls.stop()

    # Requests

    async def propose(self, command: bytes, timeout_ms: float) -> Outcome:
        """Propose a command: its index and result, refused for certain, or unknown."""
        return await self._call(lambda ticket, deadline: Propose(ticket, command, deadline), timeout_ms)

    async def read(self, timeout_ms: float) -> Outcome:
        """Linearizable read: once agreed, this machine has all that was reported anywhere before the call."""
        return await self._call(lambda ticket, deadline: ReadCurrent(ticket, deadline), timeout_ms)

    async def change(self, name: str, votes: bool, timeout_ms: float) -> Outcome:
        """Make a copy a voter, or no longer one; for the leader only. Ends as proposals do."""
        return await self._call(
            lambda ticket, deadline: ChangeVoter(ticket, name, votes, deadline), timeout_ms
        )

    async def _call(self, make_event: Callable[[int, float], Event], timeout_ms: float) -> Outcome:
        if self.core is None:
            return Outcome(OutcomeKind.REFUSED, why=self.trouble)
        deadline = self.now + timeout_ms
        return await self._calls.call(self.submit, lambda ticket: make_event(ticket, deadline), timeout_ms)

    def reload(self, copies: tuple[str, ...]) -> None:
        """Set the names of all copies."""
        self.copies = copies
        self.submit(CopiesChanged(copies))

    def report_stall(self, ms: float) -> None:
        """The event loop of this process ran ``ms`` late."""
        self.submit(LoopStalled(ms))

    def status(self) -> Status:
        """The current status."""
        if self.core is None:
            return Status(self.name, self.trouble, dropped=dict(self.dropped))
        return status_of(self.core, self.trouble, self.dropped)

    def _on_message(self, sender: str, body: bytes) -> None:
        try:
            envelope = decode(body)
        except UnreadableMessage:
            self.dropped["unreadable"] = self.dropped.get("unreadable", 0) + 1
            return
        self.submit(Received(sender, envelope))

    def submit(self, event: Event) -> None:
        """Queue an event for the next turn of the loop."""
        if isinstance(event, Written):
            self._reopen_seconds = REOPEN_SECONDS
        if self.core is not None:
            self._events.append(event)
            if not self._step_scheduled:
                self._step_scheduled = True
                asyncio.get_running_loop().call_soon(self._step)

    def _step(self) -> None:
        self._step_scheduled = False
        core, events, self._events = self.core, self._events, []
        if core is None:
            return
        try:
            actions = core.step(self.now, events)
        except (AssertionError, msgspec.MsgspecError) as error:  # a contradiction, or a later version's
            self._halt(error)
            return
        for action in actions:
            self._perform(action)
        if core.write_error:
            self.core, self.trouble = None, f"the folder cannot be written: {core.write_error}"
            self.log.error("agreed_log_folder", why=self.trouble, again_s=self._reopen_seconds)
            self._reopen_later()

    def _halt(self, error: Exception) -> None:
        self.core, self.trouble = None, f"contradiction: {error}"  # takes no part until a restart
        self.log.error("agreed_log_contradiction", why=self.trouble)

    def _perform(self, action: Action) -> None:
        match action:
            case Send():
                self.port.send(action.to, MESSAGE_KIND, encode(action.envelope))
            case Write():
                self.disk.write(action)
            case WakeAt():
                if self._timer is not None:
                    self._timer.cancel()
                self._timer = asyncio.get_running_loop().call_at(action.at / 1_000.0, self._wake, action.at)
            case Completed():
                self._calls.complete(action)
            case Applied() if action.index > self._last_reported:
                self._last_reported = action.index
                for on_applied in self.on_apply:
                    on_applied(action.index, action.command, action.result)
            case Restored() if action.index > self._last_reported:
                self._last_reported = action.index
                for on_restored in self.on_restore:
                    on_restored(action.index)

    def _wake(self, due: float) -> None:
        late = self.now - due
        if late > timing.STALL_MS:
            self.submit(LoopStalled(late))
        if not self._step_scheduled:
            self._step()
