"""The copies that a copies file lists, as one of them sees them. Pure.

Files may differ between copies for a while. Each copy uses its own, and ignores messages from copies and
claims about copies that are not in it.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

MAX_NAME_BYTES = 64  # every message carries two names


class CopiesError(ValueError):
    """A list of copies that is invalid; the text names the entry and the field."""


@dataclass(frozen=True, slots=True)
class Copy:
    """One process of the group. ``address``: "host:port" at which the copy that reads the file reaches it."""

    name: str
    site: str
    region: str
    address: str

    def host_port(self) -> tuple[str, int]:
        """The host and port of the address. Raises CopiesError."""
        return host_port(self.address, f"copies: {self.name}: address")


@dataclass(frozen=True, slots=True)
class Change:
    """The names of copies that a new list added, removed or changed."""

    added: frozenset[str]
    removed: frozenset[str]
    moved: frozenset[str]  # to another address, site or region

    def __bool__(self) -> bool:
        return bool(self.added or self.removed or self.moved)


def host_port(address: str, field: str) -> tuple[str, int]:
    """Split "host:port", or "[host]:port" for IPv6. Raises CopiesError naming ``field``."""
    host, colon, port = address.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    if not colon or not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise CopiesError(f"{field}: {address!r} is not host:port")
    return host, int(port)


class Fleet:
    """The copies of one file. ``own`` is the name of the copy that reads it. Raises CopiesError."""

    def __init__(self, own: str, copies: Iterable[Copy]) -> None:
        self.by_name: dict[str, Copy] = {}
        name_by_address: dict[str, str] = {}
        for copy in copies:
            self._check(copy)
            if copy.name in self.by_name:
                raise CopiesError(f"copies: {copy.name}: name is listed twice")
            if copy.address in name_by_address:
                raise CopiesError(
                    f"copies: {copy.name}: address is also that of {name_by_address[copy.address]}"
                )
            self.by_name[copy.name] = copy
            name_by_address[copy.address] = copy.name
        if own not in self.by_name:
            raise CopiesError(f"copies: no entry for this copy's name {own!r}")
        self.own = self.by_name[own]
        self.others = tuple(copy for name, copy in sorted(self.by_name.items()) if name != own)
        self.by_site: dict[str, tuple[Copy, ...]] = {}
        for copy in sorted(self.by_name.values(), key=lambda copy: copy.name):
            self.by_site[copy.site] = (*self.by_site.get(copy.site, ()), copy)

    def __len__(self) -> int:
        return len(self.by_name)

    def __contains__(self, name: str) -> bool:
        return name in self.by_name

    def at_other_site(self, name: str) -> bool:
        """Whether the listed copy ``name`` belongs to another site than this copy."""
        return self.by_name[name].site != self.own.site

    def changes_from(self, older: Fleet) -> Change:
        """How this list differs from ``older``."""
        new, old = self.by_name, older.by_name
        return Change(
            frozenset(new.keys() - old.keys()),
            frozenset(old.keys() - new.keys()),
            frozenset(name for name in new.keys() & old.keys() if new[name] != old[name]),
        )

    @staticmethod
    def _check(copy: Copy) -> None:
        for field in ("name", "site", "region"):
            value = getattr(copy, field)
            if not value or not value.isprintable() or len(value.encode()) > MAX_NAME_BYTES:
                raise CopiesError(
                    f"copies: {copy.name!r}: {field}: {value!r} is not 1 to {MAX_NAME_BYTES} "
                    "bytes of printable text"
                )
        copy.host_port()
