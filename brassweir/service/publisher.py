"""Publishes the list that an operator edits: computes the delta to the version in force and proposes it.

An edit is based on the version that this copy last published or showed to its operator. If another copy has
published a newer one since, applying the edit would silently undo it: the edit is refused once, and the
entries in force are written to a file beside the list. Publishing again then counts as based on that version.
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

PROPOSAL_TIMEOUT_MS = 3000.0  # longer than the election of a new leader takes

Note = Callable[[str, dict[str, object]], None]
ProposeCommand = Callable[[bytes, float], Awaitable[Outcome]]  # proposes a command, with a timeout (ms)


@dataclass(frozen=True, slots=True)
class Edit:
    """The last edit of the list and how it ended, as shown to operators."""

    state: str  # none, proposing, agreed, unchanged, refused
    number: int = 0  # counts the edits of this process
    version: int = 0
    field: str = ""
    why: str = ""


class Publisher:
    """Publishes one edit at a time."""

    def __init__(
        self,
        name: str,
        machine: ConfiguredMachine,
        propose: ProposeCommand,
        base: Path,
        note: Note,
        check_list: Callable[[Sequence[Entry]], None] = lambda _: None,
    ) -> None:
        """``base`` is the directory that paths in the settings are relative to.

        ``check_list`` raises ConfigError for a list that this copy itself could not use.
        """
        self.check_list = check_list
        self.name, self.machine, self.propose, self.base, self.note = name, machine, propose, base, note
        self.base_version_path = base / f"{name}.configuration"
        self.edit = Edit("none")
        self.task: asyncio.Task[None] | None = None
        self._ended: list[ProposalEnded] = []
        self._wakeup = asyncio.Event()
        self._proposals: set[asyncio.Task[None]] = set()

    def publish(self, configuration: ConfigurationModel) -> None:
        """Start publishing the edited list; refused while another edit is in progress."""
        if configuration.list is None:
            return
        if self.task is not None and not self.task.done():
            self.note("configuration_refused", {"field": "list", "error": "an edit is still on its way"})
            return
        self.edit = Edit("proposing", self.edit.number + 1)
        confirmation = Confirmation(configuration.confirm_removed, configuration.confirm_destinations)
        self.task = asyncio.create_task(self._publish(self.base / configuration.list, confirmation))
        self.task.add_done_callback(self._stopped)

    def _stopped(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and (error := task.exception()) is not None:
            self._set_edit("refused", 0, "list", repr(error))
            self.note("configuration_refused", {"field": "list", "error": repr(error)})

    async def _publish(self, path: Path, confirmation: Confirmation) -> None:
        current = self.machine.configuration
        version, catalog = current.version, current.catalog
        try:
            entries = await asyncio.to_thread(self._read, path)
            if self._base_version() == version:
                planned = await asyncio.to_thread(
                    make_plan, version, catalog, entries, self.name, confirmation
                )
            elif await asyncio.to_thread(diff_entries, catalog, entries):
                return await self._refuse_outdated(path)
            else:
                planned = None
        except ConfigError as error:
            return self._refuse(path, "list", "; ".join(error.problems[:20]))
        except InvalidChange as error:
            return self._refuse(path, error.field, error.reason)
        if planned is None:
            return self._finish_unchanged(path, version)
        await self._propose(path, planned)

    def _read(self, path: Path) -> list[Entry]:
        """Read and check the edited list. Runs on a thread. Raises ConfigError."""
        entries = read_edited(path)
        self.check_list(entries)
        return entries

    def _finish_unchanged(self, path: Path, version: int) -> None:
        self._save_base_version(version)
        self._set_edit("unchanged", version)
        self.note("configuration_unchanged", {"path": str(path), "version": version})

    async def _refuse_outdated(self, path: Path) -> None:
        """Refuse an edit of an older version, and write the entries in force beside the list."""
        before = self._base_version()
        based_on = f"version {before}" if before is not None else "a version that is not known here"
        current = self.machine.configuration
        exported = path.with_name(f"{path.stem}.in-force.jsonl")
        await asyncio.to_thread(write_list, exported, current.catalog)
        self._save_base_version(current.version)
        self._refuse(
            path,
            "after",
            f"the list was made from {based_on}, and version {current.version} by {current.by} is in force, "
            f"written to {exported}: bring its changes into the list, and ask again",
        )

    async def _propose(self, path: Path, planned: PublishPlan) -> None:
        publication = Publication(planned, _now())
        self._ended = []
        while True:
            self._wakeup.clear()
            ended, self._ended = tuple(self._ended), []
            current = self.machine.configuration
            inputs = PublishInputs(self.machine.state.level, current.version, current.catalog.digest(), ended)
            for step in publication.step(_now(), inputs):
                if isinstance(step, Superseded):
                    await self._refuse_outdated(path)
                if self._finish(path, planned, step):
                    return
                await self._perform(step)

    async def _perform(self, step: Action) -> None:
        match step:
            case Propose():
                self._start(self._propose_command(step))
            case ProposeAbandon():
                self._start(self._propose_abandon(step))
            case Wait():
                try:
                    await asyncio.wait_for(self._wakeup.wait(), step.wait_ms / 1000.0)
                except TimeoutError:
                    pass

    def _start(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self._proposals.add(task)
        task.add_done_callback(self._proposals.discard)

    async def _propose_command(self, step: Propose) -> None:
        outcome = await self.propose(step.command, PROPOSAL_TIMEOUT_MS)
        result = commands.decode_result(outcome.result) if outcome.how is OutcomeKind.AGREED else None
        self._ended.append(ProposalEnded(step.number, outcome.how, result, outcome.why))
        self._wakeup.set()

    async def _propose_abandon(self, step: ProposeAbandon) -> None:
        await self.propose(step.command, PROPOSAL_TIMEOUT_MS)

    def _finish(self, path: Path, planned: PublishPlan, step: Action) -> bool:
        match step:
            case Published():
                self._save_base_version(step.version)
                self._set_edit("agreed", step.version)
                fields = {"path": str(path), "version": step.version}
                self.note(
                    "configuration_agreed", {**fields, "changed": planned.changed, "removed": planned.removed}
                )
            case Rejected():
                self._refuse(path, step.field, step.reason)
        return isinstance(step, Published | Rejected | Superseded)

    def _refuse(self, path: Path, field: str, reason: str) -> None:
        self._set_edit("refused", 0, field, reason)
        self.note("configuration_refused", {"path": str(path), "field": field, "error": reason})

    def _set_edit(self, state: str, version: int, field: str = "", reason: str = "") -> None:
        self.edit = Edit(state, self.edit.number, version, field, reason)

    def _base_version(self) -> int | None:
        """Return the version that the edit is based on; 0 before there is any, None if it is unknown."""
        try:
            saved = json.loads(self.base_version_path.read_bytes())
        except FileNotFoundError:
            return None if self.machine.configuration.version else 0
        except (OSError, ValueError):
            return None
        version = saved.get("version") if isinstance(saved, dict) else None
        return version if isinstance(version, int) else None

    def _save_base_version(self, version: int) -> None:
        temporary = self.base_version_path.with_suffix(".configuration.new")
        try:
            temporary.write_text(json.dumps({"version": version}))
            temporary.replace(self.base_version_path)
        except OSError as error:  # the next edit is refused once as outdated
            self.note(
                "configuration_not_remembered", {"path": str(self.base_version_path), "error": str(error)}
            )

    def abort(self) -> None:
        """Cancel the edit in progress; its commands may still reach the log."""
        for task in (self.task, *self._proposals):
            if task is not None:
                task.cancel()


def _now() -> float:
    return time.monotonic() * 1000.0
