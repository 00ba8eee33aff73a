"""How a machine comes to the next catalog; and how many machines of one process share what is alike. Pure."""

from __future__ import annotations

from typing import Any

from brassweir.configstream.catalog import Catalog
from brassweir.configstream.preparation import Preparation
from brassweir.configstream.validation import Confirmation, InvalidChange, apply_packed_delta

MAX_CACHED_CATALOGS = 64  # catalogs that are remembered


class CatalogSource:
    """Computes each thing anew."""

    def intern_chunk(self, body: bytes) -> bytes:
        """The bytes of a command that are kept."""
        return body

    def new_preparation(self, catalog: Catalog) -> Preparation | None:
        """What a version in pieces is prepared with while they come; None to leave all to the commit."""
        return Preparation(catalog)

    def next_catalog(self, catalog: Catalog, body: bytes, confirmation: Confirmation) -> Catalog:
        """The checked catalog after a packed delta. Raises CheckError."""
        return apply_packed_delta(catalog, body, confirmation)

    def restore_catalog(self, data: bytes) -> Catalog:
        """The catalog of a snapshot. Raises CatalogError."""
        return Catalog.unpack(data)


class CachingCatalogSource(CatalogSource):
    """Computes once what equal machines ask for one after the other, as in simulations of many copies."""

    def __init__(self) -> None:
        self._chunks: dict[bytes, bytes] = {}
        self._next_catalogs: dict[tuple[str, bytes, Confirmation], Catalog | InvalidChange] = {}
        self._restored_catalogs: dict[bytes, Catalog] = {}

    def intern_chunk(self, body: bytes) -> bytes:
        """The first equal one."""
        _bound(self._chunks, 4 * 1_024)
        return self._chunks.setdefault(body, body)

    def new_preparation(self, catalog: Catalog) -> Preparation | None:
        """None: what is made at the commit is shared."""
        return None

    def next_catalog(self, catalog: Catalog, body: bytes, confirmation: Confirmation) -> Catalog:
        """By the catalog's digest and the delta."""
        key = (catalog.digest(), body, confirmation)
        if key not in self._next_catalogs:
            _bound(self._next_catalogs, MAX_CACHED_CATALOGS)
            try:
                self._next_catalogs[key] = super().next_catalog(catalog, body, confirmation)
            except InvalidChange as error:
                self._next_catalogs[key] = error
        made = self._next_catalogs[key]
        if isinstance(made, InvalidChange):
            raise InvalidChange(made.field, made.reason, made.endpoint)
        return made

    def restore_catalog(self, data: bytes) -> Catalog:
        """By the bytes."""
        if data not in self._restored_catalogs:
            _bound(self._restored_catalogs, MAX_CACHED_CATALOGS)
            self._restored_catalogs[data] = super().restore_catalog(data)
        return self._restored_catalogs[data]


def _bound(known: dict[Any, Any], most: int) -> None:
    """Make room for one more: the oldest goes."""
    while len(known) >= most:
        del known[next(iter(known))]
