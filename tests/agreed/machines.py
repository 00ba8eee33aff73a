"""Samples for tests of the replicated machine."""

from __future__ import annotations

import msgspec

from brassweir.agreed import commands
from brassweir.agreed.commands import Command, Result, encode
from brassweir.agreed.machine import Machine
from tests.regions.samples import sample_epoch

FIRST = msgspec.structs.replace(sample_epoch(), turn=1)


def do(machine: Machine, command: Command | bytes, level: int = 1) -> Result:
    data = command if isinstance(command, bytes) else encode(command, level)
    return commands.decode_result(machine.apply(machine.state.index + 1, data))
