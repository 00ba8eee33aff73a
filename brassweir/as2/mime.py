"""MIME entities with their exact bytes kept (RFC 2045, 2046): signatures and MICs are made over those bytes.

Header fields are read by the standard library's parser; bodies and boundaries are cut here, because a parser
that rebuilds an entity from its parts would change what was signed.
"""

from __future__ import annotations

import base64
import binascii
import quopri
import re
import secrets
from collections.abc import Sequence
from dataclasses import dataclass
from email.message import Message
from email.parser import BytesHeaderParser
from functools import lru_cache

from brassweir.as2.errors import As2Error, Modifier

MOST_PARTS = 32  # of one multipart: messages have two, receipts three
LONGEST_HEAD = 32_768  # bytes of one entity's header fields
_BLANK = re.compile(rb"\r?\n\r?\n")
_TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")


@dataclass(frozen=True, slots=True)
class Entity:
    """One MIME entity: ``raw`` is all of it, ``body`` what follows its header."""

    raw: bytes
    fields: Message
    body: bytes

    @property
    def content_type(self) -> str:
        """Type and subtype in lower case; text/plain where none is told (RFC 2045, section 5.2)."""
        return self.fields.get_content_type()

    def field(self, name: str) -> str:
        """A header field on one line, or empty."""
        value = self.fields.get(name)
        return "" if value is None else re.sub(r"\r?\n[ \t]+", " ", str(value)).strip()

    def param(self, name: str) -> str:
        """A parameter of Content-Type without its quotes, or empty."""
        value = self.fields.get_param(name)
        if isinstance(value, tuple):  # RFC 2231: charset, language, value
            value = value[2]
        return str(value) if value is not None else ""

    def decoded(self) -> bytes:
        """The body with its Content-Transfer-Encoding undone. Raises As2Error."""
        coding = self.field("content-transfer-encoding").lower().split(";")[0].strip()
        if coding in ("", "7bit", "8bit", "binary"):
            return self.body
        if coding == "base64":
            try:
                return base64.b64decode(self.body, validate=False)
            except (binascii.Error, ValueError) as error:
                raise As2Error(Modifier.FORMAT, f"base64 body is broken: {error}") from None
        if coding == "quoted-printable":
            return quopri.decodestring(self.body)
        raise As2Error(Modifier.FORMAT, f"unknown Content-Transfer-Encoding {coding[:40]!r}")


def parse(raw: bytes) -> Entity:
    """Read an entity from its bytes. Raises As2Error if its header is too long or unreadable."""
    if raw[:2] == b"\r\n":
        return Entity(raw, Message(), raw[2:])
    if raw[:1] == b"\n":
        return Entity(raw, Message(), raw[1:])
    found = _BLANK.search(raw, 0, LONGEST_HEAD)
    if found is None:
        if len(raw) > LONGEST_HEAD:
            raise As2Error(Modifier.FORMAT, "header of a MIME part has no end within its limit")
        return Entity(raw, _fields(raw), b"")
    return Entity(raw, _fields(raw[: found.start()] + b"\r\n\r\n"), raw[found.end() :])


def of_http(content_type: str, coding: str, body: bytes) -> Entity:
    """The entity whose header travelled as HTTP fields. Raises As2Error."""
    head = f"Content-Type: {content_type}\r\n" if content_type else ""
    head += f"Content-Transfer-Encoding: {coding}\r\n" if coding else ""
    fields = _fields(head.encode("latin-1", "replace") + b"\r\n")
    return Entity(body, fields, body)


def _fields(head: bytes) -> Message:
    # Most heads are the same few over and over; nothing here changes what it was given.
    return _read_fields(head) if len(head) > 300 else _known_fields(head)


def _read_fields(head: bytes) -> Message:
    try:
        fields = BytesHeaderParser().parsebytes(head)
        fields.get_content_type(), fields.get_params(), fields.get_param("boundary")
    except (ValueError, LookupError, TypeError, AttributeError, RecursionError) as error:
        raise As2Error(Modifier.FORMAT, f"header of a MIME part cannot be read: {error}") from None
    return fields


_known_fields = lru_cache(2048)(_read_fields)


def parts(entity: Entity) -> list[Entity]:
    """The parts of a multipart with their exact bytes (RFC 2046, section 5.1.1). Raises As2Error."""
    boundary = entity.param("boundary")
    if not boundary or len(boundary) > 200:
        raise As2Error(Modifier.FORMAT, "multipart without a usable boundary")
    mark = b"--" + boundary.encode("latin-1", "replace")
    found: list[Entity] = []
    body, at, start = entity.body, 0, -1
    while True:
        at = body.find(mark, at)
        if at < 0:
            raise As2Error(Modifier.FORMAT, "multipart has no closing boundary: it was cut")
        line = _mark_line(body, at, len(mark))
        if line is None:
            at += 1
            continue
        last, after = line
        if start >= 0:
            # The line end before a mark belongs to the mark (RFC 2046, section 5.1.1); there may be none.
            end = at - 2 if body[at - 2 : at] == b"\r\n" else at - 1
            found.append(parse(body[start : max(start, end)]))
        if last:
            return found
        if len(found) >= MOST_PARTS:
            raise As2Error(Modifier.FORMAT, f"more than {MOST_PARTS} MIME parts")
        start = at = after


def _mark_line(body: bytes, at: int, size: int) -> tuple[bool, int] | None:
    """Is this a boundary line: is it the last, and where does the next line begin? None if it is none."""
    if at and body[at - 1 : at] != b"\n":
        return None
    rest = at + size
    last = body[rest : rest + 2] == b"--"
    rest += 2 * last
    while body[rest : rest + 1] in (b" ", b"\t"):
        rest += 1
    if body[rest : rest + 2] == b"\r\n":
        return last, rest + 2
    if body[rest : rest + 1] == b"\n":
        return last, rest + 1
    return (last, rest) if rest >= len(body) else None


def leaves(entity: Entity, depth: int = 4) -> list[Entity]:
    """All parts that are no multipart, depth first; for parts in odd places. Raises As2Error."""
    if not entity.content_type.startswith("multipart/"):
        return [entity]
    if depth <= 0:
        raise As2Error(Modifier.FORMAT, "MIME parts are nested too deep")
    return [leaf for part in parts(entity) for leaf in leaves(part, depth - 1)]


def entity(fields: Sequence[tuple[str, str]], body: bytes) -> bytes:
    """The bytes of an entity with CRLF line ends in its header."""
    head = "".join(f"{name}: {value}\r\n" for name, value in fields)
    return head.encode("latin-1") + b"\r\n" + body


def multipart(subtype: str, params: Sequence[tuple[str, str]], bodies: Sequence[bytes]) -> tuple[str, bytes]:
    """Content-Type and body of a multipart whose parts are given as whole entities."""
    boundary = "=_" + secrets.token_hex(16)
    lines = b"".join(b"--" + boundary.encode() + b"\r\n" + body + b"\r\n" for body in bodies)
    shown = "".join(f"; {name}={quoted(value)}" for name, value in params)
    return f'multipart/{subtype}{shown}; boundary="{boundary}"', lines + b"--" + boundary.encode() + b"--\r\n"


def quoted(value: str) -> str:
    """A parameter value, in quotes where it is no token (RFC 2045, section 5.1)."""
    if _TOKEN.fullmatch(value):
        return value
    return '"' + value.replace("\\", "\\\\").replace('"', '\\"') + '"'


def as2_name(value: str) -> str:
    """An AS2-From or AS2-To as it is meant: unfolded, unquoted, case and inner spaces kept (RFC 4130, 6.2).

    Raises As2Error if it is empty, too long or holds characters that no AS2 name may.
    """
    name = re.sub(r"\r?\n[ \t]+", " ", value).strip(" \t")
    if len(name) >= 2 and name[0] == name[-1] == '"':
        name = re.sub(r"\\(.)", r"\1", name[1:-1])
    if not 1 <= len(name) <= 128 or any(not " " <= char <= "~" for char in name):
        raise As2Error(Modifier.AUTHENTICATION, f"{value[:80]!r} is no AS2 name")
    return name


def shown_name(name: str) -> str:
    """An AS2 name as a header holds it: quoted if it has spaces, quotes or backslashes."""
    if re.search(r'[ "\\]', name):
        return '"' + name.replace("\\", "\\\\").replace('"', '\\"') + '"'
    return name


def message_id(value: str) -> str:
    """A Message-ID checked for length and line ends; brackets stay part of it. Raises As2Error."""
    ident = value.strip(" \t")
    if not 1 <= len(ident) <= 998 or any(not "!" <= char <= "~" for char in ident.replace(" ", "!")):
        raise As2Error(Modifier.FORMAT, f"{value[:80]!r} is no Message-ID")
    return ident
