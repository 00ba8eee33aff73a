"""Header fields as an ordered list of pairs."""

from __future__ import annotations

from collections.abc import Iterable, Iterator


class DuplicateHeader(ValueError):
    """A field that may occur once occurs several times with different values."""


class Headers:
    """Fields in the order received; names are case-insensitive (RFC 9110, section 5.1)."""

    __slots__ = ("pairs",)

    def __init__(self, pairs: Iterable[tuple[str, str]] = ()) -> None:
        self.pairs: list[tuple[str, str]] = list(pairs)

    def __iter__(self) -> Iterator[tuple[str, str]]:
        return iter(self.pairs)

    def add(self, name: str, value: str) -> None:
        """Appends a field. Raises ValueError on characters that allow header injection, or on a bad name."""
        if any(char in "\r\n\0" for char in name + value) or not name or ":" in name:
            raise ValueError(f"invalid header field {name!r} with value {value[:80]!r}")
        self.pairs.append((name, value))

    def all(self, name: str) -> list[str]:
        """Returns every value of a field."""
        name = name.lower()
        return [value for field, value in self.pairs if field.lower() == name]

    def one(self, name: str, default: str = "") -> str:
        """Returns the value of a field that may occur once. Raises DuplicateHeader if values differ."""
        values = self.all(name)
        if len(set(values)) > 1:
            raise DuplicateHeader(f"header {name} stands {len(values)} times")
        return values[0] if values else default

    def first(self, name: str, default: str = "") -> str:
        """Returns the first value of a field, even if others differ."""
        return next(iter(self.all(name)), default)

    def encode_head(self, start: str) -> bytes:
        """Returns the head as bytes, from ``start``, its first line, to the empty line."""
        lines = [start, *(f"{name}: {value}" for name, value in self.pairs), "", ""]
        return "\r\n".join(lines).encode("latin-1")
