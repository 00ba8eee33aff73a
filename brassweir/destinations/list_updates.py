"""Takes a list of endpoints in by bounded steps, what forbids first.

A whole list of ten thousand given to the decisions at once would hold up everything else for as long as that
takes. Here a new list, or a difference to the last one, is compared with what is known and becomes a queue of
small pieces of news: first the endpoints that are no longer to be used, then those that changed, then the new
ones. What has not changed is not told again.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import replace

from brassweir.interface import EndpointInfo, EntryState, ListKind, ListUpdate

MAX_ENTRIES_PER_UPDATE = 200  # entries told in one turn: some 4 to 6 ms of the decisions' time


class ListUpdates:
    """What is known of the list, and the news that is still to be told.

    A later list or difference that comes while an earlier one is being told takes its place: entries not told
    yet are compared anew, so nothing older is told after something newer.
    """

    def __init__(self, step: int = MAX_ENTRIES_PER_UPDATE) -> None:
        self.step = step
        self.known: dict[str, EndpointInfo] = {}  # as the decisions know it
        self.unusable: deque[EndpointInfo] = deque()
        self.changed: deque[EndpointInfo] = deque()
        self.added: deque[EndpointInfo] = deque()

    def replace_all(self, entries: Iterable[EndpointInfo]) -> int:
        """A whole new list; returns how many entries there are to tell.

        Raises ValueError if a name stands twice, and then changes nothing.
        """
        fresh: dict[str, EndpointInfo] = {}
        named: set[str] = set()
        for info in entries:
            _once(info.name, named)
            fresh[info.name] = info
        left = [name for name in self.known if name not in fresh]
        return self._queue([*map(self._gone, left), *fresh.values()])

    def apply(self, changed: Iterable[EndpointInfo], removed: Iterable[str]) -> int:
        """A difference to what was taken last; returns how many entries there are to tell now.

        What is not told yet of earlier ones stays to be told, but for what this one changes again. A name to
        be removed that is not known is passed over. Raises ValueError if a name stands twice, and then
        changes nothing.
        """
        targets = {info.name: info for queue in (self.unusable, self.changed, self.added) for info in queue}
        named: set[str] = set()
        for name in removed:
            _once(name, named)
            targets.pop(name, None)
            if name in self.known:
                targets[name] = self._gone(name)
        for info in changed:
            _once(info.name, named)
            targets[info.name] = info
        return self._queue(targets.values())

    def _gone(self, name: str) -> EndpointInfo:
        return replace(self.known[name], state=EntryState.GONE)

    def _queue(self, targets: Iterable[EndpointInfo]) -> int:
        """Tell these from now on, and nothing else; what is known already is not told again."""
        off, changed, added = deque[EndpointInfo](), deque[EndpointInfo](), deque[EndpointInfo]()
        for info in targets:
            before = self.known.get(info.name)
            if before == info:
                continue
            if before is None:
                added.append(info)  # never told of, so not in use: nothing is to be forbidden in haste
            elif info.state is not EntryState.READY:
                off.append(info)
            else:
                changed.append(info)
        self.unusable, self.changed, self.added = off, changed, added
        return self.pending

    @property
    def pending(self) -> int:
        """Entries still to be told."""
        return len(self.unusable) + len(self.changed) + len(self.added)

    def next_update(self) -> ListUpdate | None:
        """The next piece of news, at most ``step`` entries; None when all is told."""
        piece: list[EndpointInfo] = []
        for queue in (self.unusable, self.changed, self.added):
            while queue and len(piece) < self.step:
                piece.append(queue.popleft())
        if not piece:
            return None
        for info in piece:
            if info.state is EntryState.GONE:
                self.known.pop(info.name, None)
            else:
                self.known[info.name] = info
        return ListUpdate(ListKind.DELTA, tuple(piece))


def _once(name: str, named: set[str]) -> None:
    if name in named:
        raise ValueError(f"endpoint {name} stands more than once")
    named.add(name)
