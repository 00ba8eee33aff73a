"""Who reads next: which connections may take bytes from their sockets, so that memory stays bounded and fair.

Three bounds, each for a reason of its own:

- Bytes: a source may go on reading while it holds less than what is still free (a dynamic threshold,
  Choudhury and Hahne 1998, with factor one): alone it may fill half the room, with k greedy others each gets
  a like share of k / (k + 1) of it, and some always stays for who comes next.
- Chunks: each source has a window of chunks without an answer, which grows by one with each window delivered
  and halves with a refusal, or a delivery later than aimed at (additive increase, multiplicative decrease,
  Chiu and Jain 1989).
- Time: after a refusal a source is not read from until the told wait is over.

Who is told to go on is promised a slice, so that many told at once do not count on the same room; who may
read at any time (nothing held, nothing waited for) is not, so all together may go over the room by a slice
each, once. The oldest chunk begun may always go on while answers alone do not fill the room, unless its
source waits for its own answers or a told wait: halves that wait for one another's room would wait for ever.
No I/O, no clock.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import islice

FIRST_WINDOW = 4.0  # chunks: a new source may show its pace before anything is known of it
WINDOW = 64.0  # chunks at most: some sixteen shippers' threads, each with a chunk in either direction
SHRINK = 0.5  # of the window stays after a refusal
# Refusals that came from one moment's state are one sign: within so long of the last shrink there is no
# other.
SHRINK_APART = 200.0  # ms: about the way there and back
LOOKS = 16  # waiting connections looked at for each thing that happens: bounds the work of an event
AGAIN = 20.0  # ms until the rest is looked at
SLICE = 16_384  # bytes: the most that is read at once; small beside the room, many packets long
LAPSE = 200.0  # ms: a promise not taken up by then is no longer counted


@dataclass(slots=True)
class Source:
    """All connections of one name."""

    held: int = 0  # bytes of chunks begun or without an answer
    open: int = 0  # chunks without an answer
    window: float = FIRST_WINDOW
    until: float = 0.0  # not read from before this
    shrunk: float = -1e18
    connections: int = 0


@dataclass(slots=True)
class Reader:
    """One connection."""

    source: str
    partial: int = 0
    working: int = 0
    waiting: bool = False
    gone: bool = False


@dataclass(slots=True)
class Turns:
    """The state of all. ``room`` is in bytes; times in ms."""

    room: int
    sources: dict[str, Source] = field(default_factory=dict)
    readers: dict[int, Reader] = field(default_factory=dict)
    held: int = 0
    working: int = 0
    begun: OrderedDict[int, None] = field(default_factory=OrderedDict)  # readers within a chunk, oldest first
    line: OrderedDict[int, None] = field(default_factory=OrderedDict)  # readers that wait for room or window
    paused: list[tuple[float, int]] = field(default_factory=list)  # readers that wait for a time
    promised: OrderedDict[int, float] = field(default_factory=OrderedDict)  # slices, and when promised
    slice: int = SLICE
    last_id: int = 0

    # ---- facts

    def opened(self, source: str) -> int:
        """A connection of a source; the number that it is known by from now on."""
        self.last_id += 1
        self.readers[self.last_id] = Reader(source)
        self.sources.setdefault(source, Source()).connections += 1
        return self.last_id

    def closed(self, ident: int) -> None:
        """It is gone. Chunks of it that have no answer yet are still held."""
        reader = self.readers.get(ident)
        if reader is None:
            return
        self._count(reader, -reader.partial, 0)
        self.begun.pop(ident, None)
        self.line.pop(ident, None)
        self.promised.pop(ident, None)
        reader.waiting, reader.gone = False, True
        self.sources[reader.source].connections -= 1
        if not reader.working:
            del self.readers[ident]

    def came(self, ident: int, partial: int) -> None:
        """So many bytes are held of a chunk that is not whole; 0 between two."""
        reader = self.readers[ident]
        self.promised.pop(ident, None)
        self._count(reader, partial - reader.partial, 0)
        if partial:
            self.begun.setdefault(ident)
        else:
            self.begun.pop(ident, None)

    def whole(self, ident: int, size: int) -> None:
        """A chunk of so many bytes is in work."""
        reader = self.readers[ident]
        self._count(reader, 0, size)
        self.sources[reader.source].open += 1

    def grew(self, ident: int, more: int) -> None:
        """A chunk in work takes more room than it came in."""
        self._count(self.readers[ident], 0, more)

    def done(self, ident: int, size: int) -> None:
        """A chunk in work is let go of; ``size`` with all that it grew."""
        reader = self.readers[ident]
        self._count(reader, 0, -size)
        self.sources[reader.source].open -= 1
        if reader.gone and not reader.working:
            del self.readers[ident]

    def delivered(self, name: str, age: float, aim: float, now: float) -> None:
        """One of its chunks was delivered ``age`` after it was taken; its class aims at ``aim`` (both ms).

        Later than aimed at is the sign that comes before refusals: what is open already is more than goes
        through. It counts once in the time that it took to come.
        """
        source = self.sources.get(name)
        if source is None:
            return
        if age <= aim:
            source.window = min(WINDOW, source.window + 1.0 / source.window)
        elif now - source.shrunk >= max(SHRINK_APART, age):
            self._shrink(source, now)

    def refused(self, name: str, wait: float, now: float) -> None:
        """One of its chunks was refused, with a told wait."""
        source = self.sources.get(name)
        if source is None:
            return
        source.until = max(source.until, now + wait)
        if now - source.shrunk >= SHRINK_APART:
            self._shrink(source, now)

    @staticmethod
    def _shrink(source: Source, now: float) -> None:
        source.shrunk = now
        source.window = max(1.0, source.window * SHRINK)

    # ---- decisions

    def may_read(self, ident: int, now: float) -> bool:
        """May this connection read now? If not it waits, and :meth:`next` names it when it may."""
        reader = self.readers[ident]
        if self._may(ident, reader, now):
            return True
        if not reader.waiting:
            reader.waiting = True
            self._wait(ident, reader, now)
        return False

    def next(self, now: float) -> tuple[list[int], float | None]:
        """Who may read on, and when to ask again (ms), if not only after something has happened."""
        go: list[int] = []
        while self.promised and next(iter(self.promised.values())) <= now - LAPSE:
            self.promised.popitem(last=False)
        oldest = self._eldest(now)
        if oldest is not None:
            reader = self.readers[oldest]
            if reader.waiting and self._may(oldest, reader, now):
                self._release(oldest, go, now)
        while self.paused and self.paused[0][0] <= now:
            _, ident = heappop(self.paused)
            if ident in self.readers and self.readers[ident].waiting:
                self.line.setdefault(ident)
        looks = 0
        for _ in range(len(self.line)):
            if looks >= LOOKS:
                return go, now + AGAIN
            ident, _ = self.line.popitem(last=False)
            reader = self.readers[ident]
            if self._may(ident, reader, now):
                self._release(ident, go, now)
            else:
                looks += 1
                self._wait(ident, reader, now)
        return go, max(now, self.paused[0][0]) if self.paused else None

    def _may(self, ident: int, reader: Reader, now: float) -> bool:
        source = self.sources[reader.source]
        # Within a chunk as well: a source that never stops sending is within one at the end of every read.
        if self._stopped(source, now):
            return False
        if reader.partial and self.working < self.room and self._eldest(now) == ident:
            return True
        return source.held < self.room - self.held - len(self.promised) * self.slice

    @staticmethod
    def _stopped(source: Source, now: float) -> bool:
        """Its own answers or waits stop it, whatever room there is: they come to an end by themselves."""
        return now < source.until or source.open >= int(source.window)

    def _eldest(self, now: float) -> int | None:
        """The oldest chunk begun that only room keeps from going on, of the first that are looked at."""
        for ident in islice(self.begun, LOOKS):
            if not self._stopped(self.sources[self.readers[ident].source], now):
                return ident
        return None

    def _wait(self, ident: int, reader: Reader, now: float) -> None:
        until = self.sources[reader.source].until
        if now < until:
            self.line.pop(ident, None)
            heappush(self.paused, (until, ident))
        else:
            self.line[ident] = None

    def _release(self, ident: int, go: list[int], now: float) -> None:
        self.readers[ident].waiting = False
        self.promised[ident] = now
        self.line.pop(ident, None)
        go.append(ident)

    # ---- books

    def _count(self, reader: Reader, partial: int, working: int) -> None:
        reader.partial += partial
        reader.working += working
        self.sources[reader.source].held += partial + working
        self.held += partial + working
        self.working += working
