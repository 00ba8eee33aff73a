"""Whether a change of the configuration may be made. Pure: proposers and machines ask the same, alike.

What would harm most if it slipped through needs an operator's word, with the exact numbers: owners left with
no endpoint, and many endpoints removed at once.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from brassweir.configstream.catalog import Catalog, CatalogUpdate, UnknownEntry
from brassweir.configstream.delta import MAX_ENTRIES, Delta, DeltaError, unpack
from brassweir.configstream.entries import EntryError, printable, validate

MAX_REMOVED_FRACTION = 0.1  # of all entries, by one change without an operator's word
MAX_ENTRIES_BYTES = 32 << 20  # bytes of a catalog's entries before compression

_Count = Annotated[int, msgspec.Meta(ge=0, le=1 << 30)]


class Confirmation(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """The numbers that an operator states, so that what they name may pass."""

    removed: _Count = 0  # endpoints
    destinations: _Count = 0  # owners left with no endpoint


UNCONFIRMED = Confirmation()


class InvalidChange(ValueError):
    """A change that must not be made: which field stands against it, and why; the endpoint if it is one's."""

    def __init__(self, field: str, why: str, endpoint: str = "") -> None:
        super().__init__(f"{field}: {why}")
        self.field, self.reason, self.endpoint = field, why, endpoint


def apply_delta(catalog: Catalog, delta: Delta, confirmation: Confirmation = UNCONFIRMED) -> Catalog:
    """The next catalog. Raises CheckError; the one that is there is never changed."""
    check_entries(delta)
    try:
        made = catalog.apply(delta.changed, delta.removed)
    except UnknownEntry as error:
        raise InvalidChange(
            "name", f"endpoint {printable(error.args[0])} is not there to be removed"
        ) from None
    check_limits(made, catalog.size, confirmation)
    return made.catalog


def check_entries(delta: Delta) -> None:
    """Each name once, each entry acceptable by itself. Raises CheckError."""
    _check_names(delta)
    for entry in delta.changed:
        try:
            validate(entry)
        except EntryError as error:
            raise InvalidChange("entry", str(error), entry.name) from None


def check_limits(made: CatalogUpdate, size: int, confirmation: Confirmation) -> None:
    """What a change of a catalog of that size adds up to. Raises CheckError."""
    _check_size(made.catalog)
    _check_removed(made.removed, size, confirmation)
    _check_unserved(made.unserved, confirmation)


def apply_packed_delta(catalog: Catalog, body: bytes, confirmation: Confirmation = UNCONFIRMED) -> Catalog:
    """The same of a packed delta. Raises CheckError."""
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
