"""The replicated state machine: applies commands in log order, with the same result on every copy. Pure.

Applying reads no clock, draws nothing and never raises: an invalid command has a result that names the field.
Commands are compare-and-set: each is made from a version, and refused if another command came first. One that
states what holds already succeeds without a change, so that a repeat through any copy does no harm.
"""

from __future__ import annotations

import msgspec

from brassweir.agreed import commands
from brassweir.agreed.commands import (
    AnyCommand,
    CommandError,
    Format,
    Join,
    Judge,
    Leave,
    Place,
    Publish,
    Result,
)
from brassweir.agreed.machine_state import (
    MachineState,
    MemberCopy,
    PlacedPin,
    StateError,
    Verdict,
    digest,
    pack,
    unpack,
)
from brassweir.regions.epochs import EpochError, check, check_follows, check_succeeds
from brassweir.regions.sources import Source, check_source

# Bounds on the state that customers and operators can make every copy hold. A fleet has 340 copies at some
# tens of sites, and ten thousand pins, of which one customer may have a tenth.
MAX_PINS = 20_000
MAX_PINS_PER_CUSTOMER = 2_000
MAX_EPOCH_BYTES = commands.MAX_COMMAND_BYTES - 300  # its renewal must fit a command, too
MAX_SITES = 256
MAX_COPIES = 1_024


class UnsupportedLevel(RuntimeError):
    """This version cannot apply the log any further: its state must not be copied to others."""


class Machine:
    """This copy's agreed state."""

    level = commands.LEVEL  # the highest that this version knows

    def __init__(self) -> None:
        self.state = MachineState()
        self.pins = 0
        self.unsupported = ""  # why this version cannot apply the log any further

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply the command at this index of the log; the encoded result is the same on every copy."""
        return msgspec.json.encode(self._result(index, command))

    def _result(self, index: int, command: bytes) -> Result:
        state = self.state
        if self.unsupported:
            return Result(False, 0, "level", self.unsupported)
        if index <= state.index:
            return Result(False, state.index, "index", "this place of the log was applied before")
        state.index = index
        try:
            level, body = commands.split(command)
            if not 1 <= level <= state.level:
                return Result(
                    False, state.level, "level", f"a command of level {level}; level {state.level} is agreed"
                )
            return self._carry_out(index, self._decode(level, body))
        except CommandError as error:
            return Result(False, 0, "command", str(error))

    def _decode(self, level: int, body: bytes) -> AnyCommand:
        """Decode a command of a level that this version knows."""
        return commands.decode(body)

    def _carry_out(self, index: int, command: AnyCommand) -> Result:
        match command:
            case Publish():
                return self._publish(index, command)
            case Place():
                return self._place(index, command)
            case Judge():
                return self._judge(index, command)
            case Join():
                return self._join(index, command)
            case Leave():
                copy = self.state.copies.pop(command.name, None)
                return Result(True, index if copy is not None else 0)
            case Format():
                return self._format(index, command)

    def _publish(self, index: int, command: Publish) -> Result:
        state, epoch = self.state, command.epoch
        if state.epoch == epoch:
            return Result(True, state.granted)
        if command.after != state.granted:
            return Result(
                False,
                state.granted,
                "after",
                f"it was made from version {command.after}, and {state.granted} is there",
            )
        size = len(msgspec.msgpack.encode(epoch))
        if size > MAX_EPOCH_BYTES:
            return Result(
                False, state.granted, "epoch", f"{size} bytes of ranges; {MAX_EPOCH_BYTES} are the most"
            )
        try:
            check(epoch)
            check_source(Source.AGREED, epoch, state.epoch)
            if state.epoch is not None:
                check_follows(epoch, state.epoch)
                if state.epoch.turn == epoch.turn:
                    check_succeeds(epoch, state.epoch, command.lost)
        except EpochError as error:
            return Result(False, state.granted, "epoch", str(error))
        state.epoch, state.granted = epoch, index
        return Result(True, index)

    def _place(self, index: int, command: Place) -> Result:
        pins = self.state.placements.get(command.customer, {})
        current = pins.get(command.shard)
        version = current.version if current is not None else 0
        if (current.pin if current is not None else None) == command.pin:
            return Result(True, version)
        if command.after != version:
            return Result(
                False, version, "after", f"it was made from version {command.after}, and {version} is there"
            )
        if command.pin is None:
            self.pins -= 1
            del pins[command.shard]
            if not pins:
                del self.state.placements[command.customer]
            return Result(True, 0)
        if current is None:
            if len(pins) >= MAX_PINS_PER_CUSTOMER or self.pins >= MAX_PINS:
                return Result(
                    False, 0, "customer", f"no room: {len(pins)} pins of this customer, {self.pins} of all"
                )
            self.pins += 1
        self.state.placements.setdefault(command.customer, pins)[command.shard] = PlacedPin(
            command.pin, index
        )
        return Result(True, index)

    def _judge(self, index: int, command: Judge) -> Result:
        sites = self.state.sites
        current = sites.get(command.site)
        version = current.version if current is not None else 0
        if current is not None and current.standing == command.standing:
            return Result(True, version)
        if command.after != version:
            return Result(
                False, version, "after", f"it was made from version {command.after}, and {version} is there"
            )
        if current is None and len(sites) >= MAX_SITES:
            return Result(False, 0, "site", f"no room: {len(sites)} sites have a verdict")
        sites[command.site] = Verdict(command.standing, command.since, command.by, index)
        return Result(True, index)

    def _join(self, index: int, command: Join) -> Result:
        copies, level = self.state.copies, self.state.level
        if command.reads < level:
            return Result(False, level, "reads", f"it reads up to level {command.reads}; {level} is agreed")
        current = copies.get(command.name)
        if current is not None and (current.site, current.region, current.reads) == (
            command.site,
            command.region,
            command.reads,
        ):
            return Result(True, current.version)
        if current is None and len(copies) >= MAX_COPIES:
            return Result(False, 0, "name", f"no room: {len(copies)} copies are members")
        copies[command.name] = MemberCopy(command.site, command.region, command.reads, index)
        return Result(True, index)

    def _format(self, index: int, command: Format) -> Result:
        state = self.state
        if command.level <= state.level:
            return Result(True, state.level)
        behind = sorted(name for name, copy in state.copies.items() if copy.reads < command.level)
        if behind or not state.copies:
            names = ", ".join(behind[:5]) or "none is known"
            return Result(False, state.level, "level", f"not all members read level {command.level}: {names}")
        state.level = command.level
        if command.level > self.level:  # it follows without having joined: it must stop here
            self.unsupported = f"level {command.level} is agreed, and this version knows {self.level}"
        return Result(True, command.level)

    def snapshot(self) -> bytes:
        """The whole state; equal states have equal bytes. Raises UnsupportedLevel."""
        if self.unsupported:
            raise UnsupportedLevel(self.unsupported)
        return pack(self.state)

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot's. Raises StateError, and then changes nothing."""
        state = unpack(data)
        if state.level > self.level:
            raise StateError(f"level {state.level} is agreed, and this version knows {self.level}")
        self.state, self.unsupported = state, ""
        self.pins = sum(len(pins) for pins in state.placements.values())

    def digest(self) -> str:
        """Digest of the state, which copies compare at one index."""
        return digest(self.state)
