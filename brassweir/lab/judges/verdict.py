"""What a judge excuses, what it knows of a class, and what it says."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Figures:
    """Grace figures in seconds."""

    answer: float = 1.0  # a final answer's way back to the client beyond the time the client gave
    drain: float = 1.0  # from the list's writing until nothing new may arrive
    flight: float = 0.3  # a call under way while its partner's other answer, or a drain, was on its way
    overlap: float = 0.25  # two messages of one key within this of each other are surely at once
    gap: float = 0.05  # two hand-ins of one key closer than this have no certain order
    again: int = 0  # times a receipt may be brought beyond its posts, where its sender is killed
    blame: float = 2 / 3  # share of the pushing calls that came from senders which saw the outage


@dataclass(frozen=True, slots=True)
class ClassFigures:
    """What the checker knows of a class; ``window`` in seconds."""

    effect: str
    window: float = 0.0
    in_order: bool = False


@dataclass(slots=True)
class Verdict:
    """Broken rules with what was seen, and how often each rule was put to the test."""

    broken: dict[int, list[str]] = field(default_factory=lambda: {rule: [] for rule in range(1, 7)})
    tested: dict[int, int] = field(default_factory=lambda: {rule: 0 for rule in range(1, 7)})

    @property
    def clean(self) -> bool:
        """Was no rule broken?"""
        return not any(self.broken.values())

    def say(self, rule: int, what: str) -> None:
        """Note a break."""
        self.broken[rule].append(what)
