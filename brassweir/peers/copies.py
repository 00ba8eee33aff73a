"""Who there is: the copies that one copies file lists, seen from one of them. Pure.

Files may differ between copies for a while: each copy goes by its own, and what it hears of others that are
not in it is passed over.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

MAX_NAME_BYTES = 64  # bytes; a name stands in every message


class CopiesError(ValueError):
    """A list of copies that makes no sense; names the entry and the field."""


@dataclass(frozen=True, slots=True)
class Copy:
    """One process of the program. ``address`` ("host:port") is where the reader of the file finds it."""

    name: str
    site: str
    region: str
    address: str

    def host_port(self) -> tuple[str, int]:
        """The two parts of the address; "[::1]:7201" for IPv6."""
        return host_port(self.address, f"copies: {self.name}: address")


@dataclass(frozen=True, slots=True)
class Change:
    """What one reading of the file changed: names."""

    added: frozenset[str]
    removed: frozenset[str]
    moved: frozenset[str]  # another address, site or region

    def __bool__(self) -> bool:
        return bool(self.added or self.removed or self.moved)


def host_port(address: str, field: str) -> tuple[str, int]:
    """Cut "host:port". Raises CopiesError naming ``field``."""
    host, colon, port = address.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    if not colon or not host or not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise CopiesError(f"{field}: {address!r} is no host:port")
    return host, int(port)


class Fleet:
    """The copies of one file, with the own entry. Raises CopiesError."""

    def __init__(self, own: str, copies: Iterable[Copy]) -> None:
        self.by_name: dict[str, Copy] = {}
        where: dict[str, str] = {}
        for copy in copies:
            self._check(copy)
            if copy.name in self.by_name:
                raise CopiesError(f"copies: {copy.name}: name stands twice")
            if copy.address in where:
                raise CopiesError(f"copies: {copy.name}: address is that of {where[copy.address]} too")
            self.by_name[copy.name] = copy
            where[copy.address] = copy.name
        if own not in self.by_name:
            raise CopiesError(f"copies: no entry of the own name {own!r}")
        self.own = self.by_name[own]
        self.others = tuple(copy for name, copy in sorted(self.by_name.items()) if name != own)
        self.by_site: dict[str, tuple[Copy, ...]] = {}
        for copy in sorted(self.by_name.values(), key=lambda one: one.name):
            self.by_site[copy.site] = (*self.by_site.get(copy.site, ()), copy)

    def __len__(self) -> int:
        return len(self.by_name)

    def __contains__(self, name: str) -> bool:
        return name in self.by_name

    def outside(self, name: str) -> bool:
        """Does a listed copy stand at another site than the own one?"""
        return self.by_name[name].site != self.own.site

    def changed(self, older: Fleet) -> Change:
        """What is different from ``older``."""
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
