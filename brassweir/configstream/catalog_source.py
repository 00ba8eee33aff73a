"""Computes catalogs for state machines, with an optional cache for many machines in one process. Pure."""

from __future__ import annotations

from typing import Any

from brassweir.configstream.catalog import Catalog
from brassweir.configstream.preparation import Preparation
from brassweir.configstream.validation import Confirmation, InvalidChange, apply_packed_delta

MAX_CACHED_CATALOGS = 64  # of each kind


class CatalogSource:
    """Computes each catalog when asked."""

    def intern_chunk(self, body: bytes) -> bytes:
        """Return the bytes to store for a staged chunk."""
        return body

    def new_preparation(self, catalog: Catalog) -> Preparation | None:
        """Return a preparation for a transfer's chunks; None to leave all work to the commit."""
        return Preparation(catalog)

    def next_catalog(self, catalog: Catalog, body: bytes, confirmation: Confirmation) -> Catalog:
        """Return the validated catalog after a packed delta. Raises InvalidChange."""
        return apply_packed_delta(catalog, body, confirmation)

    def restore_catalog(self, data: bytes) -> Catalog:
        """Decode the catalog of a snapshot. Raises CatalogError."""
        return Catalog.unpack(data)


class CachingCatalogSource(CatalogSource):
    """Caches results for state machines that apply the same log, as in simulations of many copies."""

    def __init__(self) -> None:
        self._chunks: dict[bytes, bytes] = {}
        self._next_catalogs: dict[tuple[str, bytes, Confirmation], Catalog | InvalidChange] = {}
        self._restored_catalogs: dict[bytes, Catalog] = {}

    def intern_chunk(self, body: bytes) -> bytes:
        """Return the first chunk with equal bytes, so that copies share it."""
        _evict_to_fit(self._chunks, 4 * 1_024)
        return self._chunks.setdefault(body, body)

    def new_preparation(self, catalog: Catalog) -> Preparation | None:
        """Return None, as the commit's result is cached."""
        return None

    def next_catalog(self, catalog: Catalog, body: bytes, confirmation: Confirmation) -> Catalog:
        """As in CatalogSource, cached by the catalog's digest, the delta and the confirmation."""
        key = (catalog.digest(), body, confirmation)
        if key not in self._next_catalogs:
            _evict_to_fit(self._next_catalogs, MAX_CACHED_CATALOGS)
            try:
                self._next_catalogs[key] = super().next_catalog(catalog, body, confirmation)
            except InvalidChange as error:
                self._next_catalogs[key] = error
        result = self._next_catalogs[key]
        if isinstance(result, InvalidChange):
            raise InvalidChange(result.field, result.reason, result.endpoint)
        return result

    def restore_catalog(self, data: bytes) -> Catalog:
        """As in CatalogSource, cached by the bytes."""
        if data not in self._restored_catalogs:
            _evict_to_fit(self._restored_catalogs, MAX_CACHED_CATALOGS)
            self._restored_catalogs[data] = super().restore_catalog(data)
        return self._restored_catalogs[data]


def _evict_to_fit(cache: dict[Any, Any], max_items: int) -> None:
    """Evict the oldest items until one more fits ``max_items``."""
    while len(cache) >= max_items:
        del cache[next(iter(cache))]
