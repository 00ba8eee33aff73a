"""Splits a new endpoint list into bounded updates, with endpoints that became unusable first.

Passing a list of ten thousand entries to the decision module at once would block the event loop. So a new
list, or a delta to the last one, is compared with the entries that the module knows. The differences are
queued: first endpoints that became unusable, then changed ones, then new ones. Unchanged entries are not
passed on again.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import replace

from brassweir.interface import EndpointInfo, EntryState, ListKind, ListUpdate

MAX_ENTRIES_PER_UPDATE = 200  # keeps one turn of the decision module within a few ms


class ListUpdateQueue:
    """The entries that the decision module knows, and the updates that it has yet to receive.

    A later list or delta supersedes the pending updates of an earlier one: pending entries are compared
    again, so that an older state is never passed on after a newer one. ``step`` is the largest number of
    entries in one update.
    """

    def __init__(self, step: int = MAX_ENTRIES_PER_UPDATE) -> None:
        self.step = step
        self.known: dict[str, EndpointInfo] = {}  # as the module knows them
        self.unusable: deque[EndpointInfo] = deque()
        self.changed: deque[EndpointInfo] = deque()
        self.added: deque[EndpointInfo] = deque()

    def replace_all(self, entries: Iterable[EndpointInfo]) -> int:
        """Take a complete new list; return the number of pending entries.

        Raises ValueError, and changes nothing, if a name occurs twice.
        """
        entries_by_name: dict[str, EndpointInfo] = {}
        names: set[str] = set()
        for info in entries:
            _require_unique(info.name, names)
            entries_by_name[info.name] = info
        removed = [name for name in self.known if name not in entries_by_name]
        return self._queue([*map(self._gone, removed), *entries_by_name.values()])

    def apply(self, changed: Iterable[EndpointInfo], removed: Iterable[str]) -> int:
        """Take a delta to the last list or delta; return the number of pending entries.

        Entries still pending from earlier calls stay so, unless this delta changes them. Removal of an
        unknown name is ignored. Raises ValueError, and changes nothing, if a name occurs twice.
        """
        targets = {info.name: info for queue in (self.unusable, self.changed, self.added) for info in queue}
        names: set[str] = set()
        for name in removed:
            _require_unique(name, names)
            targets.pop(name, None)
            if name in self.known:
                targets[name] = self._gone(name)
        for info in changed:
            _require_unique(info.name, names)
            targets[info.name] = info
        return self._queue(targets.values())

    def _gone(self, name: str) -> EndpointInfo:
        return replace(self.known[name], state=EntryState.GONE)

    def _queue(self, targets: Iterable[EndpointInfo]) -> int:
        """Make these the only pending entries, except those that the module knows already."""
        unusable, changed, added = deque[EndpointInfo](), deque[EndpointInfo](), deque[EndpointInfo]()
        for info in targets:
            previous = self.known.get(info.name)
            if previous == info:
                continue
            if previous is None:
                added.append(info)  # unknown to the module, so not in use, whatever its state
            elif info.state is not EntryState.READY:
                unusable.append(info)
            else:
                changed.append(info)
        self.unusable, self.changed, self.added = unusable, changed, added
        return self.pending

    @property
    def pending(self) -> int:
        """The number of entries that the module has yet to receive."""
        return len(self.unusable) + len(self.changed) + len(self.added)

    def next_update(self) -> ListUpdate | None:
        """Return the next update, of at most ``step`` entries, or None if nothing is pending."""
        batch: list[EndpointInfo] = []
        for queue in (self.unusable, self.changed, self.added):
            while queue and len(batch) < self.step:
                batch.append(queue.popleft())
        if not batch:
            return None
        for info in batch:
            if info.state is EntryState.GONE:
                self.known.pop(info.name, None)
            else:
                self.known[info.name] = info
        return ListUpdate(ListKind.DELTA, tuple(batch))


def _require_unique(name: str, names: set[str]) -> None:
    if name in names:
        raise ValueError(f"endpoint {name} stands more than once")
    names.add(name)
