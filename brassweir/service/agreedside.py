"""The agreed log in one process: its member, its machine, and what this copy does with them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Any

from brassweir.agreed.machine import Machine
from brassweir.agreed.member import Member
from brassweir.config.copies import agreed_folder
from brassweir.config.model import Config, CopyModel
from brassweir.peers.port import PeerPort
from brassweir.service.agreeing import Agreeing
from brassweir.service.region import Region
from brassweir.service.regionlog import RegionLog


class AgreedSide:
    """One copy's part in the log."""

    def __init__(self, config: Config, base: Path, me: CopyModel, copies: tuple[CopyModel, ...],
                 port: PeerPort, region: Region | None, note: Callable[[str, dict[str, object]], None]) -> None:
        assert config.agreed is not None
        given = config.agreed
        self.note = note
        self.machine = Machine()
        self.member = Member(me.name, agreed_folder(config, base), port, self.machine, given.voters)
        self.deals = Agreeing(me, self.machine, self.member, region if isinstance(region, RegionLog) else None,
                              given.lease_ms, base / given.first_epoch if given.first_epoch else None, note)
        self.task: asyncio.Task[None] | None = None
