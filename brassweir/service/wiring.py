"""Converts checked settings into the objects that a sender's components take."""

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
from brassweir.forward.ports import FrontLimits
from brassweir.net.limits import Limits
from brassweir.service.keyfiles import load_certificate, load_private_key


def engine_settings(config: Config) -> api.Settings:
    """Return the settings of the decision module. Raises ConfigError."""
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
            tip_after=sender.tip_after_ms,
            order_pause=sender.order_pause_ms,
        )
    except api.SettingsError as error:
        raise ConfigError([f"sender: {error}"]) from None


def socket_limits(config: CopyConfig) -> Limits:
    """Return the limits of sizes and times at HTTP sockets."""
    model = config.limits
    return Limits(
        head_bytes=model.head_bytes,
        max_headers=model.headers,
        body_bytes=model.body_bytes,
        buffered_bytes=model.buffered_bytes,
        connections=model.connections,
        head_ms=model.head_ms,
        body_ms=model.body_ms,
        idle_ms=model.idle_ms,
        write_ms=model.write_ms,
    )


def load_partnerships(config: Config, base: Path) -> Partnerships:
    """Load all partnerships with their keys; ``base`` is the directory that paths are relative to.

    Raises ConfigError with all problems at once.
    """
    if config.identity is None:
        raise ConfigError(["identity is not given, and AS2 needs one"])
    problems: list[str] = []
    key = load_private_key(base / config.identity.key, "identity.key", problems)
    own_certificate = load_certificate(base / config.identity.certificate, "identity.certificate", problems)
    clients: dict[str, Client] = {}
    for client in config.clients:
        field = f"client {client.as2_id}: certificates"
        certificates = [load_certificate(base / path, field, problems) for path in client.certificates]
        clients[client.as2_id] = Client(
            client.as2_id,
            tuple(cert for cert in certificates if cert is not None),
            frozenset(client.may_send_to),
            tuple(Rule(re.compile(rule.subject), rule.class_name) for rule in client.rules),
            client.receipt_url or "",
            client.signed,
            client.encrypted,
            client.legacy,
            client.dated,
        )
    partners: dict[str, Partner] = {}
    for number, partner in enumerate(config.partners, 1):
        field = f"partner {partner.as2_id}: certificates"
        certificates = [load_certificate(base / path, field, problems) for path in partner.certificates]
        certs = tuple(cert for cert in certificates if cert is not None)
        if partner.encrypt != "none" and certs and not isinstance(certs[0].public_key(), rsa.RSAPublicKey):
            problems.append(f"{field}: encryption needs an RSA certificate, and the first is none")
        partners[partner.as2_id] = _partner(partner, number, certs)
    if key is not None and own_certificate is not None and key.public_key() != own_certificate.public_key():
        problems.append("identity: the certificate does not belong to the key")
    if problems or key is None or own_certificate is None:
        raise ConfigError(problems)
    classes = {cls.name: cls for cls in engine_settings(config).classes}
    return Partnerships(
        Identity(config.identity.as2_id, key, own_certificate),
        clients,
        partners,
        classes,
        config.identity.receipt_url or "",
    )


def _partner(model: PartnerModel, number: int, certs: tuple[x509.Certificate, ...]) -> Partner:
    def none_as_empty(value: str) -> str:
        return "" if value == "none" else value

    return Partner(
        model.as2_id,
        number,
        certs,
        Security(
            none_as_empty(model.sign),
            none_as_empty(model.encrypt),
            none_as_empty(model.compress),
            model.pss,
            model.oaep,
        ),
        model.receipt == "async",
        model.signed_receipt,
        model.legacy,
        frozenset(model.busy_statuses),
    )


def tag_rules(source: ForwardSourceModel) -> tuple[TagRule, ...]:
    """Return the tag rules of a source."""
    return tuple(
        TagRule(rule.tag, rule.class_name, rule.destination, Body(rule.body), rule.key)
        for rule in source.rules
    )


def forward_limits(config: ForwardModel) -> FrontLimits:
    """Return the limits of sizes and times for forward sources."""
    return FrontLimits(
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
