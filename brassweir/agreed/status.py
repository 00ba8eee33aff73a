"""What a member shows to operators, and the network port that it needs."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from brassweir.agreed.core import Core


class Port(Protocol):
    """Carries messages between copies; ``brassweir.peers`` implements it."""

    def send(self, to: str, kind: str, body: bytes) -> bool:
        """Send a message. Delivery is not guaranteed."""

    def on(self, kind: str, handler: Callable[[str, bytes], None]) -> None:
        """Register a handler of (authenticated sender name, body)."""


@dataclass
class Status:
    """Status for operators. ``trouble``: why this copy takes no part; "" if it does."""

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
    age_ms: float = -1.0  # since a leader surely led; -1: never
    voters: list[str] = field(default_factory=list)
    learners: list[str] = field(default_factory=list)  # fed by this copy
    feeder: str = ""
    waiting: int = 0
    dropped: dict[str, int] = field(default_factory=dict)


def status_of(core: Core, trouble: str, dropped: dict[str, int]) -> Status:
    """Status of a running core."""
    age, identity = core.leader_age(), core.identity
    return Status(
        core.name,
        trouble or core.write_error,
        identity.group,
        identity.member,
        identity.generation,
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
