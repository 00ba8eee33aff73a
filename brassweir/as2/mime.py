"""Parses and builds MIME entities (RFC 2045, 2046), keeping their exact bytes for signatures and MICs.

The standard library parses header fields. Multipart bodies are split here, because a parser that rebuilds an
entity from its parts would change the bytes that were signed.
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

MAX_PARTS = 32  # of one multipart
MAX_HEADER_BYTES = 32_768  # of one entity
_BLANK = re.compile(rb"\r?\n\r?\n")
_TOKEN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")


@dataclass(frozen=True, slots=True)
class Entity:
    """One MIME entity.

    ``raw`` is header and body, or the body alone if the header was sent as HTTP fields.
    """

    raw: bytes
    fields: Message
    body: bytes

    @property
    def content_type(self) -> str:
        """Type and subtype in lower case; text/plain where none is given (RFC 2045, section 5.2)."""
        return self.fields.get_content_type()

    def field(self, name: str) -> str:
        """Returns a header field, unfolded; empty if it is absent."""
        value = self.fields.get(name)
        return "" if value is None else re.sub(r"\r?\n[ \t]+", " ", str(value)).strip()

    def param(self, name: str) -> str:
        """Returns a parameter of Content-Type without its quotes; empty if it is absent."""
        value = self.fields.get_param(name)
        if isinstance(value, tuple):  # RFC 2231: charset, language, value
            value = value[2]
        return str(value) if value is not None else ""

    def decoded(self) -> bytes:
        """Returns the body decoded from its Content-Transfer-Encoding. Raises As2Error."""
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
    """Parses an entity. Raises As2Error if its header is too long or cannot be parsed."""
    if raw[:2] == b"\r\n":
        return Entity(raw, Message(), raw[2:])
    if raw[:1] == b"\n":
        return Entity(raw, Message(), raw[1:])
    blank_line = _BLANK.search(raw, 0, MAX_HEADER_BYTES)
    if blank_line is None:
        if len(raw) > MAX_HEADER_BYTES:
            raise As2Error(Modifier.FORMAT, "header of a MIME part has no end within its limit")
        return Entity(raw, _fields(raw), b"")
    return Entity(raw, _fields(raw[: blank_line.start()] + b"\r\n\r\n"), raw[blank_line.end() :])


def of_http(content_type: str, coding: str, body: bytes) -> Entity:
    """Returns the entity whose header was sent as HTTP fields. Raises As2Error."""
    head = f"Content-Type: {content_type}\r\n" if content_type else ""
    head += f"Content-Transfer-Encoding: {coding}\r\n" if coding else ""
    fields = _fields(head.encode("latin-1", "replace") + b"\r\n")
    return Entity(body, fields, body)


def _fields(head: bytes) -> Message:
    # Short headers repeat often. The cached Message objects are shared, so they must not be modified.
    return _read_fields(head) if len(head) > 300 else _cached_fields(head)


def _read_fields(head: bytes) -> Message:
    try:
        fields = BytesHeaderParser().parsebytes(head)
        fields.get_content_type(), fields.get_params(), fields.get_param("boundary")
    except (ValueError, LookupError, TypeError, AttributeError, RecursionError) as error:
        raise As2Error(Modifier.FORMAT, f"header of a MIME part cannot be read: {error}") from None
    return fields


_cached_fields = lru_cache(2048)(_read_fields)


def parts(entity: Entity) -> list[Entity]:
    """Splits a multipart into parts with their exact bytes (RFC 2046, section 5.1.1). Raises As2Error."""
    boundary = entity.param("boundary")
    if not boundary or len(boundary) > 200:
        raise As2Error(Modifier.FORMAT, "multipart without a usable boundary")
    delimiter = b"--" + boundary.encode("latin-1", "replace")
    entities: list[Entity] = []
    body, position, start = entity.body, 0, -1
    while True:
        position = body.find(delimiter, position)
        if position < 0:
            raise As2Error(Modifier.FORMAT, "multipart has no closing boundary: it was cut")
        delimiter_line = _delimiter_line(body, position, len(delimiter))
        if delimiter_line is None:
            position += 1
            continue
        closing, after = delimiter_line
        if start >= 0:
            # The line end before a delimiter belongs to it (RFC 2046, section 5.1.1); there may be none.
            end = position - 2 if body[position - 2 : position] == b"\r\n" else position - 1
            entities.append(parse(body[start : max(start, end)]))
        if closing:
            return entities
        if len(entities) >= MAX_PARTS:
            raise As2Error(Modifier.FORMAT, f"more than {MAX_PARTS} MIME parts")
        start = position = after


def _delimiter_line(body: bytes, position: int, size: int) -> tuple[bool, int] | None:
    """Parses the delimiter line at ``position``, whose delimiter has ``size`` bytes.

    Returns whether it is the closing one, and where the next line begins; None if it is no delimiter line.
    """
    if position and body[position - 1 : position] != b"\n":
        return None
    rest = position + size
    closing = body[rest : rest + 2] == b"--"
    rest += 2 * closing
    while body[rest : rest + 1] in (b" ", b"\t"):
        rest += 1
    if body[rest : rest + 2] == b"\r\n":
        return closing, rest + 2
    if body[rest : rest + 1] == b"\n":
        return closing, rest + 1
    return (closing, rest) if rest >= len(body) else None


def leaves(entity: Entity, depth: int = 4) -> list[Entity]:
    """Returns all parts that are not multiparts, depth first. Raises As2Error."""
    if not entity.content_type.startswith("multipart/"):
        return [entity]
    if depth <= 0:
        raise As2Error(Modifier.FORMAT, "MIME parts are nested too deep")
    return [leaf for part in parts(entity) for leaf in leaves(part, depth - 1)]


def entity(fields: Sequence[tuple[str, str]], body: bytes) -> bytes:
    """Encodes an entity, with CRLF line ends in its header."""
    head = "".join(f"{name}: {value}\r\n" for name, value in fields)
    return head.encode("latin-1") + b"\r\n" + body


def multipart(subtype: str, params: Sequence[tuple[str, str]], bodies: Sequence[bytes]) -> tuple[str, bytes]:
    """Returns Content-Type and body of a multipart; ``bodies`` are its parts as encoded entities."""
    boundary = "=_" + secrets.token_hex(16)
    lines = b"".join(b"--" + boundary.encode() + b"\r\n" + body + b"\r\n" for body in bodies)
    shown = "".join(f"; {name}={quoted(value)}" for name, value in params)
    return f'multipart/{subtype}{shown}; boundary="{boundary}"', lines + b"--" + boundary.encode() + b"--\r\n"


def quoted(value: str) -> str:
    """Returns a parameter value, quoted unless it is a token (RFC 2045, section 5.1)."""
    if _TOKEN.fullmatch(value):
        return value
    return '"' + value.replace("\\", "\\\\").replace('"', '\\"') + '"'


def as2_name(value: str) -> str:
    """Parses AS2-From or AS2-To: unfolds and unquotes, keeps case and inner spaces (RFC 4130, section 6.2).

    Raises As2Error if the name is empty, too long or has characters that are not allowed.
    """
    name = re.sub(r"\r?\n[ \t]+", " ", value).strip(" \t")
    if len(name) >= 2 and name[0] == name[-1] == '"':
        name = re.sub(r"\\(.)", r"\1", name[1:-1])
    if not 1 <= len(name) <= 128 or any(not " " <= char <= "~" for char in name):
        raise As2Error(Modifier.AUTHENTICATION, f"{value[:80]!r} is no AS2 name")
    return name


def encode_as2_name(name: str) -> str:
    """Encodes an AS2 name for a header: quoted if it has spaces, quotes or backslashes."""
    if re.search(r'[ "\\]', name):
        return '"' + name.replace("\\", "\\\\").replace('"', '\\"') + '"'
    return name


def message_id(value: str) -> str:
    """Returns a Message-ID, brackets included, checked for length and characters. Raises As2Error."""
    ident = value.strip(" \t")
    if not 1 <= len(ident) <= 998 or any(not "!" <= char <= "~" for char in ident.replace(" ", "!")):
        raise As2Error(Modifier.FORMAT, f"{value[:80]!r} is no Message-ID")
    return ident
