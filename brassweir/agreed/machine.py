"""The replicated machine: commands in the order of the log change one state, alike on every copy. Pure.

Applying reads no clock, draws nothing and never raises: a command that makes no sense has a result that names
the field. Compare-and-set: a command is made from a version and is refused if another one has come first; one
that says what already stands is done without a change, so that a repeat through any copy does no harm.
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

# Bounds on what customers and operators can make every copy hold, by need: a fleet of 340 copies at some
# tens of sites, and ten thousand pins of which one customer may have a tenth.
MAX_PINS = 20_000
MAX_PINS_PER_CUSTOMER = 2_000
MAX_EPOCH_BYTES = commands.MAX_COMMAND_BYTES - 300
MAX_SITES = 256
MAX_COPIES = 1_024


class UnsupportedLevel(RuntimeError):
    """This version cannot follow the log any further: its state must not be copied to others."""


class Machine:
    """One copy's state of what is agreed."""

    level = commands.LEVEL  # the newest that this version knows

    def __init__(self) -> None:
        self.state = MachineState()
        self.pins = 0
        self.unsupported = ""  # why this version cannot go on; empty while it can

    def apply(self, index: int, command: bytes) -> bytes:
        """Carry out what stands at this place of the log; the result is the same on every copy."""
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
        """A command of a level that this version knows."""
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
                known = self.state.copies.pop(command.name, None)
                return Result(True, index if known is not None else 0)
            case Format():
                return self._format(index, command)

    def _publish(self, index: int, given: Publish) -> Result:
        state, epoch = self.state, given.epoch
        if state.epoch == epoch:
            return Result(True, state.granted)
        if given.after != state.granted:
            return Result(
                False,
                state.granted,
                "after",
                f"it was made from version {given.after}, and {state.granted} is there",
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
                    check_succeeds(epoch, state.epoch, given.lost)
        except EpochError as error:
            return Result(False, state.granted, "epoch", str(error))
        state.epoch, state.granted = epoch, index
        return Result(True, index)

    def _place(self, index: int, given: Place) -> Result:
        of = self.state.placements.get(given.customer, {})
        there = of.get(given.shard)
        version = there.version if there is not None else 0
        if (there.pin if there is not None else None) == given.pin:
            return Result(True, version)
        if given.after != version:
            return Result(
                False, version, "after", f"it was made from version {given.after}, and {version} is there"
            )
        if given.pin is None:
            self.pins -= 1
            del of[given.shard]
            if not of:
                del self.state.placements[given.customer]
            return Result(True, 0)
        if there is None:
            if len(of) >= MAX_PINS_PER_CUSTOMER or self.pins >= MAX_PINS:
                return Result(
                    False, 0, "customer", f"no room: {len(of)} pins of this customer, {self.pins} of all"
                )
            self.pins += 1
        self.state.placements.setdefault(given.customer, of)[given.shard] = PlacedPin(given.pin, index)
        return Result(True, index)

    def _judge(self, index: int, given: Judge) -> Result:
        sites = self.state.sites
        there = sites.get(given.site)
        version = there.version if there is not None else 0
        if there is not None and there.standing == given.standing:
            return Result(True, version)
        if given.after != version:
            return Result(
                False, version, "after", f"it was made from version {given.after}, and {version} is there"
            )
        if there is None and len(sites) >= MAX_SITES:
            return Result(False, 0, "site", f"no room: {len(sites)} sites have a verdict")
        sites[given.site] = Verdict(given.standing, given.since, given.by, index)
        return Result(True, index)

    def _join(self, index: int, given: Join) -> Result:
        copies, level = self.state.copies, self.state.level
        if given.reads < level:
            return Result(False, level, "reads", f"it reads up to level {given.reads}; {level} is agreed")
        there = copies.get(given.name)
        if there is not None and (there.site, there.region, there.reads) == (
            given.site,
            given.region,
            given.reads,
        ):
            return Result(True, there.version)
        if there is None and len(copies) >= MAX_COPIES:
            return Result(False, 0, "name", f"no room: {len(copies)} copies are members")
        copies[given.name] = MemberCopy(given.site, given.region, given.reads, index)
        return Result(True, index)

    def _format(self, index: int, given: Format) -> Result:
        state = self.state
        if given.level <= state.level:
            return Result(True, state.level)
        short = sorted(name for name, one in state.copies.items() if one.reads < given.level)
        if short or not state.copies:
            words = ", ".join(short[:5]) or "none is known"
            return Result(False, state.level, "level", f"not all members read level {given.level}: {words}")
        state.level = given.level
        if given.level > self.level:  # no member by its own word, and yet it follows: it must stop here
            self.unsupported = f"level {given.level} is agreed, and this version knows {self.level}"
        return Result(True, given.level)

    def snapshot(self) -> bytes:
        """The whole state; equal states have equal bytes. Raises Beyond."""
        if self.unsupported:
            raise UnsupportedLevel(self.unsupported)
        return pack(self.state)

    def restore(self, data: bytes) -> None:
        """Become what a snapshot says. Raises StateError, and changes nothing."""
        state = unpack(data)
        if state.level > self.level:
            raise StateError(f"level {state.level} is agreed, and this version knows {self.level}")
        self.state, self.unsupported = state, ""
        self.pins = sum(len(of) for of in state.placements.values())

    def digest(self) -> str:
        """What copies compare at one index."""
        return digest(self.state)
