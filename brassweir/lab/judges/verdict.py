"""The checker's tolerances, its settings of message classes, and its result."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Figures:
    """Tolerances of the checker, in seconds unless stated otherwise."""

    answer: float = 1.0  # from a message's deadline until its final answer must have reached the client
    drain: float = 1.0  # from publishing a drain until no new request may arrive
    flight: float = 0.3  # a request or answer that crosses another one on the network
    overlap: float = 0.25  # calls of one key that start closer together than this overlap
    gap: float = 0.05  # submissions of one key closer together than this have no certain order
    again: int = 0  # count: receipts allowed beyond the number of posts, where senders are killed
    blame: float = 2 / 3  # share: calls by senders that saw the outage, from which they are at fault


@dataclass(frozen=True, slots=True)
class ClassFigures:
    """The settings of a message class that the rules depend on.

    ``window`` is the time in seconds in which a message with a key may be repeated.
    """

    effect: str
    window: float = 0.0
    in_order: bool = False


@dataclass(slots=True)
class Verdict:
    """Violations by rule number, and how many situations tested each rule."""

    broken: dict[int, list[str]] = field(default_factory=lambda: {rule: [] for rule in range(1, 7)})
    tested: dict[int, int] = field(default_factory=lambda: {rule: 0 for rule in range(1, 7)})

    @property
    def clean(self) -> bool:
        """Tell whether no rule was violated."""
        return not any(self.broken.values())

    def say(self, rule: int, what: str) -> None:
        """Record a violation of a rule."""
        self.broken[rule].append(what)
