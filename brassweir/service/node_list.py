"""Keeps a sender's endpoint list: loads, watches and saves it, and reports changes to the engine."""

from __future__ import annotations

from typing import Any

from brassweir.core.engine import Engine
from brassweir.core.ports import Clock, Handle
from brassweir.interface import ListKind, ListUpdate
from brassweir.relay.discovery import DiscoveryClient, Note, WatchListeners
from brassweir.relay.endpoint_list import Change, EndpointList
from brassweir.relay.list_state import ListStateMachine
from brassweir.relay.settings import NodeConfig
from brassweir.service.saved_list import SavedList

CONFIGURED, SAVED, WATCHED = "configuration", "folder", "watch"  # sources of the list, in the log
MAX_STALL_SECONDS = 0.15  # of the event loop: a drain's grace has to cover it
MAX_REQUEST_INTERVAL_SECONDS = 0.2


def request_interval(grace: float) -> float:
    """Return the seconds between two requests for the list, so that a drain is noticed within its grace."""
    return min(MAX_REQUEST_INTERVAL_SECONDS, max(grace - MAX_STALL_SECONDS, grace / 4.0))


class NodeList:
    """Applies the lists known at the start and the changes of the watch, and passes them to the engine."""

    def __init__(
        self, engine: Engine, clock: Clock, config: NodeConfig, saved: SavedList, log: Any, note: Note
    ) -> None:
        self.engine, self.clock, self.saved, self.log, self.note = engine, clock, saved, log, note
        self.endpoints = EndpointList()
        self.source, self.updated_at = "none", clock.now()
        self.state = ListStateMachine(clock.now() / 1000.0, config.shortest_deadline)
        self.outage_timer: Handle | None = None
        self.logged_save_failure = ""  # the last one logged: repetitions are not logged
        listeners = WatchListeners(self.apply, self._confirmed, self._lost)
        self.discovery = DiscoveryClient(
            config.discovery,
            lambda: self.endpoints.rev,
            listeners,
            note,
            request_interval(config.drain_grace),
        )

    def describe(self) -> dict[str, object]:
        """Return the list's version, source, age and state as log fields."""
        return {
            "rev": self.endpoints.rev,
            "source": self.source,
            "age_ms": round(self.clock.now() - self.updated_at),
            "list": self.state.state.value,
        }

    def start(self, known: Change | None) -> None:
        """Apply the saved list and the configured one, the older first, and report the list as unconfirmed.

        The watch itself is started by ``discovery.start``.
        """
        lists = [(change, SAVED) for change in self.saved.load()]
        if known is not None:
            newer = lists and known.rev >= lists[-1][0].rev
            lists.insert(len(lists) if newer else 0, (known, CONFIGURED))
        for number, (change, source) in enumerate(lists):
            self._update(change, ListKind.DELTA if number else ListKind.CACHED, source)
        self._save_snapshot()
        self.engine.update_list(ListUpdate(ListKind.UNCONFIRMED))
        self._log_state("process started", self.state.since)
        self._schedule_outage()

    def retry_save(self) -> None:
        """Save the list again if the last attempt failed. Called periodically."""
        if self.saved.snapshot_due:
            self._save_snapshot()

    def stop(self) -> None:
        """Stop the watch."""
        if self.outage_timer is not None:
            self.outage_timer.cancel()
        self.discovery.stop()

    # ---- from the watch

    def apply(self, change: Change) -> None:
        """Apply a change from the watch; one that is behind the version known is ignored."""
        if change.rev < self.endpoints.rev:
            # The agent is behind: applying its outdated state could undo a drain.
            self.note("list_behind", {"rev": change.rev, "known": self.endpoints.rev})
            return
        self._update(change, ListKind.DELTA, WATCHED)

    def _confirmed(self) -> None:
        since, calls_allowed = self.state.since, self.state.calls_allowed
        self.state.confirmed(self.clock.now() / 1000.0)
        if self.outage_timer is not None:
            self.outage_timer.cancel()
        if not calls_allowed:
            self.engine.update_list(ListUpdate(ListKind.USABLE))
        self._log_state("a watch was confirmed", since)

    def _lost(self, why: str, last_received: float) -> None:
        since = self.state.since
        self.state.lost(self.clock.now() / 1000.0, last_received)
        self.engine.update_list(ListUpdate(ListKind.UNCONFIRMED))
        self._log_state(f"the watch ended: {why}", since)
        self._schedule_outage()

    # ---- outage timeout

    def _schedule_outage(self) -> None:
        self.outage_timer = self.clock.call_at(self.state.outage_at * 1000.0, self._check_outage)

    def _check_outage(self) -> None:
        since = self.state.since
        self.state.check_outage(self.clock.now() / 1000.0)
        if self.state.calls_allowed:
            self.engine.update_list(ListUpdate(ListKind.USABLE))
            self._log_state("discovery is silent: the last list received is used", since)
        else:
            self._schedule_outage()

    def _log_state(self, why: str, since: float) -> None:
        before = round(self.clock.now() - since * 1000.0)
        self.log.info("list_state", why=why, before_ms=before, **self.describe())

    # ---- applying and saving

    def _update(self, change: Change, kind: ListKind, source: str) -> None:
        differs = self.endpoints.differs(change)
        update = self.endpoints.apply(change, kind)
        self.source, self.updated_at = source, self.clock.now()
        if source == WATCHED and differs:
            self.saved.append(change, self.endpoints.snapshot)
            self._log_save_failure()
        self.log.info("list", rev=change.rev, source=source, whole=change.all, changed=len(update.entries))
        for info in update.entries if source == WATCHED else ():
            self.log.info(
                "endpoint_state",
                endpoint=info.name,
                destination=info.destination,
                state=info.state.value,
                rev=change.rev,
            )
        if update.entries:
            self.engine.update_list(update)

    def _save_snapshot(self) -> None:
        if self.endpoints.rev or self.endpoints.known:
            self.saved.replace(self.endpoints.snapshot())
            self._log_save_failure()

    def _log_save_failure(self) -> None:
        if self.saved.failure and self.saved.failure != self.logged_save_failure:
            self.note("list_not_saved", {"error": self.saved.failure})
        self.logged_save_failure = self.saved.failure
