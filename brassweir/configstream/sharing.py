"""How a machine comes to the next catalog; and how many machines of one process share what is alike. Pure."""

from __future__ import annotations

from typing import Any

from brassweir.configstream.catalog import Catalog
from brassweir.configstream.checking import CheckError, Confirmation, check_packed

MOST_SHARED = 64  # catalogs that are remembered


class Share:
    """Computes each thing anew."""

    def piece(self, body: bytes) -> bytes:
        """The bytes of a command that are kept."""
        return body

    def following(self, catalog: Catalog, body: bytes, confirmation: Confirmation) -> Catalog:
        """The checked catalog after a packed delta. Raises CheckError."""
        return check_packed(catalog, body, confirmation)

    def restored(self, data: bytes) -> Catalog:
        """The catalog of a snapshot. Raises CatalogError."""
        return Catalog.unpack(data)


class Shared(Share):
    """Computes once what equal machines ask for one after the other, as in simulations of many copies."""

    def __init__(self) -> None:
        self._pieces: dict[bytes, bytes] = {}
        self._made: dict[tuple[str, bytes, Confirmation], Catalog | CheckError] = {}
        self._restored: dict[bytes, Catalog] = {}

    def piece(self, body: bytes) -> bytes:
        """The first equal one."""
        _bound(self._pieces, 4 * 1_024)
        return self._pieces.setdefault(body, body)

    def following(self, catalog: Catalog, body: bytes, confirmation: Confirmation) -> Catalog:
        """By the catalog's digest and the delta."""
        key = (catalog.digest(), body, confirmation)
        if key not in self._made:
            _bound(self._made, MOST_SHARED)
            try:
                self._made[key] = super().following(catalog, body, confirmation)
            except CheckError as error:
                self._made[key] = error
        made = self._made[key]
        if isinstance(made, CheckError):
            raise CheckError(made.field, made.why, made.endpoint)
        return made

    def restored(self, data: bytes) -> Catalog:
        """By the bytes."""
        if data not in self._restored:
            _bound(self._restored, MOST_SHARED)
            self._restored[data] = super().restored(data)
        return self._restored[data]


def _bound(known: dict[Any, Any], most: int) -> None:
    """Make room for one more: the oldest goes."""
    while len(known) >= most:
        del known[next(iter(known))]
