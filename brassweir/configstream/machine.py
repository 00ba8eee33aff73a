"""The replicated state machine that holds the endpoint configuration, from log level 2 on. Pure.

At log level 1 it behaves as the plain machine, and its snapshots are the same bytes. A version takes effect
atomically, by one command. Older programs reject snapshots of level 2 by their level.
"""

from __future__ import annotations

import hashlib
from typing import Any

import msgspec

from brassweir.agreed import commands as agreed
from brassweir.agreed.commands import Result
from brassweir.agreed.machine import Machine, UnsupportedLevel
from brassweir.agreed.machine_state import MachineState, StateError, pack, unpack
from brassweir.configstream import commands
from brassweir.configstream.catalog import EMPTY, Catalog, CatalogError
from brassweir.configstream.catalog_source import CatalogSource
from brassweir.configstream.change_history import ChangeHistory
from brassweir.configstream.commands import Abandon, Change, Commit, Stage
from brassweir.configstream.delta import Delta
from brassweir.configstream.staging import Staging, TransferSnapshot
from brassweir.configstream.validation import InvalidChange


class Configuration:
    """The committed version, the transfers staged for the next one, and recent changes."""

    def __init__(self, version: int = 0, by: str = "", catalog: Catalog = EMPTY) -> None:
        self.version = version  # log index of the command that made it; 0 before the first
        self.by = by  # name of the copy that proposed it
        self.catalog = catalog
        self.staging = Staging()
        self.history = ChangeHistory()


class _ConfigurationSnapshot(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """The configuration as a snapshot stores it."""

    version: int
    by: str
    catalog: bytes
    transfers: tuple[TransferSnapshot, ...]


class _StateSnapshot(MachineState):
    """A snapshot of level 2 or above. Its level stands where older programs look for it and reject it."""

    configuration: _ConfigurationSnapshot | None = None


_snapshot_decoder = msgspec.msgpack.Decoder(_StateSnapshot)


class ConfiguredMachine(Machine):
    """One copy's replicated state, including the endpoint configuration."""

    level = commands.LEVEL

    def __init__(self, catalog_source: CatalogSource | None = None) -> None:
        super().__init__()
        self.catalog_source = catalog_source if catalog_source is not None else CatalogSource()
        self.configuration = Configuration()

    def changes_since(self, version: int) -> Delta | None:
        """All changes since ``version`` as one delta; None if the history is too short to tell."""
        return self.configuration.history.since(version, self.configuration.version)

    def _decode(self, level: int, body: bytes) -> Any:  # of either level; ``_carry_out`` tells them apart
        return super()._decode(level, body) if level < commands.LEVEL else commands.decode(body)

    def _carry_out(self, index: int, command: agreed.AnyCommand | commands.AnyCommand) -> Result:
        match command:
            case Stage():
                return self._stage(index, command)
            case Commit():
                return self._commit(index, command)
            case Change():
                return self._apply_change(index, command, command.body)
            case Abandon():
                self.configuration.staging.drop(command.transfer)
                return Result(True, self.configuration.version)
            case _:
                return super()._carry_out(index, command)

    def _stage(self, index: int, command: Stage) -> Result:
        command = msgspec.structs.replace(command, body=self.catalog_source.intern_chunk(command.body))
        current = self.configuration
        reason = current.staging.add(index, command)
        if reason:
            return self._rejected("part", reason)
        current.staging.prepare(
            command.transfer, lambda: self.catalog_source.new_preparation(current.catalog)
        )
        return Result(True, current.version)

    def _commit(self, index: int, command: Commit) -> Result:
        current = self.configuration
        missing = current.staging.missing(command.transfer, command.parts)
        if missing and self._is_next(command):
            return self._rejected("parts", f"pieces are missing: {', '.join(map(str, missing))}, ...")
        body = b"" if missing else current.staging.join(command.transfer, command.parts)
        result = self._apply_change(index, command, body)
        current.staging.drop(command.transfer)
        return result

    def _is_next(self, command: Commit | Change) -> bool:
        """Whether the change was made from the current version and would change the catalog."""
        current = self.configuration
        return command.after == current.version and command.digest != current.catalog.digest()

    def _apply_change(self, index: int, given: Commit | Change, body: bytes) -> Result:
        current = self.configuration
        if given.digest == current.catalog.digest():
            return Result(True, current.version)
        if given.after != current.version:
            return self._rejected(
                "after", f"it was made from version {given.after}, and {current.version} is there"
            )
        try:
            catalog = self._next_catalog(given, body)
        except InvalidChange as error:
            return self._rejected(error.field, error.reason)
        if catalog.digest() != given.digest:
            return self._rejected("digest", "it leads to other endpoints than the proposer stated")
        current.history.add(current.version, body)
        current.staging.clear()  # all transfers were made from an older version
        current.version, current.by, current.catalog = index, given.by, catalog
        return Result(True, index)

    def _next_catalog(self, command: Commit | Change, body: bytes) -> Catalog:
        """Return the next catalog, from the preparation if there is one. Raises InvalidChange."""
        current = self.configuration
        if isinstance(command, Commit):
            prepared = current.staging.finish(
                command.transfer, current.catalog, command.parts, command.confirmation
            )
            if prepared is not None:
                return prepared
        return self.catalog_source.next_catalog(current.catalog, body, command.confirmation)

    def _rejected(self, field: str, reason: str) -> Result:
        return Result(False, self.configuration.version, field, reason)

    def snapshot(self) -> bytes:
        """Encode the whole state; at level 1 as the plain machine does. Raises UnsupportedLevel."""
        if self.unsupported or self.state.level < commands.LEVEL:
            return super().snapshot()
        current = self.configuration
        stored = _ConfigurationSnapshot(
            current.version, current.by, current.catalog.pack(), current.staging.snapshot()
        )
        return pack(_StateSnapshot(**msgspec.structs.asdict(self.state), configuration=stored))

    def restore(self, data: bytes) -> None:
        """Replace the state by that of a snapshot. Raises StateError and then changes nothing."""
        state = unpack(data)
        if state.level > self.level:
            raise StateError(f"level {state.level} is agreed, and this version knows {self.level}")
        configuration = (
            self._restore_configuration(data) if state.level >= commands.LEVEL else Configuration()
        )
        super().restore(data)
        self.configuration = configuration

    def _restore_configuration(self, data: bytes) -> Configuration:
        try:
            stored = _snapshot_decoder.decode(memoryview(data)[32:]).configuration
        except (msgspec.DecodeError, RecursionError) as error:
            raise StateError(f"no state: {error}") from None
        if stored is None:
            raise StateError("a state of level 2 without a configuration")
        try:
            catalog = self.catalog_source.restore_catalog(stored.catalog)
        except CatalogError as error:
            raise StateError(str(error)) from None
        configuration = Configuration(stored.version, stored.by, catalog)
        configuration.staging = Staging(stored.transfers)
        return configuration

    def digest(self) -> str:
        """Digest for comparing copies at one index, over uncompressed bytes (zlib builds differ)."""
        plain = super().digest()
        if self.state.level < commands.LEVEL:
            return plain
        current = self.configuration
        parts = (plain, str(current.version), current.by, current.catalog.digest(), current.staging.digest())
        return hashlib.sha256("\0".join(parts).encode()).hexdigest()[:16]


__all__ = ["UnsupportedLevel", "Configuration", "ConfiguredMachine"]
