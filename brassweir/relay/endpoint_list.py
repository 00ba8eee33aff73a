"""Parses the platform's endpoint list and derives what changed for the decision module. Pure."""

from __future__ import annotations

import ipaddress
import re
import sys
from collections.abc import Iterator
from dataclasses import replace

import msgspec

from brassweir.interface import EndpointInfo, EntryState, ListKind, ListUpdate

_STATE_BY_NAME = {"active": EntryState.READY, "leaving": EntryState.DRAINING, "left": EntryState.GONE}
_NAME_BY_STATE = {state: name for name, state in _STATE_BY_NAME.items()}
_URL_PREFIX, _URL_SUFFIX = "http://", "/receive"


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


class ObjectSplitter:
    """Splits the bytes of a watch into JSON objects, on one line or indented over several, and empty lines.

    An object ends at the line that closes its last brace; braces within strings don't count, and strings
    don't span lines. ``max_bytes`` limits one object.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_bytes, self.depth = max_bytes, 0
        self.object_lines = bytearray()  # complete lines of an incomplete object
        self.partial_line = bytearray()  # the line that has not ended yet

    @property
    def has_partial(self) -> bool:
        """Whether an incomplete object is buffered."""
        return bool(self.object_lines or self.partial_line)

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Add bytes and yield what they complete: objects and empty lines.

        Raises ListError if an object is too large.
        """
        *segments, rest = data.split(b"\n")
        for segment in segments:
            self.partial_line += segment
            unquoted = _STRING.sub(b"", self.partial_line)
            self.depth += unquoted.count(b"{") - unquoted.count(b"}")
            self.object_lines += self.partial_line
            self.partial_line.clear()
            if self.depth <= 0:
                complete, self.depth = bytes(self.object_lines), 0
                self.object_lines.clear()
                yield complete
        self.partial_line += rest
        if len(self.object_lines) + len(self.partial_line) > self.max_bytes:
            raise ListError(f"an object over {self.max_bytes} bytes")


def parse_change(data: bytes | memoryview) -> Change:
    """Parse one object. Raises ListError."""
    try:
        return validate(_decoder.decode(data))
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ListError(f"endpoint list: {error}") from None


def validate(change: Change) -> Change:
    """Check what the types don't express, and return the change. Raises ListError."""
    uids = set()
    for target in change.targets:
        if target.state not in _STATE_BY_NAME:
            raise ListError(f"endpoint list: {target.uid}: unknown state {target.state!r}")
        if not target.uid or target.uid in uids:
            raise ListError(f"endpoint list: uid {target.uid!r} is empty or appears twice")
        if not 0.0 <= target.capacity_hint < 1e9 or target.pod_group < 0:
            raise ListError(f"endpoint list: {target.uid}: capacity_hint or pod_group is out of range")
        if not is_address(target.endpoint):
            raise ListError(
                f"endpoint list: {target.uid}: {target.endpoint!r} is not an IPv4 address and port"
            )
        uids.add(target.uid)
    return change


def is_address(text: str) -> bool:
    """Whether the text is an IPv4 address and a port. The platform uses no host names."""
    host, _, port = text.rpartition(":")
    if not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        return False
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True


class EndpointList:
    """The endpoints known, their URLs, and every destination listed so far.

    ``known`` maps uids to endpoints, ``urls`` maps them to URLs. ``rev`` is the version of the list.
    """

    def __init__(self) -> None:
        self.rev = 0
        self.known: dict[str, EndpointInfo] = {}
        self.urls: dict[str, str] = {}
        self.destinations: set[int] = set()

    def snapshot(self) -> Change:
        """Return the complete list at its current version."""
        return Change(self.rev, True, [self._target(info) for info in self.known.values()])

    def _target(self, info: EndpointInfo) -> Target:
        address = self.urls[info.name].removeprefix(_URL_PREFIX).removesuffix(_URL_SUFFIX)
        state = _NAME_BY_STATE[info.state]
        return Target(info.name, address, info.destination, state, info.zone, info.kind, info.rate)

    def url(self, endpoint: str) -> str | None:
        """Return the URL of a listed endpoint, or None (see :class:`brassweir.core.ports.Urls`)."""
        return self.urls.get(endpoint)

    def knows_destination(self, destination: int) -> bool:
        """Whether the destination is or was listed."""
        return destination in self.destinations

    def differs(self, change: Change) -> bool:
        """Whether a change differs in any field of any entry from what is known."""
        if change.all and self.known.keys() - {target.uid for target in change.targets}:
            return True
        return any(self._entry_differs(target) for target in change.targets)

    def _entry_differs(self, target: Target) -> bool:
        info = self.known.get(target.uid)
        if info is None:
            return _STATE_BY_NAME[target.state] is not EntryState.GONE
        return self._target(info) != target

    def apply(self, change: Change, kind: ListKind = ListKind.DELTA) -> ListUpdate:
        """Apply a snapshot or a delta; return the entries that differ from before, with READY ones last.

        An address is not part of what is returned: the decision module knows endpoints by name. Endpoints
        that a snapshot lacks are reported as GONE. Endpoints that are gone are forgotten: the platform never
        reuses a uid.
        """
        updated = {target.uid: _info(target) for target in change.targets}
        if change.all:
            for name, info in self.known.items():
                if name not in updated:
                    updated[name] = replace(info, state=EntryState.GONE)
        for target in change.targets:
            self.urls[target.uid] = f"{_URL_PREFIX}{target.endpoint}{_URL_SUFFIX}"
            self.destinations.add(target.pod_group)
        changed = [
            info
            for name, info in updated.items()
            if self.known.get(name) != info and (info.state is not EntryState.GONE or name in self.known)
        ]
        for info in changed:
            if info.state is EntryState.GONE:
                self.known.pop(info.name)
            else:
                self.known[info.name] = info
        for name, info in updated.items():
            if info.state is EntryState.GONE:
                self.urls.pop(name, None)
        self.rev = change.rev
        return ListUpdate(kind, tuple(sorted(changed, key=lambda info: info.state is EntryState.READY)))


def _info(target: Target) -> EndpointInfo:
    return EndpointInfo(
        target.uid,
        target.pod_group,
        sys.intern(target.model),
        sys.intern(target.az),
        _STATE_BY_NAME[target.state],
        target.capacity_hint,
    )
