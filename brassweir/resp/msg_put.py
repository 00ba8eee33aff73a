"""Parses the command ``MSG.PUT key id names body`` into a submission. No I/O.

Messages with the same ``key`` are delivered in the order accepted, if their class requires it; a key of zeros
counts as none. ``names`` holds ``c`` (class), ``d`` (ms in which the message may still be delivered),
``dest``, ``k`` (idempotency key of a keyed class), and ``r=1`` or ``again=1`` (submitted before).
"""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping

from brassweir.core.ports import Payload, Submission
from brassweir.interface import Effect, MessageClass

OWNER = "relay"  # all clients share one namespace of message ids
CONTENT_TYPE = "application/octet-stream"
NOTICE_PENDING = b"n"  # journaled with the message: any outcome but a delivery requires a notice
MAX_BODY_BYTES = 64 * 1024
_TOKEN = re.compile(rb"[!-~]{1,64}")
_MILLISECONDS = re.compile(rb"\d{1,9}(?:\.\d{1,6})?")
_NUMBER = re.compile(rb"\d{1,9}")


class InvalidSubmission(ValueError):
    """The command is not a valid submission; the text is sent to the client."""


def parse(
    args: list[bytes], classes: Mapping[str, MessageClass], destination_exists: Callable[[int], bool]
) -> Submission:
    """Returns the submission of a MSG.PUT command. Raises InvalidSubmission."""
    if len(args) != 5:
        raise InvalidSubmission("MSG.PUT takes a key, an id, names and a body")
    raw_order_key, ident, names, body = args[1:]
    if not _TOKEN.fullmatch(ident):
        raise InvalidSubmission("the id is not 1 to 64 printable characters")
    if len(body) > MAX_BODY_BYTES:
        raise InvalidSubmission("the body is over 65536 bytes")
    fields = _parse_fields(names)
    name = fields.get(b"c", b"").decode("utf-8", "replace")
    message_class = classes.get(name)
    if message_class is None:
        raise InvalidSubmission("c names no class")
    if message_class.in_order and not _TOKEN.fullmatch(raw_order_key):
        raise InvalidSubmission("the key is not 1 to 64 printable characters, which this class needs")
    deadline_ms = fields.get(b"d", b"")
    if not _MILLISECONDS.fullmatch(deadline_ms):
        raise InvalidSubmission("d is not a number of milliseconds")
    destination = fields.get(b"dest", b"")
    if not _NUMBER.fullmatch(destination) or not destination_exists(int(destination)):
        raise InvalidSubmission("dest names no destination")
    idempotency_key = fields.get(b"k", b"")
    if (idempotency_key or message_class.effect is Effect.KEYED) and not _TOKEN.fullmatch(idempotency_key):
        raise InvalidSubmission("k is not 1 to 64 printable characters, which this class needs")
    time_left_ms = min(float(deadline_ms), message_class.deadline)
    if time_left_ms <= 0.0:
        raise InvalidSubmission("d leaves no time")
    order_key = raw_order_key.decode("ascii") if message_class.in_order and raw_order_key.strip(b"0") else ""
    return Submission(
        OWNER,
        ident.decode("ascii"),
        name,
        int(destination),
        time_left_ms,
        order_key,
        b"1" in (fields.get(b"r"), fields.get(b"again")),
        Payload(CONTENT_TYPE, body, idempotency_key.decode("ascii")),
        NOTICE_PENDING,
    )


def _parse_fields(names: bytes) -> dict[bytes, bytes]:
    """Returns the comma-separated ``name=value`` pairs. Raises InvalidSubmission."""
    fields: dict[bytes, bytes] = {}
    for part in names.split(b",") if names else ():
        name, separator, value = part.partition(b"=")
        if not separator or name in fields:
            raise InvalidSubmission("names are name=value pairs, each once, set apart by commas")
        fields[name] = value
    return fields
