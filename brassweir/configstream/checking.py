"""Whether a change of the configuration may be made. Pure: proposers and machines ask the same, alike.

What would harm most if it slipped through needs an operator's word, with the exact numbers: owners left with
no endpoint, and many endpoints removed at once.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from brassweir.configstream.catalog import Catalog, UnknownEntry
from brassweir.configstream.delta import MOST_ENTRIES, Delta, DeltaError, unpack
from brassweir.configstream.entries import EntryError, shown, validate

MOST_REMOVED = 0.1  # of all entries, by one change without an operator's word
MOST_LENGTH = 32 << 20  # bytes of a catalog's entries before compression

_Count = Annotated[int, msgspec.Meta(ge=0, le=1 << 30)]


class Confirmation(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """The numbers that an operator states, so that what they name may pass."""

    removed: _Count = 0  # endpoints
    destinations: _Count = 0  # owners left with no endpoint


UNCONFIRMED = Confirmation()


class CheckError(ValueError):
    """A change that must not be made: which field stands against it, and why; the endpoint if it is one's."""

    def __init__(self, field: str, why: str, endpoint: str = "") -> None:
        super().__init__(f"{field}: {why}")
        self.field, self.why, self.endpoint = field, why, endpoint


def check(catalog: Catalog, delta: Delta, confirmation: Confirmation = UNCONFIRMED) -> Catalog:
    """The next catalog. Raises CheckError; the one that is there is never changed."""
    _check_names(delta)
    for entry in delta.changed:
        try:
            validate(entry)
        except EntryError as error:
            raise CheckError("entry", str(error), entry.name) from None
    try:
        made = catalog.advance(delta.changed, delta.removed)
    except UnknownEntry as error:
        raise CheckError("name", f"endpoint {shown(error.args[0])} is not there to be removed") from None
    _check_size(made.catalog)
    _check_removed(made.removed, catalog.size, confirmation)
    _check_unserved(made.unserved, confirmation)
    return made.catalog


def check_packed(catalog: Catalog, body: bytes, confirmation: Confirmation = UNCONFIRMED) -> Catalog:
    """The same of a packed delta. Raises CheckError."""
    try:
        delta = unpack(body)
    except EntryError as error:
        raise CheckError("entry", str(error), error.name) from None
    except DeltaError as error:
        raise CheckError(error.field, str(error)) from None
    return check(catalog, delta, confirmation)


def _check_names(delta: Delta) -> None:
    seen: set[str] = set()
    for name in (*(entry.name for entry in delta.changed), *delta.removed):
        if name in seen:
            raise CheckError("name", f"endpoint {shown(name)} stands more than once", name)
        seen.add(name)


def _check_size(catalog: Catalog) -> None:
    if catalog.size > MOST_ENTRIES:
        raise CheckError("size", f"{catalog.size} endpoints; {MOST_ENTRIES} are the most")
    if catalog.length > MOST_LENGTH:
        raise CheckError("size", f"{catalog.length} bytes of endpoints; {MOST_LENGTH} are the most")


def _check_removed(removed: int, size: int, confirmation: Confirmation) -> None:
    if removed <= MOST_REMOVED * size or removed == confirmation.removed:
        return
    raise CheckError(
        "removed",
        f"{removed} of {size} endpoints would be removed at once, and {confirmation.removed} are confirmed; "
        f"without a word at most {MOST_REMOVED:.0%}",
    )


def _check_unserved(unserved: tuple[str, ...], confirmation: Confirmation) -> None:
    if not unserved or len(unserved) == confirmation.destinations:
        return
    names = ", ".join(shown(name) for name in unserved[:3])
    raise CheckError(
        "destinations",
        f"{len(unserved)} would be left with no endpoint, and {confirmation.destinations} are confirmed: "
        f"{names}{', ...' if len(unserved) > 3 else ''}",
    )
