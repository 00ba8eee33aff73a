"""A simulated group whose links have a bandwidth; sends large commands and counts messages."""

from __future__ import annotations

from collections.abc import Callable
from itertools import pairwise

from brassweir.agreed.core import Core
from brassweir.agreed.events import Propose, Send
from brassweir.agreed.messages import AppendEntries, SnapshotChunk, encode
from brassweir.lab.models.logworld import Weather, World

LINK = 12_500.0  # bytes per ms: 100 Mbit/s


class FeedWorld(World):
    """Messages of a copy wait on its link for those sent before."""

    def __init__(
        self,
        seed: int,
        learners: int,
        weather: Weather | None = None,
        core: type[Core] = Core,
        link: float = LINK,
    ) -> None:
        self.link = link
        self.free: dict[str, float] = {}  # when each copy's link is free again
        self.kinds: dict[tuple[str, str], int] = {}  # messages by receiver and kind
        self.chunks: dict[tuple[str, int], int] = {}  # bytes of chunks by sender and second
        self.beats: dict[tuple[str, int], list[float]] = {}  # send times of a leader's messages, by term
        super().__init__(seed, 3, learners, weather, core)
        self.run(6_000.0)

    def send(self, sender: str, post: Send) -> None:
        body = post.envelope.body
        kind = (post.to, type(body).__name__)
        self.kinds[kind] = self.kinds.get(kind, 0) + 1
        if isinstance(body, SnapshotChunk):
            second = (sender, int(self.now // 1_000.0))
            self.chunks[second] = self.chunks.get(second, 0) + len(body.data)
        begin = max(self.now, self.free.get(sender, 0.0))
        self.free[sender] = begin + len(encode(post.envelope)) / self.link
        if isinstance(body, AppendEntries):
            self.beats.setdefault((sender, body.term), []).append(self.free[sender])
        now, self.now = self.now, self.free[sender]
        super().send(sender, post)
        self.now = now

    def command(self, size: int, through: str = "") -> bytes:
        """Propose a command of that many bytes."""
        self.tickets += 1
        body = f"{self.tickets} ".encode().ljust(size, b"-")
        name = through or str(self.leader())
        if self.nodes[name].core is not None:
            self.judge.asked(name, self.tickets, body, self.now)
            self.give(name, Propose(self.tickets, body, self.now + 30_000.0))
        return body

    def longest_silence(self) -> float:
        """The longest time in ms between two messages of a leader to voters, as they left its link."""
        spans = [b - a for times in self.beats.values() for a, b in pairwise(times)]
        return max(spans)

    def sent(self, kind: str, to: str = "") -> int:
        """Number of messages of a kind, to one copy or to all."""
        return sum(
            count for (name, sent_kind), count in self.kinds.items() if sent_kind == kind and to in ("", name)
        )

    def version(self, parts: int = 125, size: int = 5_600) -> None:
        """Propose many commands at once, as a new configuration version does."""
        for _ in range(parts):
            self.command(size)

    def until(self, done: Callable[[], bool], max_ms: float, step_ms: float = 20.0) -> float:
        """Run until ``done()``; returns how long that took, at most ``max_ms``."""
        started = self.now
        while self.now < started + max_ms and not done():
            self.run(self.now + step_ms)
        return self.now - started

    def have(self, count: int, names: tuple[str, ...] = ()) -> bool:
        """Whether these copies have applied so many commands."""
        return all(len(self.nodes[name].machine.taken) >= count for name in names or self.names)
