"""Who may send what to whom, and how a message's headers become a submission. Pure."""

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
    """Messages whose Subject matches are of this class; a group named ``key`` in the pattern is their key."""

    subject: re.Pattern[str]
    class_name: str


@dataclass(frozen=True, slots=True)
class Client:
    """One that hands messages in. ``receipt_url`` is the only place its asynchronous receipts go to."""

    as2_id: str
    certificates: tuple[x509.Certificate, ...]
    may_send_to: frozenset[str]
    rules: tuple[Rule, ...]
    receipt_url: str = ""
    signed: bool = True
    encrypted: bool = True
    legacy: bool = False
    dated: bool = False  # its Date is the message's own, and the same over repeats


@dataclass(frozen=True, slots=True)
class Partner:
    """One that messages are delivered to, under the destination number that the decisions know it by."""

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
    receipt_url: str = ""  # where partners bring asynchronous receipts
    listed: Mapping[str, int] = field(default_factory=dict)  # numbers of those that only the list names

    def number(self, receiver: str) -> int | None:
        """The destination that a name stands for."""
        partner = self.partners.get(receiver)
        return partner.destination if partner is not None else self.listed.get(receiver)

    def client(self, sender: str, receiver: str) -> Client:
        """The agreement a message falls under. Raises As2Error if there is none."""
        client = self.clients.get(sender)
        allowed = client is not None and (
            receiver in client.may_send_to
            or receiver in self.listed
            and any(fnmatchcase(receiver, pattern) for pattern in client.may_send_to)
        )
        if client is None or not allowed or self.number(receiver) is None:
            raise As2Error(Modifier.AUTHENTICATION, f"no partnership from {sender!r} to {receiver!r}")
        return client


def secure_enough(client: Client, received: Received) -> None:
    """Raise As2Error if a message is less protected than agreed."""
    if client.signed and not received.signed:
        raise As2Error(Modifier.SECURITY, "the message is not signed")
    if client.encrypted and not received.encrypted:
        raise As2Error(Modifier.SECURITY, "the message is not encrypted")


def valid_now(certificates: Sequence[x509.Certificate], when: float) -> tuple[x509.Certificate, ...]:
    """The certificates whose time holds at ``when`` (seconds, wall)."""
    return tuple(
        cert
        for cert in certificates
        if cert.not_valid_before_utc.timestamp() <= when <= cert.not_valid_after_utc.timestamp()
    )


@dataclass(frozen=True, slots=True)
class Mapped:
    """What the decisions are told of a message; ``left`` in ms."""

    class_name: str
    key: str
    left: float
    born: float | None = None  # its Date, in ms since 1970


def mapped(
    client: Client,
    classes: Mapping[str, MessageClass],
    header: Callable[[str], str],
    wall: float,
    margin: float,
) -> Mapped:
    """Class, key and time left, from the agreement and standard headers alone.

    The class and key come from the first rule whose pattern the Subject matches. The time left is the class's
    deadline, cut to what ``Prefer: wait=S`` allows (RFC 7240, section 4.3: how long the client waits), and to
    ``Expires`` (RFC 4021), counted from the message's own Date where it has one, so that clocks need not
    agree. ``margin`` (ms) is kept back for the answer's own way. Raises As2Error if no rule matches or no
    time is left.
    """
    subject = header("subject")
    for rule in client.rules:
        found = rule.subject.search(subject)
        if found is not None:
            key = found.groupdict().get("key") or ""
            break
    else:
        raise As2Error(Modifier.FORMAT, f"no class for a message with the subject {subject[:80]!r}")
    left = classes[rule.class_name].deadline
    wait = re.search(r"(?:^|[,;\s])wait\s*=\s*\"?(\d{1,7})", header("prefer"), re.IGNORECASE)
    if wait is not None:
        left = min(left, float(wait[1]) * 1000.0)
    expires = _date(header("expires"))
    if expires is not None:
        left = min(left, (expires - (_date(header("date")) or wall)) * 1000.0)
    left -= margin
    if left <= 0.0:
        raise As2Error(Modifier.UNEXPECTED, "no time is left to deliver it")
    # Many clients date each post anew: a Date tells when a message was made only where that is agreed.
    made = _date(header("date")) if client.dated else None
    return Mapped(
        rule.class_name,
        f"{client.as2_id}\n{key}" if key else "",
        left,
        made * 1000.0 if made is not None else None,
    )


def _date(text: str) -> float | None:
    try:
        return parsedate_to_datetime(text).timestamp() if text else None
    except (ValueError, TypeError, OverflowError):
        return None


def onward_id(owner: str, identity: str, host: str) -> str:
    """The Message-ID under which a message goes on: the same for every attempt, hand-in and restart.

    Made from the client's own identity, so that the partner's memory of ids holds whatever becomes of ours.
    """
    return f"<{delivery_id(owner, identity)}@{re.sub(r'[^A-Za-z0-9.-]', '-', host) or 'brassweir'}>"
