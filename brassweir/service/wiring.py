"""From checked settings to the objects of a sender. Facts only: nothing here decides on delivery."""

from __future__ import annotations

import re
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives.asymmetric import rsa

from brassweir import interface as api
from brassweir.as2.message import Identity, Security
from brassweir.as2.partnership import Client, Partner, Partnerships, Rule
from brassweir.config.load import ConfigError
from brassweir.config.model import Config, CopyConfig, ForwardModel, ForwardSourceModel, PartnerModel
from brassweir.forward.decide.rules import Body, TagRule
from brassweir.forward.ports import Bounds
from brassweir.net.limits import Limits
from brassweir.service.keyfiles import certificate, private_key


def settings(config: Config) -> api.Settings:
    """What the decision module is told at start. Raises ConfigError."""
    sender = config.sender
    try:
        return api.Settings(
            classes=tuple(
                api.MessageClass(
                    cls.name,
                    cls.aim_ms,
                    cls.deadline_ms,
                    api.Effect(cls.effect),
                    cls.late_worth,
                    cls.group,
                    cls.window_ms,
                    cls.in_order,
                )
                for cls in config.classes
            ),
            slots=sender.slots,
            max_open=sender.max_open,
            senders=sender.senders,
            kinds=tuple(api.DestinationKind(kind.name, kind.routes == "apart") for kind in config.kinds),
            max_attempts=sender.max_attempts,
            connect_timeout=sender.connect_timeout_ms,
            idle_close=sender.idle_close_ms,
            max_retry_after=sender.max_retry_after_ms,
            weights=sender.weights,
            cold=sender.cold_ms,
            start_capacity=sender.start_capacity,
            tip_multiple=sender.tip_multiple,
            order_pause=sender.order_pause_ms,
        )
    except api.SettingsError as error:
        raise ConfigError([f"sender: {error}"]) from None


def limits(config: CopyConfig) -> Limits:
    """Bounds of sizes and times at the sockets."""
    given = config.limits
    return Limits(
        head_bytes=given.head_bytes,
        max_headers=given.headers,
        body_bytes=given.body_bytes,
        buffered_bytes=given.buffered_bytes,
        connections=given.connections,
        head_ms=given.head_ms,
        body_ms=given.body_ms,
        idle_ms=given.idle_ms,
        write_ms=given.write_ms,
    )


def partnerships(config: Config, base: Path) -> Partnerships:
    """All agreements with their keys loaded; paths count from ``base``. Raises ConfigError, all at once."""
    if config.identity is None:
        raise ConfigError(["identity is not given, and AS2 needs one"])
    problems: list[str] = []
    key = private_key(base / config.identity.key, "identity.key", problems)
    own = certificate(base / config.identity.certificate, "identity.certificate", problems)
    clients: dict[str, Client] = {}
    for one in config.clients:
        field = f"client {one.as2_id}: certificates"
        found = [certificate(base / path, field, problems) for path in one.certificates]
        clients[one.as2_id] = Client(
            one.as2_id,
            tuple(cert for cert in found if cert is not None),
            frozenset(one.may_send_to),
            tuple(Rule(re.compile(rule.subject), rule.class_name) for rule in one.rules),
            one.receipt_url or "",
            one.signed,
            one.encrypted,
            one.legacy,
            one.dated,
        )
    partners: dict[str, Partner] = {}
    for number, other in enumerate(config.partners, 1):
        field = f"partner {other.as2_id}: certificates"
        found = [certificate(base / path, field, problems) for path in other.certificates]
        certs = tuple(cert for cert in found if cert is not None)
        if other.encrypt != "none" and certs and not isinstance(certs[0].public_key(), rsa.RSAPublicKey):
            problems.append(f"{field}: encryption needs an RSA certificate, and the first is none")
        partners[other.as2_id] = _partner(other, number, certs)
    if key is not None and own is not None and key.public_key() != own.public_key():
        problems.append("identity: the certificate does not belong to the key")
    if problems or key is None or own is None:
        raise ConfigError(problems)
    classes = {cls.name: cls for cls in settings(config).classes}
    return Partnerships(
        Identity(config.identity.as2_id, key, own),
        clients,
        partners,
        classes,
        config.identity.receipt_url or "",
    )


def _partner(one: PartnerModel, number: int, certs: tuple[x509.Certificate, ...]) -> Partner:
    def named(value: str) -> str:
        return "" if value == "none" else value

    return Partner(
        one.as2_id,
        number,
        certs,
        Security(named(one.sign), named(one.encrypt), named(one.compress), one.pss, one.oaep),
        one.receipt == "async",
        one.signed_receipt,
        one.legacy,
        frozenset(one.busy_statuses),
    )


def tag_rules(source: ForwardSourceModel) -> tuple[TagRule, ...]:
    """The rules of a source; the model has checked them."""
    return tuple(
        TagRule(rule.tag, rule.class_name, rule.destination, Body(rule.body), rule.key)
        for rule in source.rules
    )


def bounds(config: ForwardModel) -> Bounds:
    """What forward sources can make us hold."""
    return Bounds(
        config.chunk_bytes,
        config.unpacked_bytes,
        config.entries,
        config.buffered_bytes,
        config.connections,
        config.handshake_ms,
        config.chunk_ms,
        config.idle_ms,
        config.write_ms,
    )
