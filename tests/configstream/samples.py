"""Sample entries, changes and transfers, and a state machine at log level 2."""

from __future__ import annotations

from brassweir.agreed import commands as agreed
from brassweir.agreed.commands import Format, Join, Result
from brassweir.configstream import commands, delta
from brassweir.configstream.catalog import EMPTY, Catalog
from brassweir.configstream.commands import AnyCommand, Change, Commit, Stage
from brassweir.configstream.delta import Delta
from brassweir.configstream.entries import Entry
from brassweir.configstream.machine import ConfiguredMachine
from brassweir.configstream.validation import UNCONFIRMED, Confirmation, apply_delta


def entry(number: int, rate: float = 0.0, state: str = "ready", owner: str = "") -> Entry:
    return Entry(f"e{number}", f"http://h{number}:80/x", owner or f"d{number}", state=state, rate=rate)


def entries(count: int, rate: float = 0.0) -> list[Entry]:
    return [entry(number, rate) for number in range(count)]


def catalog(count: int) -> Catalog:
    return apply_delta(EMPTY, Delta(tuple(entries(count))))


def level_2(made: ConfiguredMachine) -> ConfiguredMachine:
    for command in (Join("a", "s", "r", 2), Format(2)):
        assert agreed.decode_result(made.apply(made.state.index + 1, agreed.encode(command))).ok
    return made


def apply(machine: ConfiguredMachine, command: AnyCommand | bytes) -> Result:
    data = command if isinstance(command, bytes) else commands.encode(command)
    return agreed.decode_result(machine.apply(machine.state.index + 1, data))


def change(machine: ConfiguredMachine, made: Delta, confirmation: Confirmation = UNCONFIRMED) -> Change:
    """The Change command that a correct proposer makes, without validation."""
    there = machine.configuration
    digest = there.catalog.apply(made.changed, made.removed).catalog.digest()
    return Change(there.version, delta.pack(made), digest, "a", confirmation)


def transfer(
    machine: ConfiguredMachine, made: Delta, parts: int, name: str = "t"
) -> tuple[list[Stage], Commit]:
    """The same change as a transfer of ``parts`` chunks."""
    one = change(machine, made)
    size = -(-len(one.body) // parts)
    stages = [Stage(name, part, one.body[part * size : (part + 1) * size]) for part in range(parts)]
    return stages, Commit(name, one.after, parts, one.digest, "a")
