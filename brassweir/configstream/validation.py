"""Validates changes of the configuration, with the same rules for proposers and for state machines. Pure.

The most harmful changes, which leave owners without an endpoint or remove many endpoints at once, need an
operator's confirmation with the exact numbers.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from brassweir.configstream.catalog import Catalog, CatalogUpdate, UnknownEntry
from brassweir.configstream.delta import MAX_ENTRIES, Delta, DeltaError, unpack
from brassweir.configstream.entries import EntryError, printable, validate

MAX_REMOVED_FRACTION = 0.1  # of all entries, by one change without confirmation
MAX_ENTRIES_BYTES = 32 << 20  # of a catalog, before compression

_Count = Annotated[int, msgspec.Meta(ge=0, le=1 << 30)]


class Confirmation(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """The exact numbers that an operator confirms."""

    removed: _Count = 0  # endpoints
    destinations: _Count = 0  # owners left without an endpoint


UNCONFIRMED = Confirmation()


class InvalidChange(ValueError):
    """A change that is not allowed: the field at fault, the reason, and the endpoint if it concerns one."""

    def __init__(self, field: str, reason: str, endpoint: str = "") -> None:
        super().__init__(f"{field}: {reason}")
        self.field, self.reason, self.endpoint = field, reason, endpoint


def apply_delta(catalog: Catalog, delta: Delta, confirmation: Confirmation = UNCONFIRMED) -> Catalog:
    """Validate a delta and return the next catalog. Raises InvalidChange."""
    check_entries(delta)
    try:
        update = catalog.apply(delta.changed, delta.removed)
    except UnknownEntry as error:
        raise InvalidChange(
            "name", f"endpoint {printable(error.args[0])} is not there to be removed"
        ) from None
    check_limits(update, catalog.size, confirmation)
    return update.catalog


def check_entries(delta: Delta) -> None:
    """Check that each name occurs once and each entry is valid. Raises InvalidChange."""
    _check_names(delta)
    for entry in delta.changed:
        try:
            validate(entry)
        except EntryError as error:
            raise InvalidChange("entry", str(error), entry.name) from None


def check_limits(update: CatalogUpdate, size: int, confirmation: Confirmation) -> None:
    """Check the limits on the result of a change to a catalog of ``size`` entries. Raises InvalidChange."""
    _check_size(update.catalog)
    _check_removed(update.removed, size, confirmation)
    _check_unserved(update.unserved, confirmation)


def apply_packed_delta(catalog: Catalog, body: bytes, confirmation: Confirmation = UNCONFIRMED) -> Catalog:
    """Unpack and validate a delta and return the next catalog. Raises InvalidChange."""
    try:
        delta = unpack(body)
    except EntryError as error:
        raise InvalidChange("entry", str(error), error.name) from None
    except DeltaError as error:
        raise InvalidChange(error.field, str(error)) from None
    return apply_delta(catalog, delta, confirmation)


def _check_names(delta: Delta) -> None:
    seen: set[str] = set()
    for name in (*(entry.name for entry in delta.changed), *delta.removed):
        if name in seen:
            raise InvalidChange("name", f"endpoint {printable(name)} stands more than once", name)
        seen.add(name)


def _check_size(catalog: Catalog) -> None:
    if catalog.size > MAX_ENTRIES:
        raise InvalidChange("size", f"{catalog.size} endpoints; {MAX_ENTRIES} are the most")
    if catalog.plain_bytes > MAX_ENTRIES_BYTES:
        raise InvalidChange(
            "size", f"{catalog.plain_bytes} bytes of endpoints; {MAX_ENTRIES_BYTES} are the most"
        )


def _check_removed(removed: int, size: int, confirmation: Confirmation) -> None:
    if removed <= MAX_REMOVED_FRACTION * size or removed == confirmation.removed:
        return
    raise InvalidChange(
        "removed",
        f"{removed} of {size} endpoints would be removed at once, and {confirmation.removed} are confirmed; "
        f"without a word at most {MAX_REMOVED_FRACTION:.0%}",
    )


def _check_unserved(unserved: tuple[str, ...], confirmation: Confirmation) -> None:
    if not unserved or len(unserved) == confirmation.destinations:
        return
    names = ", ".join(printable(name) for name in unserved[:3])
    raise InvalidChange(
        "destinations",
        f"{len(unserved)} would be left with no endpoint, and {confirmation.destinations} are confirmed: "
        f"{names}{', ...' if len(unserved) > 3 else ''}",
    )
