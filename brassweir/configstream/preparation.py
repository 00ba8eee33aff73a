"""The next catalog, made while the pieces of a version come, so that the commit has only to switch. Pure.

It is a shortcut and never a verdict of its own: whatever is not as an honest proposer makes it (pieces that
share names, that cannot be read, that are missing here) leaves the verdict to the whole check at the commit.
So copies that prepared and copies that did not come to the same result.
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
    """The first and the last name of a piece, in the order of pieces."""

    first: SortKey
    last: SortKey


class Preparation:
    """What the pieces that came so far make of a catalog."""

    def __init__(self, catalog: Catalog) -> None:
        self.catalog = catalog
        self.spans: dict[int, _Span] = {}  # of the pieces that are in the draft
        self._totals = DeltaTotals()
        self._draft = catalog.builder()
        self._usable = True

    def add(self, part: int, body: bytes) -> None:
        """Put a piece in, once."""
        if not self._usable or part in self.spans:
            return
        try:
            delta, rest = unpack_first(body, self._totals)
            check_entries(delta)
            self._draft.add(delta.changed, delta.removed)
        except (DeltaError, EntryError, InvalidChange, UnknownEntry):
            self._discard()
            return
        if rest or not delta:
            self._discard()
            return
        self.spans[part] = _span(delta)

    def _discard(self) -> None:
        self._usable, self._draft = False, self.catalog.builder()

    def finish(self, catalog: Catalog, parts: int, confirmation: Confirmation) -> Catalog | None:
        """The next catalog after exactly these parts; None if it takes the whole check. Raises CheckError."""
        if not self._usable or self.catalog is not catalog or self.spans.keys() != set(range(parts)):
            return None
        spans = [self.spans[part] for part in range(parts)]
        if any(before.last >= after.first for before, after in zip(spans, spans[1:], strict=False)):
            return None  # a name may stand twice
        made = catalog.build(self._draft)
        check_limits(made, catalog.size, confirmation)
        return made.catalog


def _span(delta: Delta) -> _Span:
    keys = [sort_key(entry.name) for entry in delta.changed] + [sort_key(name) for name in delta.removed]
    return _Span(min(keys), max(keys))
