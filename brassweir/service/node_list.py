"""The endpoint list of a sender on the platform: where it comes from, who is told, what the log says."""

from __future__ import annotations

from typing import Any

from brassweir.core.engine import Engine
from brassweir.core.ports import Clock
from brassweir.interface import ListKind
from brassweir.relay.discovery import Discovery, Note
from brassweir.relay.listing import Change, Listing

CONFIGURED, WATCHED = "configuration", "watch"  # sources of the list, as the log names them


class NodeList:
    """Takes in the configured list and the changes of the watch, and tells the engine."""

    def __init__(self, engine: Engine, clock: Clock, discovery: str, log: Any, note: Note) -> None:
        self.engine, self.clock, self.log, self.note = engine, clock, log, note
        self.listing = Listing()
        self.source, self.learnt_at = "none", clock.now()
        self.discovery = Discovery(discovery, lambda: self.listing.rev, self.take, note)

    def knowledge(self) -> dict[str, object]:
        """What is known of the list, for a log line: version, where it came from, and how old it is."""
        return {
            "rev": self.listing.rev,
            "source": self.source,
            "age_ms": round(self.clock.now() - self.learnt_at),
        }

    def begin(self, known: Change | None) -> None:
        """Know the configured list."""
        if known is not None:
            self._learn(known, ListKind.CACHED, CONFIGURED)

    def take(self, change: Change) -> None:
        """A change that the watch has told."""
        if change.rev < self.listing.rev:
            # An agent that is behind: what it tells was true before, and could undo a drain.
            self.note("list_behind", {"rev": change.rev, "known": self.listing.rev})
            return
        self._learn(change, ListKind.DELTA, WATCHED)

    def _learn(self, change: Change, kind: ListKind, source: str) -> None:
        news = self.listing.take(change, kind)
        self.source, self.learnt_at = source, self.clock.now()
        self.log.info("list", rev=change.rev, source=source, whole=change.all, changed=len(news.entries))
        for info in news.entries if source == WATCHED else ():
            self.log.info(
                "endpoint_state",
                endpoint=info.name,
                destination=info.destination,
                state=info.state.value,
                rev=change.rev,
            )
        if news.entries or kind is not ListKind.DELTA:
            self.engine.news(news)
