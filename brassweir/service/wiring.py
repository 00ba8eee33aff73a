"""From checked settings to the objects of a sender. Facts only: nothing here decides on delivery."""

from __future__ import annotations

import re
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Protocol

from cryptography import x509
from cryptography.exceptions import UnsupportedAlgorithm
from cryptography.hazmat.primitives.asymmetric import ec, rsa
from cryptography.hazmat.primitives.serialization import load_pem_private_key

from brassweir import interface as api
from brassweir.as2.cms import PrivateKey
from brassweir.as2.message import Identity, Security
from brassweir.as2.partnership import Client, Partner, Partnerships, Rule
from brassweir.config.load import ConfigError
from brassweir.config.model import Config, ForwardModel, ForwardSourceModel, KindModel, PartnerModel
from brassweir.forward.decide.rules import Body, TagRule
from brassweir.forward.link import Credentials
from brassweir.forward.ports import Bounds
from brassweir.net.limits import Limits
from brassweir.webhook import codec


def settings(config: Config) -> api.Settings:
    """What the decision module is told at start. Raises ConfigError."""
    sender = config.sender
    try:
        return api.Settings(
            classes=tuple(
                api.MessageClass(cls.name, cls.aim_ms, cls.deadline_ms, api.Effect(cls.effect),
                                 cls.late_worth, cls.group, cls.window_ms, cls.in_order)
                for cls in config.classes),
            slots=sender.slots, max_open=sender.max_open, senders=sender.senders,
            kinds=tuple(api.Kind(kind.name, kind.routes == "apart") for kind in config.kinds),
            max_attempts=sender.max_attempts, connect_timeout=sender.connect_timeout_ms,
            idle_close=sender.idle_close_ms, max_retry_after=sender.max_retry_after_ms,
            weights=sender.weights, cold=sender.cold_ms, start_capacity=sender.start_capacity,
            tip_multiple=sender.tip_multiple, order_pause=sender.order_pause_ms)
    except api.SettingsError as error:
        raise ConfigError([f"sender: {error}"]) from None


def limits(config: Config) -> Limits:
    """Bounds of sizes and times at the sockets."""
    given = config.limits
    return Limits(head=given.head_bytes, headers=given.headers, body=given.body_bytes,
                  buffered=given.buffered_bytes, connections=given.connections, head_time=given.head_ms,
                  body_time=given.body_ms, idle_time=given.idle_ms, write_time=given.write_ms)


def _certificate(path: Path, field: str, problems: list[str]) -> x509.Certificate | None:
    try:
        certificate = x509.load_pem_x509_certificate(path.read_bytes())
        certificate.public_key()  # read only now, and may be anything
        return certificate
    except OSError as error:
        problems.append(f"{field}: {path}: {error.strerror or error}")
    except (ValueError, UnsupportedAlgorithm) as error:
        problems.append(f"{field}: {path}: no PEM certificate: {error}")
    return None


def _key(path: Path, field: str, problems: list[str]) -> PrivateKey | None:
    try:
        key = load_pem_private_key(path.read_bytes(), None)
    except OSError as error:
        problems.append(f"{field}: {path}: {error.strerror or error}")
        return None
    except (ValueError, TypeError, UnsupportedAlgorithm) as error:
        problems.append(f"{field}: {path}: no private key in PEM without a password: {error}")
        return None
    if not isinstance(key, rsa.RSAPrivateKey | ec.EllipticCurvePrivateKey):
        problems.append(f"{field}: {path}: only RSA and EC keys are served")
        return None
    return key


def partnerships(config: Config, base: Path) -> Partnerships:
    """All agreements with their keys loaded; paths count from ``base``. Raises ConfigError, all at once."""
    if config.identity is None:
        raise ConfigError(["identity is not given, and AS2 needs one"])
    problems: list[str] = []
    key = _key(base / config.identity.key, "identity.key", problems)
    own = _certificate(base / config.identity.certificate, "identity.certificate", problems)
    clients: dict[str, Client] = {}
    for one in config.clients:
        field = f"client {one.as2_id}: certificates"
        found = [_certificate(base / path, field, problems) for path in one.certificates]
        clients[one.as2_id] = Client(
            one.as2_id, tuple(cert for cert in found if cert is not None), frozenset(one.may_send_to),
            tuple(Rule(re.compile(rule.subject), rule.class_name) for rule in one.rules),
            one.receipt_url or "", one.signed, one.encrypted, one.legacy, one.dated)
    partners: dict[str, Partner] = {}
    for number, other in enumerate(config.partners, 1):
        field = f"partner {other.as2_id}: certificates"
        found = [_certificate(base / path, field, problems) for path in other.certificates]
        certs = tuple(cert for cert in found if cert is not None)
        if other.encrypt != "none" and certs and not isinstance(certs[0].public_key(), rsa.RSAPublicKey):
            problems.append(f"{field}: encryption needs an RSA certificate, and the first is none")
        partners[other.as2_id] = _partner(other, number, certs)
    if key is not None and own is not None and key.public_key() != own.public_key():
        problems.append("identity: the certificate does not belong to the key")
    if problems or key is None or own is None:
        raise ConfigError(problems)
    classes = {cls.name: cls for cls in settings(config).classes}
    return Partnerships(Identity(config.identity.as2_id, key, own), clients, partners, classes,
                        config.identity.receipt_url or "")


def _partner(one: PartnerModel, number: int, certs: tuple[x509.Certificate, ...]) -> Partner:
    def named(value: str) -> str:
        return "" if value == "none" else value

    return Partner(
        one.as2_id, number, certs,
        Security(named(one.sign), named(one.encrypt), named(one.compress), one.pss, one.oaep),
        one.receipt == "async", one.signed_receipt, one.legacy, frozenset(one.busy_statuses))


class Numbers:
    """The number that the decisions know a destination by: partners in the order of the settings, others as
    they are first listed. A number is never given to another."""

    def __init__(self, config: Config) -> None:
        self.partners = {partner.as2_id: number for number, partner in enumerate(config.partners, 1)}
        self.listed: dict[str, int] = {}
        self.names: list[str] = []

    def give(self, name: str) -> int:
        """The number of a destination that the list names."""
        number = self.listed.get(name)
        if number is None:
            number = self.listed[name] = len(self.partners) + len(self.listed) + 1
        return number


    def number(self, name: str) -> int | None:
        """The number of a destination that there is; None if it is in no settings and no list."""
        return self.partners.get(name) or self.listed.get(name)

    def name(self, number: int) -> str:
        """The name behind a number."""
        while len(self.names) < len(self.partners) + len(self.listed):
            # Both maps only grow, in the order of their numbers.
            self.names = [*self.partners, *self.listed]
        return self.names[number - 1] if 0 < number <= len(self.names) else ""


class Home(Protocol):
    """What both forms of the list say of an endpoint."""

    @property
    def name(self) -> str: ...
    @property
    def url(self) -> str: ...
    @property
    def partner(self) -> str | None: ...
    @property
    def destination(self) -> str | None: ...
    @property
    def kind(self) -> str: ...
    @property
    def zone(self) -> str: ...
    @property
    def state(self) -> str: ...
    @property
    def rate(self) -> float: ...


@dataclass(frozen=True, slots=True)
class Listed:
    """A list as the module is told it, and the URL of each endpoint."""

    infos: list[api.EndpointInfo]
    urls: dict[str, str]


def listed(entries: Sequence[Home], config: Config, numbers: Numbers, name: str) -> Listed:
    """Check a list against the settings. Raises ConfigError, and then numbers nothing."""
    carriers = {kind.name: kind.carrier for kind in config.kinds}
    problems: list[str] = []
    for one in entries:
        carrier = carriers.get(one.kind, "as2" if not one.kind else "")
        if not carrier:
            problems.append(f"{name}: endpoint {one.name}: kind {one.kind!r} is not in the settings")
        elif one.partner is not None and one.partner not in numbers.partners:
            problems.append(f"{name}: endpoint {one.name}: partner {one.partner!r} is not in the settings")
        elif (one.partner is None) != (carrier != "as2"):
            problems.append(f"{name}: endpoint {one.name}: kind {one.kind!r} carries by {carrier}")
        elif one.destination in numbers.partners:
            problems.append(f"{name}: endpoint {one.name}: {one.destination!r} is an AS2 partner")
        if one.url.startswith("https:"):
            problems.append(f"{name}: endpoint {one.name}: https is not served by this version")
        elif carrier and one.url.startswith("forward:") != (carrier == "forward"):
            problems.append(f"{name}: endpoint {one.name}: kind {one.kind!r} carries by {carrier}, and its "
                            f"URL is {one.url.partition(':')[0]}")
        if len(problems) >= 20:
            break
    if problems:
        raise ConfigError(problems)
    states = {state.value: state for state in api.State}
    infos = [api.EndpointInfo(
        one.name, numbers.partners[one.partner] if one.partner is not None
        else numbers.give(one.destination or ""),
        sys.intern(one.kind), sys.intern(one.zone), states[one.state], one.rate) for one in entries]
    return Listed(infos, {info.name: one.url for info, one in zip(infos, entries, strict=True)})


def secrets(kind: KindModel, base: Path) -> tuple[bytes, ...]:
    """The signing keys of a kind of webhooks. Raises ConfigError."""
    found, problems = [], []
    for path in kind.secrets:
        try:
            found.append(codec.secret((base / path).read_text(encoding="ascii").strip()))
        except (OSError, ValueError) as error:
            problems.append(f"kind {kind.name}: secrets: {path}: {error}")
    if problems:
        raise ConfigError(problems)
    return tuple(found)


def secret_line(path: Path, field: str) -> bytes:
    """A shared key or password: a file's one line, without the blanks at its ends. Raises ConfigError."""
    try:
        data = path.read_bytes().strip()
    except OSError as error:
        raise ConfigError([f"{field}: {path}: {error.strerror or error}"]) from None
    if not data or b"\n" in data:
        raise ConfigError([f"{field}: {path}: one line that is not empty is expected"])
    return data


def credentials(kind: KindModel, name: str, base: Path) -> Credentials:
    """How a sender names itself to a kind of forward destinations. Raises ConfigError."""
    field = f"kind {kind.name}"
    key = secret_line(base / kind.shared_key, f"{field}: shared_key") if kind.shared_key else b""
    password = secret_line(base / kind.password, f"{field}: password") if kind.password else b""
    return Credentials(kind.hostname or name, key, kind.username, password)


def tag_rules(source: ForwardSourceModel) -> tuple[TagRule, ...]:
    """The rules of a source; the model has checked them."""
    return tuple(TagRule(rule.tag, rule.class_name, rule.destination, Body(rule.body), rule.key)
                 for rule in source.rules)


def bounds(config: ForwardModel) -> Bounds:
    """What forward sources can make us hold."""
    return Bounds(config.chunk_bytes, config.unpacked_bytes, config.entries, config.buffered_bytes,
                  config.connections, config.handshake_ms, config.chunk_ms, config.idle_ms, config.write_ms)
