"""Partnerships: who may send what to whom, and the class, key and deadline of a message. No I/O."""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from email.utils import parsedate_to_datetime
from fnmatch import fnmatchcase

from cryptography import x509

from brassweir.as2.errors import As2Error, Modifier
from brassweir.as2.message import Identity, Received, Security
from brassweir.core.identity import delivery_id
from brassweir.interface import MessageClass


@dataclass(frozen=True, slots=True)
class Rule:
    """Assigns a class to messages whose Subject matches; a group named ``key`` in the pattern is the key."""

    subject: re.Pattern[str]
    class_name: str


@dataclass(frozen=True, slots=True)
class Client:
    """A system that submits messages. Its asynchronous receipts go to ``receipt_url`` only."""

    as2_id: str
    certificates: tuple[x509.Certificate, ...]
    may_send_to: frozenset[str]
    rules: tuple[Rule, ...]
    receipt_url: str = ""
    signed: bool = True
    encrypted: bool = True
    legacy: bool = False
    dated: bool = False  # its Date is the time of creation, the same in every repeat


@dataclass(frozen=True, slots=True)
class Partner:
    """A system that messages are delivered to; ``destination`` is its number in the engine."""

    as2_id: str
    destination: int
    certificates: tuple[x509.Certificate, ...]
    security: Security = field(default_factory=Security)
    asynchronous: bool = False
    signed_receipt: bool = True
    legacy: bool = False
    busy: frozenset[int] = frozenset({429})


@dataclass(frozen=True, slots=True)
class Partnerships:
    """All agreements of one sender."""

    ours: Identity
    clients: Mapping[str, Client]
    partners: Mapping[str, Partner]
    classes: Mapping[str, MessageClass]
    receipt_url: str = ""  # where partners post asynchronous receipts
    listed: Mapping[str, int] = field(
        default_factory=dict
    )  # destination numbers of receivers that only the endpoint list names

    def number(self, receiver: str) -> int | None:
        """Returns the destination number of a receiver's AS2 name, or None."""
        partner = self.partners.get(receiver)
        return partner.destination if partner is not None else self.listed.get(receiver)

    def client(self, sender: str, receiver: str) -> Client:
        """Returns the client that may send to this receiver. Raises As2Error if no partnership allows it."""
        client = self.clients.get(sender)
        allowed = client is not None and (
            receiver in client.may_send_to
            or receiver in self.listed
            and any(fnmatchcase(receiver, pattern) for pattern in client.may_send_to)
        )
        if client is None or not allowed or self.number(receiver) is None:
            raise As2Error(Modifier.AUTHENTICATION, f"no partnership from {sender!r} to {receiver!r}")
        return client


def check_security(client: Client, received: Received) -> None:
    """Raises As2Error if a message is not signed or encrypted as agreed."""
    if client.signed and not received.signed:
        raise As2Error(Modifier.SECURITY, "the message is not signed")
    if client.encrypted and not received.encrypted:
        raise As2Error(Modifier.SECURITY, "the message is not encrypted")


def valid_now(certificates: Sequence[x509.Certificate], when: float) -> tuple[x509.Certificate, ...]:
    """Returns the certificates that are valid at ``when`` (seconds since 1970)."""
    return tuple(
        cert
        for cert in certificates
        if cert.not_valid_before_utc.timestamp() <= when <= cert.not_valid_after_utc.timestamp()
    )


@dataclass(frozen=True, slots=True)
class MessageTerms:
    """Class, key and time left (ms) of a message."""

    class_name: str
    key: str
    left_ms: float
    created_at_ms: float | None = None  # from its Date, in ms since 1970


def map_headers(
    client: Client,
    classes: Mapping[str, MessageClass],
    header: Callable[[str], str],
    now_seconds: float,
    margin_ms: float,
) -> MessageTerms:
    """Determines class, key and time left of a message from its client's rules and its headers.

    The first rule whose pattern matches the Subject gives the class and key. The time left is the shortest of
    the class's deadline, ``Prefer: wait=S`` (RFC 7240, section 4.3: how long the client waits) and
    ``Expires`` (RFC 4021). Expires counts from the message's Date if it has one, so that the result does not
    depend on the client's clock. ``margin_ms`` is subtracted so that the answer can still reach the client.
    ``now_seconds`` is since 1970.
    Raises As2Error if no rule matches or no time is left.
    """
    subject = header("subject")
    for rule in client.rules:
        match = rule.subject.search(subject)
        if match is not None:
            key = match.groupdict().get("key") or ""
            break
    else:
        raise As2Error(Modifier.FORMAT, f"no class for a message with the subject {subject[:80]!r}")
    left_ms = classes[rule.class_name].deadline
    wait = re.search(r"(?:^|[,;\s])wait\s*=\s*\"?(\d{1,7})", header("prefer"), re.IGNORECASE)
    if wait is not None:
        left_ms = min(left_ms, float(wait[1]) * 1000.0)
    expires = _date(header("expires"))
    if expires is not None:
        left_ms = min(left_ms, (expires - (_date(header("date")) or now_seconds)) * 1000.0)
    left_ms -= margin_ms
    if left_ms <= 0.0:
        raise As2Error(Modifier.UNEXPECTED, "no time is left to deliver it")
    # Many clients set a new Date on each repeat: it is the time of creation only where that is agreed.
    created_at = _date(header("date")) if client.dated else None
    return MessageTerms(
        rule.class_name,
        f"{client.as2_id}\n{key}" if key else "",
        left_ms,
        created_at * 1000.0 if created_at is not None else None,
    )


def _date(text: str) -> float | None:
    try:
        return parsedate_to_datetime(text).timestamp() if text else None
    except (ValueError, TypeError, OverflowError):
        return None


def onward_id(owner: str, identity: str, host: str) -> str:
    """Returns the Message-ID under which a message is sent to its partner.

    It is derived from the submission's owner and identity, so it is the same for every attempt, repeated
    submission and restart, and the partner can detect duplicates even if this process lost its data.
    """
    return f"<{delivery_id(owner, identity)}@{re.sub(r'[^A-Za-z0-9.-]', '-', host) or 'brassweir'}>"
