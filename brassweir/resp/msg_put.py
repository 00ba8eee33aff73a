"""Reads ``MSG.PUT`` into a submission, or says what is wrong with it. Pure.

``MSG.PUT key id names body``: messages of one key go in the order taken where their class asks for it, and
zeros are no key. Names are ``c`` (class), ``d`` (ms from the sending in which it may still be
delivered), ``dest``, ``k`` (idempotency key of a keyed class), ``r=1`` and ``again=1`` (handed in before).
"""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping

from brassweir.core.ports import Payload, Submission
from brassweir.interface import Effect, MessageClass

OWNER = "relay"  # every client of the platform names messages in one space
CONTENT = "application/octet-stream"  # bodies are bytes, and nobody says of what
OWED = b"n"  # the front's note in the journal: an end that is not a delivery is owed a notice
BODY = 64 * 1024  # bytes
_TOKEN = re.compile(rb"[!-~]{1,64}")
_SPAN = re.compile(rb"\d{1,9}(?:\.\d{1,6})?")
_NUMBER = re.compile(rb"\d{1,9}")


class Unreadable(ValueError):
    """The hand-in cannot be taken: its sender is told why, and nothing is kept of it."""


def parse(
    args: list[bytes], classes: Mapping[str, MessageClass], listed: Callable[[int], bool]
) -> Submission:
    """One hand-in. Raises Unreadable."""
    if len(args) != 5:
        raise Unreadable("MSG.PUT takes a key, an id, names and a body")
    order, ident, names, body = args[1:]
    if not _TOKEN.fullmatch(ident):
        raise Unreadable("the id is not 1 to 64 printable characters")
    if len(body) > BODY:
        raise Unreadable("the body is over 65536 bytes")
    fields = _fields(names)
    name = fields.get(b"c", b"").decode("utf-8", "replace")  # as the settings are written
    cls = classes.get(name)
    if cls is None:
        raise Unreadable("c names no class")
    if cls.in_order and not _TOKEN.fullmatch(order):
        raise Unreadable("the key is not 1 to 64 printable characters, which this class needs")
    span = fields.get(b"d", b"")
    if not _SPAN.fullmatch(span):
        raise Unreadable("d is not a number of milliseconds")
    number = fields.get(b"dest", b"")
    if not _NUMBER.fullmatch(number) or not listed(int(number)):
        raise Unreadable("dest names no destination")
    key = fields.get(b"k", b"")
    if (key or cls.effect is Effect.KEYED) and not _TOKEN.fullmatch(key):
        raise Unreadable("k is not 1 to 64 printable characters, which this class needs")
    left = min(float(span), cls.deadline)
    if left <= 0.0:
        raise Unreadable("d leaves no time")
    line = order.decode("ascii") if cls.in_order and order.strip(b"0") else ""
    return Submission(
        OWNER,
        ident.decode("ascii"),
        name,
        int(number),
        left,
        line,
        b"1" in (fields.get(b"r"), fields.get(b"again")),
        Payload(CONTENT, body, key.decode("ascii")),
        OWED,
    )  # k travels with the body


def _fields(names: bytes) -> dict[bytes, bytes]:
    found: dict[bytes, bytes] = {}
    for part in names.split(b",") if names else ():
        name, sign, value = part.partition(b"=")
        if not sign or name in found:
            raise Unreadable("names are name=value pairs, each once, set apart by commas")
        found[name] = value
    return found
