"""The endpoint list as the platform tells it: objects in, news for the decisions out. Pure."""

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
_SCHEME, _PATH = "http://", "/receive"  # around an endpoint's address


class Target(msgspec.Struct):
    """One entry, with the platform's names."""

    uid: str
    endpoint: str
    pod_group: int
    state: str
    az: str = ""
    model: str = ""
    capacity_hint: float = 0.0


class Change(msgspec.Struct):
    """A whole list, or what changed in it up to version ``rev``."""

    rev: int
    all: bool
    targets: list[Target]


class ListError(ValueError):
    """An object of the list cannot be read."""


_decoder = msgspec.json.Decoder(Change)


# A string within a line, whole or cut by its end. It never goes back over what it read: no text takes long.
_STRING = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"?')


class Objects:
    """Cuts the bytes of a watch into objects, each on one line or indented over several, and empty lines.

    Braces outside strings say where an object ends; no string goes over a line's end. ``largest`` bounds the
    bytes of one object.
    """

    def __init__(self, largest: int) -> None:
        self.largest, self.depth = largest, 0
        self.lines = bytearray()  # of the object that is open
        self.line = bytearray()  # the one that has not ended

    @property
    def partial(self) -> bool:
        """Has an object begun that is not whole?"""
        return bool(self.lines or self.line)

    def feed(self, part: bytes) -> Iterator[bytes]:
        """What is whole with these bytes. Raises ListError on an object that is too large."""
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
    """One object. Raises ListError, and then nothing of it counts."""
    try:
        return checked(_decoder.decode(data))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ListError(f"endpoint list: {error}") from None


def checked(change: Change) -> Change:
    """The same, with all that its types do not say looked at. Raises ListError."""
    seen = set()
    for one in change.targets:
        if one.state not in _STATES:
            raise ListError(f"endpoint list: {one.uid}: unknown state {one.state!r}")
        if not one.uid or one.uid in seen:
            raise ListError(f"endpoint list: uid {one.uid!r} is empty or stands twice")
        if not 0.0 <= one.capacity_hint < 1e9 or one.pod_group < 0:
            raise ListError(f"endpoint list: {one.uid}: capacity_hint or pod_group is out of range")
        if not address(one.endpoint):
            raise ListError(f"endpoint list: {one.uid}: {one.endpoint!r} is no address and port")
        seen.add(one.uid)
    return change


def address(text: str) -> bool:
    """Is this an IPv4 address and a port? There are no names on the platform."""
    host, _, port = text.rpartition(":")
    if not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        return False
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True


class Listing:
    """What is known of the list, where each endpoint is, and which destinations there have been."""

    def __init__(self) -> None:
        self.rev = 0
        self.known: dict[str, EndpointInfo] = {}
        self.places: dict[str, str] = {}
        self.destinations: set[int] = set()

    def whole(self) -> Change:
        """All that is known, as one list of this version."""
        return Change(self.rev, True, [self._target(info) for info in self.known.values()])

    def _target(self, info: EndpointInfo) -> Target:
        place = self.places[info.name].removeprefix(_SCHEME).removesuffix(_PATH)
        state = _NAMES[info.state]
        return Target(info.name, place, info.destination, state, info.zone, info.kind, info.rate)

    def url(self, endpoint: str) -> str | None:
        """The URL of a listed endpoint (see :class:`brassweir.core.ports.Urls`)."""
        return self.places.get(endpoint)

    def listed(self, destination: int) -> bool:
        """Is, or was, there such a destination?"""
        return destination in self.destinations

    def take(self, change: Change, kind: ListKind = ListKind.DELTA) -> ListUpdate:
        """What the decisions are to be told of a change: what is forbidden comes first.

        Of a whole list only what differs is told, and what it lacks is gone. Endpoints that are gone are
        forgotten here; an id is never given to another.
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
