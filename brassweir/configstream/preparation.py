"""Builds the next catalog while the chunks of a transfer arrive, so that the commit only switches. Pure.

It never decides on its own: if chunks share names, cannot be decoded or are missing, the full validation at
the commit decides. So copies that prepared a transfer and copies that did not reach the same result.
"""

from __future__ import annotations

from dataclasses import dataclass

from brassweir.configstream.catalog import Catalog, UnknownEntry
from brassweir.configstream.chunking import SortKey, sort_key
from brassweir.configstream.delta import Delta, DeltaError, DeltaTotals, unpack_first
from brassweir.configstream.entries import EntryError
from brassweir.configstream.validation import Confirmation, InvalidChange, check_entries, check_limits


@dataclass(frozen=True, slots=True)
class _Span:
    """The lowest and the highest sort key of a chunk."""

    first: SortKey
    last: SortKey


class Preparation:
    """A catalog with the chunks applied that have arrived so far."""

    def __init__(self, catalog: Catalog) -> None:
        self.catalog = catalog
        self.spans: dict[int, _Span] = {}  # of the chunks that were applied
        self._totals = DeltaTotals()
        self._builder = catalog.builder()
        self._usable = True

    def add(self, part: int, body: bytes) -> None:
        """Apply a chunk, unless it was applied before. An invalid one discards the preparation."""
        if not self._usable or part in self.spans:
            return
        try:
            delta, trailing = unpack_first(body, self._totals)
            check_entries(delta)
            self._builder.add(delta.changed, delta.removed)
        except (DeltaError, EntryError, InvalidChange, UnknownEntry):
            self._discard()
            return
        if trailing or not delta:
            self._discard()
            return
        self.spans[part] = _span(delta)

    def _discard(self) -> None:
        self._usable, self._builder = False, self.catalog.builder()

    def finish(self, catalog: Catalog, parts: int, confirmation: Confirmation) -> Catalog | None:
        """Return the catalog of chunks 0 to ``parts`` - 1; None if the full validation has to decide.

        Raises InvalidChange if the result is beyond a limit.
        """
        if not self._usable or self.catalog is not catalog or self.spans.keys() != set(range(parts)):
            return None
        spans = [self.spans[part] for part in range(parts)]
        if any(before.last >= after.first for before, after in zip(spans, spans[1:], strict=False)):
            return None  # a name may occur in two chunks
        update = catalog.build(self._builder)
        check_limits(update, catalog.size, confirmation)
        return update.catalog


def _span(delta: Delta) -> _Span:
    keys = [sort_key(entry.name) for entry in delta.changed] + [sort_key(name) for name in delta.removed]
    return _Span(min(keys), max(keys))
