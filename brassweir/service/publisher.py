"""The operator's copy: reads the edited list when asked to, and brings the difference into the agreed log.

The list was made from the version that this copy's operator last brought in, or saw refused. If another copy
has brought in a newer one since, the edit would silently take that back: it is refused and told why, and what
is in force is written beside the list. Asked once more, the operator has seen it.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from brassweir.agreed import commands
from brassweir.agreed.events import Outcome, OutcomeKind
from brassweir.config.load import ConfigError
from brassweir.config.model import ConfigurationModel
from brassweir.configstream.delta import diff_entries
from brassweir.configstream.entries import Entry
from brassweir.configstream.machine import ConfiguredMachine
from brassweir.configstream.publication import (
    Action,
    ProposalEnded,
    Propose,
    ProposeAbandon,
    Publication,
    Published,
    PublishInputs,
    Rejected,
    Superseded,
    Wait,
)
from brassweir.configstream.publish_plan import PublishPlan, make_plan
from brassweir.configstream.validation import Confirmation, InvalidChange
from brassweir.service.editedlist import read_edited, write_list

PROPOSING = 3000.0  # ms until a proposal counts as unknown: a new leader is there by then

Note = Callable[[str, dict[str, object]], None]
Ask = Callable[[bytes, float], Awaitable[Outcome]]  # a command and its time-out (ms)


@dataclass(frozen=True, slots=True)
class Edit:
    """How the last edit of the list ended, as operators are shown it."""

    state: str  # none, proposing, agreed, unchanged, refused
    number: int = 0  # counts the edits of this process
    version: int = 0
    field: str = ""
    why: str = ""


class Publisher:
    """One edit at a time."""

    def __init__(
        self,
        name: str,
        machine: ConfiguredMachine,
        ask: Ask,
        base: Path,
        note: Note,
        accepts: Callable[[Sequence[Entry]], None] = lambda _: None,
    ) -> None:
        """``base``: what paths of the settings count from; ``accepts`` raises ConfigError for a list that
        this copy itself could not use."""
        self.accepts = accepts
        self.name, self.machine, self.ask, self.base, self.note = name, machine, ask, base, note
        self.remembered = base / f"{name}.configuration"
        self.edit = Edit("none")
        self.task: asyncio.Task[None] | None = None
        self._ended: list[ProposalEnded] = []
        self._news = asyncio.Event()
        self._asking: set[asyncio.Task[None]] = set()

    def publish(self, given: ConfigurationModel) -> None:
        """An operator asks: the list is to be in force."""
        if given.list is None:
            return
        if self.task is not None and not self.task.done():
            self.note("configuration_refused", {"field": "list", "error": "an edit is still on its way"})
            return
        self.edit = Edit("proposing", self.edit.number + 1)
        confirmation = Confirmation(given.confirm_removed, given.confirm_destinations)
        self.task = asyncio.create_task(self._publish(self.base / given.list, confirmation))
        self.task.add_done_callback(self._stopped)

    def _stopped(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and (error := task.exception()) is not None:
            self._ended_as("refused", 0, "list", repr(error))
            self.note("configuration_refused", {"field": "list", "error": repr(error)})

    async def _publish(self, path: Path, confirmation: Confirmation) -> None:
        there = self.machine.configuration
        version, catalog = there.version, there.catalog
        try:
            entries = await asyncio.to_thread(self._read, path)
            if self._made_from() == version:
                made = await asyncio.to_thread(make_plan, version, catalog, entries, self.name, confirmation)
            elif await asyncio.to_thread(diff_entries, catalog, entries):
                return await self._outdated(path)
            else:
                made = None
        except ConfigError as error:
            return self._refuse(path, "list", "; ".join(error.problems[:20]))
        except InvalidChange as error:
            return self._refuse(path, error.field, error.reason)
        if made is None:
            return self._unchanged(path, version)
        await self._propose(path, made)

    def _read(self, path: Path) -> list[Entry]:
        """On a thread. Raises ConfigError."""
        entries = read_edited(path)
        self.accepts(entries)
        return entries

    def _unchanged(self, path: Path, version: int) -> None:
        self._remember(version)
        self._ended_as("unchanged", version)
        self.note("configuration_unchanged", {"path": str(path), "version": version})

    async def _outdated(self, path: Path) -> None:
        """Another version came since the list was made."""
        before = self._made_from()
        words = f"version {before}" if before is not None else "a version that is not known here"
        there = self.machine.configuration
        shown = path.with_name(f"{path.stem}.in-force.jsonl")
        await asyncio.to_thread(write_list, shown, there.catalog)
        self._remember(there.version)
        self._refuse(
            path,
            "after",
            f"the list was made from {words}, and version {there.version} by {there.by} is in force, written "
            f"to {shown}: bring its changes into the list, and ask again",
        )

    async def _propose(self, path: Path, made: PublishPlan) -> None:
        publishing = Publication(made, _now())
        self._ended = []
        while True:
            self._news.clear()
            ended, self._ended = tuple(self._ended), []
            there = self.machine.configuration
            facts = PublishInputs(self.machine.state.level, there.version, there.catalog.digest(), ended)
            for step in publishing.step(_now(), facts):
                if isinstance(step, Superseded):
                    await self._outdated(path)
                if self._end(path, made, step):
                    return
                await self._carry_out(step)

    async def _carry_out(self, step: Action) -> None:
        match step:
            case Propose():
                self._start(self._propose_one(step))
            case ProposeAbandon():
                self._start(self._forget(step))
            case Wait():
                try:
                    await asyncio.wait_for(self._news.wait(), step.wait_ms / 1000.0)
                except TimeoutError:
                    pass

    def _start(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._asking.add(task)
        task.add_done_callback(self._asking.discard)

    async def _propose_one(self, step: Propose) -> None:
        told = await self.ask(step.command, PROPOSING)
        result = commands.decode_result(told.result) if told.how is OutcomeKind.AGREED else None
        self._ended.append(ProposalEnded(step.number, told.how, result, told.why))
        self._news.set()

    async def _forget(self, step: ProposeAbandon) -> None:
        await self.ask(step.command, PROPOSING)

    def _end(self, path: Path, made: PublishPlan, step: Action) -> bool:
        match step:
            case Published():
                self._remember(step.version)
                self._ended_as("agreed", step.version)
                said = {"path": str(path), "version": step.version}
                self.note("configuration_agreed", {**said, "changed": made.changed, "removed": made.removed})
            case Rejected():
                self._refuse(path, step.field, step.reason)
        return isinstance(step, Published | Rejected | Superseded)

    def _refuse(self, path: Path, field: str, why: str) -> None:
        self._ended_as("refused", 0, field, why)
        self.note("configuration_refused", {"path": str(path), "field": field, "error": why})

    def _ended_as(self, state: str, version: int, field: str = "", why: str = "") -> None:
        self.edit = Edit(state, self.edit.number, version, field, why)

    def _made_from(self) -> int | None:
        """The version that the list was made from; None if that is not known, 0 before there is any."""
        try:
            kept = json.loads(self.remembered.read_bytes())
        except FileNotFoundError:
            return None if self.machine.configuration.version else 0
        except (OSError, ValueError):
            return None
        version = kept.get("version") if isinstance(kept, dict) else None
        return version if isinstance(version, int) else None

    def _remember(self, version: int) -> None:
        fresh = self.remembered.with_suffix(".configuration.new")
        try:
            fresh.write_text(json.dumps({"version": version}))
            fresh.replace(self.remembered)
        except OSError as error:  # the next edit is refused once, and told why
            self.note("configuration_not_remembered", {"path": str(self.remembered), "error": str(error)})

    def abort(self) -> None:
        """End what is on its way; it may still come into the log."""
        for task in (self.task, *self._asking):
            if task is not None:
                task.cancel()


def _now() -> float:
    return time.monotonic() * 1000.0
