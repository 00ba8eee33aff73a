"""The replicated machine with an endpoint configuration, from log level 2 on. Pure.

While level 1 is agreed it is the plain machine, to the byte of its snapshots. A version takes effect by one
command, at once or not at all. An older program refuses the snapshots of level 2 by their level.
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
    """The version that is agreed, and what is on its way to the next."""

    def __init__(self, version: int = 0, by: str = "", catalog: Catalog = EMPTY) -> None:
        self.version = version  # the place in the log of the command that made it; 0: none
        self.by = by  # the copy that proposed it
        self.catalog = catalog
        self.staging = Staging()
        self.history = ChangeHistory()


class _ConfigurationSnapshot(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """A configuration in a snapshot."""

    version: int
    by: str
    catalog: bytes
    transfers: tuple[TransferSnapshot, ...]


class _StateSnapshot(MachineState):
    """A state of level 2 or above. Its level stands where older versions look for it, and refuse it by it."""

    configuration: _ConfigurationSnapshot | None = None


_snapshot_decoder = msgspec.msgpack.Decoder(_StateSnapshot)


class ConfiguredMachine(Machine):
    """One copy's state of what is agreed, the endpoint configuration with it."""

    level = commands.LEVEL

    def __init__(self, share: CatalogSource | None = None) -> None:
        super().__init__()
        self.catalog_source = share if share is not None else CatalogSource()
        self.configuration = Configuration()

    def changes_since(self, version: int) -> Delta | None:
        """What was changed since that version; None if it is too old: compare catalogs (delta.between)."""
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

    def _stage(self, index: int, given: Stage) -> Result:
        given = msgspec.structs.replace(given, body=self.catalog_source.intern_chunk(given.body))
        there = self.configuration
        why = there.staging.add(index, given)
        if why:
            return self._rejected("part", why)
        there.staging.prepare(given.transfer, lambda: self.catalog_source.new_preparation(there.catalog))
        return Result(True, there.version)

    def _commit(self, index: int, given: Commit) -> Result:
        there = self.configuration
        missing = there.staging.missing(given.transfer, given.parts)
        if missing and self._is_next(given):
            return self._rejected("parts", f"pieces are missing: {', '.join(map(str, missing))}, ...")
        body = b"" if missing else there.staging.join(given.transfer, given.parts)
        result = self._apply_change(index, given, body)
        there.staging.drop(given.transfer)
        return result

    def _is_next(self, given: Commit | Change) -> bool:
        """It was made from the version that is there, and is not what that says already."""
        there = self.configuration
        return given.after == there.version and given.digest != there.catalog.digest()

    def _apply_change(self, index: int, given: Commit | Change, body: bytes) -> Result:
        there = self.configuration
        if given.digest == there.catalog.digest():
            return Result(True, there.version)
        if given.after != there.version:
            return self._rejected(
                "after", f"it was made from version {given.after}, and {there.version} is there"
            )
        try:
            catalog = self._next_catalog(given, body)
        except InvalidChange as error:
            return self._rejected(error.field, error.reason)
        if catalog.digest() != given.digest:
            return self._rejected("digest", "it leads to other endpoints than the proposer stated")
        there.history.add(there.version, body)
        there.staging.clear()  # all of it was made from an older version
        there.version, there.by, there.catalog = index, given.by, catalog
        return Result(True, index)

    def _next_catalog(self, given: Commit | Change, body: bytes) -> Catalog:
        """The next catalog: prepared, or made now. Raises CheckError."""
        there = self.configuration
        if isinstance(given, Commit):
            made = there.staging.finish(given.transfer, there.catalog, given.parts, given.confirmation)
            if made is not None:
                return made
        return self.catalog_source.next_catalog(there.catalog, body, given.confirmation)

    def _rejected(self, field: str, why: str) -> Result:
        return Result(False, self.configuration.version, field, why)

    def snapshot(self) -> bytes:
        """The whole state; the plain machine's bytes while level 1 is agreed. Raises Beyond."""
        if self.unsupported or self.state.level < commands.LEVEL:
            return super().snapshot()
        there = self.configuration
        kept = _ConfigurationSnapshot(there.version, there.by, there.catalog.pack(), there.staging.snapshot())
        return pack(_StateSnapshot(**msgspec.structs.asdict(self.state), configuration=kept))

    def restore(self, data: bytes) -> None:
        """Become what a snapshot says. Raises StateError, and changes nothing."""
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
            kept = _snapshot_decoder.decode(memoryview(data)[32:]).configuration
        except (msgspec.DecodeError, RecursionError) as error:
            raise StateError(f"no state: {error}") from None
        if kept is None:
            raise StateError("a state of level 2 without a configuration")
        try:
            catalog = self.catalog_source.restore_catalog(kept.catalog)
        except CatalogError as error:
            raise StateError(str(error)) from None
        configuration = Configuration(kept.version, kept.by, catalog)
        configuration.staging = Staging(kept.transfers)
        return configuration

    def digest(self) -> str:
        """What copies compare at one index: over plain bytes, as compressed ones differ between copies."""
        plain = super().digest()
        if self.state.level < commands.LEVEL:
            return plain
        there = self.configuration
        parts = (plain, str(there.version), there.by, there.catalog.digest(), there.staging.digest())
        return hashlib.sha256("\0".join(parts).encode()).hexdigest()[:16]


__all__ = ["UnsupportedLevel", "Configuration", "ConfiguredMachine"]
