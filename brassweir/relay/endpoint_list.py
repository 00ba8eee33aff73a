"""Parses the platform's endpoint list and derives what changed for the decision module. Pure."""

from __future__ import annotations

import ipaddress
import re
import sys
from collections.abc import Iterator
from dataclasses import replace

import msgspec

from brassweir.interface import EndpointInfo, EntryState, ListKind, ListUpdate

_STATES = {"active": EntryState.READY, "leaving": EntryState.DRAINING, "left": EntryState.GONE}
_NAMES = {state: name for name, state in _STATES.items()}
_SCHEME, _PATH = "http://", "/receive"


class Target(msgspec.Struct):
    """One endpoint, with the field names of the platform."""

    uid: str
    endpoint: str
    pod_group: int
    state: str
    az: str = ""
    model: str = ""
    capacity_hint: float = 0.0


class Change(msgspec.Struct):
    """A snapshot of the list (``all``), or the entries that changed up to version ``rev``."""

    rev: int
    all: bool
    targets: list[Target]


class ListError(ValueError):
    """An object of the list is malformed or invalid."""


_decoder = msgspec.json.Decoder(Change)


# A JSON string within a line, or its beginning if the line ends in it. Possessive quantifiers rule out
# backtracking.
_STRING = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"?')


class Objects:
    """Splits the bytes of a watch into JSON objects, on one line or indented over several, and empty lines.

    An object ends at the line that closes its last brace; braces within strings don't count, and strings
    don't span lines. ``max_bytes`` limits one object.
    """

    def __init__(self, largest: int) -> None:
        self.largest, self.depth = largest, 0
        self.lines = bytearray()  # complete lines of an incomplete object
        self.line = bytearray()  # the line that has not ended yet

    @property
    def partial(self) -> bool:
        """Whether an incomplete object is buffered."""
        return bool(self.lines or self.line)

    def feed(self, part: bytes) -> Iterator[bytes]:
        """Add bytes and yield what they complete: objects and empty lines.

        Raises ListError if an object is too large.
        """
        *ends, rest = part.split(b"\n")
        for end in ends:
            self.line += end
            bare = _STRING.sub(b"", self.line)
            self.depth += bare.count(b"{") - bare.count(b"}")
            self.lines += self.line
            self.line.clear()
            if self.depth <= 0:
                whole, self.depth = bytes(self.lines), 0
                self.lines.clear()
                yield whole
        self.line += rest
        if len(self.lines) + len(self.line) > self.largest:
            raise ListError(f"an object over {self.largest} bytes")


def read(data: bytes | memoryview) -> Change:
    """Parse one object. Raises ListError."""
    try:
        return checked(_decoder.decode(data))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ListError(f"endpoint list: {error}") from None


def checked(change: Change) -> Change:
    """Check what the types don't express, and return the change. Raises ListError."""
    seen = set()
    for one in change.targets:
        if one.state not in _STATES:
            raise ListError(f"endpoint list: {one.uid}: unknown state {one.state!r}")
        if not one.uid or one.uid in seen:
            raise ListError(f"endpoint list: uid {one.uid!r} is empty or appears twice")
        if not 0.0 <= one.capacity_hint < 1e9 or one.pod_group < 0:
            raise ListError(f"endpoint list: {one.uid}: capacity_hint or pod_group is out of range")
        if not address(one.endpoint):
            raise ListError(f"endpoint list: {one.uid}: {one.endpoint!r} is not an IPv4 address and port")
        seen.add(one.uid)
    return change


def address(text: str) -> bool:
    """Whether the text is an IPv4 address and a port. The platform uses no host names."""
    host, _, port = text.rpartition(":")
    if not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        return False
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True


class Listing:
    """The endpoints known, their URLs, and every destination listed so far.

    ``known`` maps uids to endpoints, ``urls`` maps them to URLs. ``rev`` is the version of the list.
    """

    def __init__(self) -> None:
        self.rev = 0
        self.known: dict[str, EndpointInfo] = {}
        self.places: dict[str, str] = {}
        self.destinations: set[int] = set()

    def whole(self) -> Change:
        """Return the complete list at its current version."""
        return Change(self.rev, True, [self._target(info) for info in self.known.values()])

    def _target(self, info: EndpointInfo) -> Target:
        place = self.places[info.name].removeprefix(_SCHEME).removesuffix(_PATH)
        state = _NAMES[info.state]
        return Target(info.name, place, info.destination, state, info.zone, info.kind, info.rate)

    def url(self, endpoint: str) -> str | None:
        """Return the URL of a listed endpoint, or None (see :class:`brassweir.core.ports.Urls`)."""
        return self.places.get(endpoint)

    def listed(self, destination: int) -> bool:
        """Whether the destination is or was listed."""
        return destination in self.destinations

    def take(self, change: Change, kind: ListKind = ListKind.DELTA) -> ListUpdate:
        """Apply a snapshot or a delta; return the entries that differ from before, with READY ones last.

        Endpoints that a snapshot lacks are reported as GONE. Endpoints that are gone are forgotten: the
        platform never reuses a uid.
        """
        fresh = {one.uid: _info(one) for one in change.targets}
        if change.all:
            for name, info in self.known.items():
                if name not in fresh:
                    fresh[name] = replace(info, state=EntryState.GONE)
        for one in change.targets:
            self.places[one.uid] = f"{_SCHEME}{one.endpoint}{_PATH}"
            self.destinations.add(one.pod_group)
        told = [
            info
            for name, info in fresh.items()
            if self.known.get(name) != info and (info.state is not EntryState.GONE or name in self.known)
        ]
        for info in told:
            if info.state is EntryState.GONE:
                self.known.pop(info.name)
            else:
                self.known[info.name] = info
        for name, info in fresh.items():
            if info.state is EntryState.GONE:
                self.places.pop(name, None)
        self.rev = change.rev
        return ListUpdate(kind, tuple(sorted(told, key=lambda info: info.state is EntryState.READY)))


def _info(one: Target) -> EndpointInfo:
    return EndpointInfo(
        one.uid,
        one.pod_group,
        sys.intern(one.model),
        sys.intern(one.az),
        _STATES[one.state],
        one.capacity_hint,
    )
