"""Keeps a sender's endpoint list: loads, watches and saves it, and reports changes to the engine."""

from __future__ import annotations

from typing import Any

from brassweir.core.engine import Engine
from brassweir.core.ports import Clock, Handle
from brassweir.interface import ListKind, ListUpdate
from brassweir.relay.discovery import Discovery, Hearers, Note
from brassweir.relay.endpoint_list import Change, Listing
from brassweir.relay.list_state import Knowledge
from brassweir.relay.settings import NodeConfig
from brassweir.service.saved_list import SavedList

CONFIGURED, SAVED, WATCHED = "configuration", "folder", "watch"  # sources of the list, in the log
HELD_UP = 0.15  # of the event loop: a drain's grace has to cover it
LONGEST_PACE = 0.2


def pace(grace: float) -> float:
    """Return the seconds between two requests for the list, so that a drain is noticed within its grace."""
    return min(LONGEST_PACE, max(grace - HELD_UP, grace / 4.0))


class NodeList:
    """Applies the lists known at the start and the changes of the watch, and passes them to the engine."""

    def __init__(
        self, engine: Engine, clock: Clock, config: NodeConfig, saved: SavedList, log: Any, note: Note
    ) -> None:
        self.engine, self.clock, self.saved, self.log, self.note = engine, clock, saved, log, note
        self.listing = Listing()
        self.source, self.learnt_at = "none", clock.now()
        self.state = Knowledge(clock.now() / 1000.0, config.shortest)
        self.due: Handle | None = None
        self.save_failure = ""  # the last one logged: repetitions are not logged
        hearers = Hearers(self.take, self._confirmed, self._lost)
        self.discovery = Discovery(
            config.discovery, lambda: self.listing.rev, hearers, note, pace(config.drain_grace)
        )

    def knowledge(self) -> dict[str, object]:
        """Return the list's version, source, age and state as log fields."""
        return {
            "rev": self.listing.rev,
            "source": self.source,
            "age_ms": round(self.clock.now() - self.learnt_at),
            "list": self.state.state.value,
        }

    def begin(self, known: Change | None) -> None:
        """Apply the saved list and the configured one, the older first, and report the list as unconfirmed.

        The watch itself is started by ``discovery.start``.
        """
        lists = [(change, SAVED) for change in self.saved.load()]
        if known is not None:
            newer = lists and known.rev >= lists[-1][0].rev
            lists.insert(len(lists) if newer else 0, (known, CONFIGURED))
        for number, (change, source) in enumerate(lists):
            self._learn(change, ListKind.DELTA if number else ListKind.CACHED, source)
        self._save_whole()
        self.engine.update_list(ListUpdate(ListKind.UNCONFIRMED))
        self._tell_state("process started", self.state.since)
        self._await_hold()

    def look(self) -> None:
        """Save the list again if the last attempt failed. Called periodically."""
        if self.saved.due:
            self._save_whole()

    def stop(self) -> None:
        """Stop the watch."""
        if self.due is not None:
            self.due.cancel()
        self.discovery.stop()

    # ---- from the watch

    def take(self, change: Change) -> None:
        """Apply a change from the watch; one that is behind the version known is ignored."""
        if change.rev < self.listing.rev:
            # The agent is behind: applying its outdated state could undo a drain.
            self.note("list_behind", {"rev": change.rev, "known": self.listing.rev})
            return
        self._learn(change, ListKind.DELTA, WATCHED)

    def _confirmed(self) -> None:
        since, usable = self.state.since, self.state.usable
        self.state.confirmed(self.clock.now() / 1000.0)
        if self.due is not None:
            self.due.cancel()
        if not usable:
            self.engine.update_list(ListUpdate(ListKind.USABLE))
        self._tell_state("a watch was confirmed", since)

    def _lost(self, why: str, heard: float) -> None:
        since = self.state.since
        self.state.lost(self.clock.now() / 1000.0, heard)
        self.engine.update_list(ListUpdate(ListKind.UNCONFIRMED))
        self._tell_state(f"the watch ended: {why}", since)
        self._await_hold()

    # ---- outage timeout

    def _await_hold(self) -> None:
        self.due = self.clock.call_at(self.state.gives_up_at * 1000.0, self._hold_over)

    def _hold_over(self) -> None:
        since = self.state.since
        self.state.look(self.clock.now() / 1000.0)
        if self.state.usable:
            self.engine.update_list(ListUpdate(ListKind.USABLE))
            self._tell_state("discovery is silent: the last list received is used", since)
        else:
            self._await_hold()

    def _tell_state(self, why: str, since: float) -> None:
        before = round(self.clock.now() - since * 1000.0)
        self.log.info("list_state", why=why, before_ms=before, **self.knowledge())

    # ---- applying and saving

    def _learn(self, change: Change, kind: ListKind, source: str) -> None:
        news = self.listing.take(change, kind)
        self.source, self.learnt_at = source, self.clock.now()
        if source == WATCHED and news.entries:
            self.saved.append(change, self.listing.whole)
            self._tell_save()
        self.log.info("list", rev=change.rev, source=source, whole=change.all, changed=len(news.entries))
        for info in news.entries if source == WATCHED else ():
            self.log.info(
                "endpoint_state",
                endpoint=info.name,
                destination=info.destination,
                state=info.state.value,
                rev=change.rev,
            )
        if news.entries:
            self.engine.update_list(news)

    def _save_whole(self) -> None:
        if self.listing.rev or self.listing.known:
            self.saved.replace(self.listing.whole())
            self._tell_save()

    def _tell_save(self) -> None:
        if self.saved.failed and self.saved.failed != self.save_failure:
            self.note("list_not_saved", {"error": self.saved.failed})
        self.save_failure = self.saved.failed
