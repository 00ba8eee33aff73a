"""One entry of the endpoint configuration and its validation. Pure.

The rules use no library's parser or error texts: every copy must accept and reject the same entries with the
same text, whichever version of Python or of a library it runs.
"""

from __future__ import annotations

import re
from functools import lru_cache

import msgspec

MAX_URL_CHARACTERS = 2_000
MAX_PORT = 65_535
MAX_RATE = 1e9  # calls a second
GONE = "gone"
STATES = frozenset({"ready", "draining", GONE})

_NAME = re.compile(r"[!-~]{1,120}\Z")
_OWNER = re.compile(r"[!-~](?:[ -~]{0,126}[!-~])?\Z")
_LABEL = re.compile(r"[ -~]{0,120}\Z")
_URL = re.compile(
    r"(?:https?|forward)://"
    r"(?:[A-Za-z0-9._~%!$&'()*+,;=-]+|\[[0-9A-Fa-f:.]+\])"  # host name or address, no user info
    r"(?::(?P<port>[0-9]{0,5}))?"
    r"(?P<rest>[/?][!-\"$-~]*)?\Z"  # no fragment
)


class EntryError(ValueError):
    """An invalid entry: its name, the invalid field and the reason."""

    def __init__(self, name: str, field: str, reason: str) -> None:
        super().__init__(f"endpoint {name}: {field}: {reason}")
        self.name, self.field, self.reason = name, field, reason


class Entry(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True, gc=False):
    """One endpoint, identified by its name."""

    name: str
    url: str
    destination: str = ""
    partner: str = ""
    kind: str = ""
    zone: str = ""
    state: str = "ready"
    rate: float = 0.0

    @property
    def owner(self) -> str:
        """The partner or destination that the endpoint serves."""
        return self.partner or self.destination

    @property
    def usable(self) -> bool:
        """Whether the endpoint counts as one of its owner's: its state is not ``gone``."""
        return self.state != GONE


def validate(entry: Entry) -> None:
    """Raise EntryError for the first invalid field."""
    if not _NAME.match(entry.name):
        raise EntryError(printable(entry.name), "name", "1 to 120 printable ASCII characters without spaces")
    if reason := _url_problem(entry.url):
        raise EntryError(entry.name, "url", reason)
    if bool(entry.partner) == bool(entry.destination):
        raise EntryError(entry.name, "destination", "an endpoint has either a partner or a destination")
    if not _OWNER.match(entry.partner or entry.destination):
        field = "partner" if entry.partner else "destination"
        raise EntryError(entry.name, field, "1 to 128 printable ASCII characters, no space first or last")
    if not _is_label(entry.kind):
        raise EntryError(entry.name, "kind", "at most 120 printable ASCII characters")
    if not _is_label(entry.zone):
        raise EntryError(entry.name, "zone", "at most 120 printable ASCII characters")
    if entry.state not in STATES:
        raise EntryError(entry.name, "state", "one of ready, draining, gone")
    if not 0.0 <= entry.rate <= MAX_RATE:  # also false for NaN
        raise EntryError(entry.name, "rate", "a number from 0 to 1e9")


@lru_cache(maxsize=1_024)
def _is_label(label: str) -> bool:
    """Whether a kind or zone is valid. Cached, since few distinct labels stand on many entries."""
    return _LABEL.match(label) is not None


def _url_problem(url: str) -> str:
    if len(url) > MAX_URL_CHARACTERS:
        return f"{MAX_URL_CHARACTERS} characters are the most"
    match = _URL.match(url)
    if match is None or (url.startswith("forward:") and match["rest"]):
        return "neither http(s)://host[:port][/path] nor forward://host[:port]"
    if int(match["port"] or 0) > MAX_PORT:
        return f"its port is above {MAX_PORT}"
    return ""


def decoding_error(data: bytes) -> EntryError:
    """Return the error for bytes that do not decode to an Entry, naming the first field that is wrong."""
    fields = Entry.__struct_fields__
    try:
        values = msgspec.msgpack.decode(data, type=list[msgspec.Raw])
    except msgspec.DecodeError:
        return EntryError("?", "name", "not an entry's list of fields")
    name = "?"
    for field, value in zip(fields, values, strict=False):
        try:
            decoded = msgspec.msgpack.decode(value, type=float if field == "rate" else str)
        except msgspec.DecodeError:
            return EntryError(name, field, "not of its type")
        if field == "name":
            name = printable(str(decoded))
    if len(values) > len(fields):
        return EntryError(name, fields[-1], "more fields than an entry has")
    return EntryError(name, fields[min(len(values), len(fields) - 1)], "missing")


def printable(name: str) -> str:
    """Return a name for an error text: at most 120 printable characters."""
    return ascii(name[:120])[1:-1][:120] or "''"
