"""One copy's part in the agreed log: the pure core with a loop's clock, a port to the others and a folder."""

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
REOPEN_SECONDS, MAX_REOPEN_SECONDS = 1.0, 30.0
TRANSFER_WAIT_SECONDS = 1.0  # s a leader that stops waits for another


class Member:
    """Runs one member. ``machine`` is blank when it is handed over, and read by anybody on the loop."""

    def __init__(
        self,
        name: str,
        folder: Path | Callable[[], Storage],
        machine: Machine,
        port: Port,
        founders: tuple[str, ...] = (),
        copies: tuple[str, ...] = (),
        core: type[Core] = Core,
    ) -> None:
        """``founders``: settings' voters; ``copies``: all names there are. Nothing is opened yet."""
        self.core_type = core
        self.name, self.machine, self.port, self.founders, self.copies = name, machine, port, founders, copies
        self.blank = machine.snapshot()
        make: Callable[[], Storage] = (
            (lambda: DirectoryStorage(folder)) if isinstance(folder, Path) else folder
        )
        self.disk = Disk(make, self.submit)
        self.on_apply: list[Callable[[int, bytes, bytes], None]] = []  # (index, command, result), once each
        self.on_restore: list[Callable[[int], None]] = []  # the machine became a snapshot's state
        self.core: Core | None = None
        self.trouble = "not started"
        self.log = structlog.get_logger().bind(part="agreed", copy=name)
        self.dropped: dict[str, int] = {}
        self._rng = Random(os.urandom(16))
        self._facts: list[Event] = []
        self._turning = self._stopping = False
        self._timer: asyncio.TimerHandle | None = None
        self._tickets = PendingCalls()
        self._seen = 0
        self._again = REOPEN_SECONDS
        self._reopening: asyncio.Task[None] | None = None
        port.on(MESSAGE_KIND, self._heard)

    @property
    def now(self) -> float:
        """The loop's monotonic ms."""
        return asyncio.get_running_loop().time() * 1_000.0

    async def start(self) -> None:
        """Open the folder and take part. A folder that fails is tried again; a damaged one is not."""
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
            self.log.error("agreed_log_folder", why=self.trouble, again_s=self._again)
            self._later()
            return
        self.machine.restore(self.blank)
        try:
            self.core = self.core_type(
                self.name, store.persisted, self.machine, self._rng, self.now, self.founders
            )
        except msgspec.MsgspecError as error:  # a later version's state
            self._stand_still(error)
            return
        self.trouble = ""
        self.submit(CopiesChanged(self.copies))

    def _later(self) -> None:
        async def again() -> None:
            await asyncio.sleep(self._again)
            self._again = min(MAX_REOPEN_SECONDS, self._again * 2.0)
            if not self._stopping:
                await self._open()

        if not self._stopping:
            self._reopening = asyncio.create_task(again())

    async def stop(self) -> None:
        """Hand leadership over, let writes end, let go. What waits ends unknown."""
        self._stopping = True
        if self._reopening is not None:
            self._reopening.cancel()
        if self.core is not None and self.core.role == LEADER and self.core.other_voters():
            self.submit(TransferLeadership())
            until = self.now + TRANSFER_WAIT_SECONDS * 1_000.0
            while self.core is not None and self.core.role == LEADER and self.now < until:
                await asyncio.sleep(0.02)
        self.core, self.trouble = None, "stopped"
        if self._timer is not None:
            self._timer.cancel()
        await self.disk.close()
        self.disk.shutdown()
        self._tickets.stop()

    # What is asked

    async def propose(self, command: bytes, timeout_ms: float) -> Outcome:
        """Agree on a command: where it stands and what came of it, refused for sure, or unknown."""
        return await self._ask(lambda ticket, until: Propose(ticket, command, until), timeout_ms)

    async def read(self, timeout_ms: float) -> Outcome:
        """Once agreed, the machine here is at least as new as all that was told anywhere before the call."""
        return await self._ask(lambda ticket, until: ReadCurrent(ticket, until), timeout_ms)

    async def change(self, name: str, votes: bool, timeout_ms: float) -> Outcome:
        """Let a copy vote, or no longer; for the leader only. Refused and unknown as with proposals."""
        return await self._ask(lambda ticket, until: ChangeVoter(ticket, name, votes, until), timeout_ms)

    async def _ask(self, fact: Callable[[int, float], Event], timeout_ms: float) -> Outcome:
        if self.core is None:
            return Outcome(OutcomeKind.REFUSED, why=self.trouble)
        until = self.now + timeout_ms
        return await self._tickets.call(self.submit, lambda ticket: fact(ticket, until), timeout_ms)

    def reload(self, copies: tuple[str, ...]) -> None:
        """Other copies are there now."""
        self.copies = copies
        self.submit(CopiesChanged(copies))

    def report_stall(self, ms: float) -> None:
        """This process' loop ran so late."""
        self.submit(LoopStalled(ms))

    def status(self) -> Status:
        """As it stands."""
        if self.core is None:
            return Status(self.name, self.trouble, dropped=dict(self.dropped))
        return status_of(self.core, self.trouble, self.dropped)

    def _heard(self, sender: str, body: bytes) -> None:
        try:
            envelope = decode(body)
        except UnreadableMessage:
            self.dropped["unreadable"] = self.dropped.get("unreadable", 0) + 1
            return
        self.submit(Received(sender, envelope))

    def submit(self, fact: Event) -> None:
        """One fact, for the next turn of the loop."""
        if isinstance(fact, Written):
            self._again = REOPEN_SECONDS
        if self.core is not None:
            self._facts.append(fact)
            if not self._turning:
                self._turning = True
                asyncio.get_running_loop().call_soon(self._turn)

    def _turn(self) -> None:
        self._turning = False
        core, facts, self._facts = self.core, self._facts, []
        if core is None:
            return
        try:
            steps = core.step(self.now, facts)
        except (AssertionError, msgspec.MsgspecError) as error:  # never, or of a later version
            self._stand_still(error)
            return
        for step in steps:
            self._carry_out(step)
        if core.write_error:
            self.core, self.trouble = None, f"the folder cannot be written: {core.write_error}"
            self.log.error("agreed_log_folder", why=self.trouble, again_s=self._again)
            self._later()

    def _stand_still(self, error: Exception) -> None:
        self.core, self.trouble = None, f"contradiction: {error}"  # no part in it until a new start
        self.log.error("agreed_log_contradiction", why=self.trouble)

    def _carry_out(self, step: Action) -> None:
        match step:
            case Send():
                self.port.send(step.to, MESSAGE_KIND, encode(step.envelope))
            case Write():
                self.disk.write(step)
            case WakeAt():
                if self._timer is not None:
                    self._timer.cancel()
                self._timer = asyncio.get_running_loop().call_at(step.at / 1_000.0, self._wake, step.at)
            case Completed():
                self._tickets.complete(step)
            case Applied() if step.index > self._seen:
                self._seen = step.index
                for applied in self.on_apply:
                    applied(step.index, step.command, step.result)
            case Restored() if step.index > self._seen:
                self._seen = step.index
                for restored in self.on_restore:
                    restored(step.index)

    def _wake(self, due: float) -> None:
        late = self.now - due
        if late > timing.STALL_MS:
            self.submit(LoopStalled(late))
        if not self._turning:
            self._turn()
