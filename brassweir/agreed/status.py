"""What a member shows to operators, and the port it asks for."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from brassweir.agreed.core import Core


class Port(Protocol):
    """What carries messages between copies; ``brassweir.peers`` has the real one."""

    def send(self, to: str, kind: str, body: bytes) -> bool:
        """Send, perhaps in vain."""

    def on(self, kind: str, handler: Callable[[str, bytes], None]) -> None:
        """Hear (sender's proven name, body)."""


@dataclass
class Status:
    """What operators see. ``trouble``: why this copy takes no part; "" if it does."""

    name: str
    trouble: str = "not started"
    group: str = ""
    member: str = ""
    life: int = 0
    sure: bool = False
    role: str = "none"
    leader: str = ""
    term: int = 0
    last: int = 0
    agreed: int = 0
    applied: int = 0
    age_ms: float = -1.0  # since a leader surely led; -1: never heard
    voters: list[str] = field(default_factory=list)
    learners: list[str] = field(default_factory=list)  # fed by this copy
    feeder: str = ""
    waiting: int = 0
    dropped: dict[str, int] = field(default_factory=dict)


def status_of(core: Core, trouble: str, dropped: dict[str, int]) -> Status:
    """A running member as it stands."""
    age, mine = core.leader_age(), core.identity
    return Status(
        core.name,
        trouble or core.write_error,
        mine.group,
        mine.member,
        mine.generation,
        core.identity_confirmed or not core.is_voter,
        core.role,
        core.leader,
        core.term,
        core.log.last_index,
        core.commit_index,
        core.applied_index,
        age if age < 1e15 else -1.0,
        core.log.membership.names(),
        sorted(core.children),
        core.feeder,
        len(core.requests.proposals),
        {**dropped, **core.dropped},
    )
