"""Reads the endpoint list as JSON lines, one endpoint per line, for lists that are too long for YAML.

Ten thousand entries are read in tens of milliseconds; as YAML they take many seconds. The checks are those of
the YAML form, and errors name the line.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Literal
from urllib.parse import urlsplit

import msgspec

from brassweir.config.load import MAX_FILE_BYTES, ConfigError

_URL = r"^(?:https?://[^\s/?#@]+(?:[/?][^\s#]*)?|forward://[^\s/?#@]+)\Z"
_Name = Annotated[str, msgspec.Meta(pattern=r"^[!-~]{1,120}\Z")]
_TargetName = Annotated[str, msgspec.Meta(pattern=r"^[!-~](?:[ -~]{0,126}[!-~])?\Z")]
_PLAIN_URL = re.compile(r"[a-z]+://[A-Za-z0-9._-]+(?::(\d{1,5}))?(?:[/?]|\Z)")
MAX_PROBLEMS = 20  # reported at once


class Entry(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One endpoint. The fields are those of EndpointModel."""

    name: _Name
    url: Annotated[str, msgspec.Meta(pattern=_URL, max_length=2000)]
    partner: _TargetName | None = None
    destination: _TargetName | None = None
    kind: str = ""
    zone: str = ""
    state: Literal["ready", "draining", "gone"] = "ready"
    rate: Annotated[float, msgspec.Meta(ge=0, le=1e9)] = 0.0

    def problem(self) -> str:
        """Check what the types cannot express; returns the problem, or an empty text."""
        if (self.partner is None) == (self.destination is None):
            return "an endpoint has either a partner or a destination"
        plain = _PLAIN_URL.match(self.url)
        if plain is not None and int(plain[1] or 0) <= 65535:
            return ""
        try:  # any other URL is left to the library, at ten times the cost
            urlsplit(self.url).port  # noqa: B018 - the property raises ValueError
        except ValueError as error:
            return f"url: {error}"
        return ""


def read(path: Path) -> list[Entry]:
    """Read a list. Raises ConfigError with at most MAX_PROBLEMS problems, each with its line."""
    try:
        if path.stat().st_size > MAX_FILE_BYTES:
            raise ConfigError([f"{path}: larger than {MAX_FILE_BYTES} bytes"])
        data = path.read_bytes()
    except OSError as error:
        raise ConfigError([f"{path}: {error.strerror or error}"]) from None
    return parse(data, str(path))


def parse(data: bytes, name: str) -> list[Entry]:
    """Parse a list; errors call it ``name``. Raises ConfigError."""
    decoder = msgspec.json.Decoder(Entry)
    entries: list[Entry] = []
    problems: list[str] = []
    seen: dict[str, int] = {}
    for number, line in _lines(data):
        try:
            entry = decoder.decode(line)
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
            problems.append(f"{name}:{number}: {_error_text(str(error))}")
        else:
            problem = entry.problem()
            if entry.name in seen:
                problem = f"endpoint {entry.name} is also on line {seen[entry.name]}"
            if problem:
                problems.append(f"{name}:{number}: {problem}")
            seen[entry.name] = number
            entries.append(entry)
        if len(problems) >= MAX_PROBLEMS:
            break
    if problems:
        raise ConfigError(problems)
    return entries


def _lines(data: bytes) -> Iterator[tuple[int, bytes]]:
    for number, line in enumerate(data.split(b"\n"), 1):
        if line.strip():
            yield number, line


def _error_text(text: str) -> str:
    """Put the field before msgspec's error text, as in errors of the YAML form."""
    match = re.fullmatch(r"(.*?) - at `\$\.(\w+)`", text)
    return f"{match[2]}: {match[1]}" if match is not None else text
