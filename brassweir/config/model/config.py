"""A whole settings file: its parts, and what must fit between them."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Self

from pydantic import Field, model_validator

from brassweir.config.model.as2 import ClientModel, IdentityModel, PartnerModel
from brassweir.config.model.copy import DELIVERY_FIELDS, CopyConfig
from brassweir.config.model.forward import ForwardModel
from brassweir.config.model.messages import ClassModel, KindModel
from brassweir.config.model.sender import SenderModel

ENDPOINTS_IN_LOG = Path("agreed")  # as ``endpoints``, where the settings have ``agreed.configuration``


class Config(CopyConfig):
    """A whole settings file of a process that delivers."""

    sender: SenderModel
    classes: tuple[ClassModel, ...] = Field(min_length=1)
    kinds: tuple[KindModel, ...] = ()
    identity: IdentityModel | None = None
    clients: tuple[ClientModel, ...] = ()
    forward: ForwardModel | None = None
    partners: tuple[PartnerModel, ...] = ()
    endpoints: Path = Field(description="the list's file; or agreed: the list comes from the log")

    @property
    def endpoints_in_log(self) -> bool:
        """Does the endpoint list come from the agreed log?"""
        return self.endpoints == ENDPOINTS_IN_LOG and self.configuration is not None

    @model_validator(mode="after")
    def _fits(self) -> Self:
        problems = []
        classes = [cls.name for cls in self.classes]
        partners = [partner.as2_id for partner in self.partners]
        clients = [client.as2_id for client in self.clients]
        for what, names in (
            ("classes", classes),
            ("partners", partners),
            ("clients", clients),
            ("kinds", [kind.name for kind in self.kinds]),
        ):
            twice = sorted({name for name in names if names.count(name) > 1})
            if twice:
                problems.append(f"{what}: {', '.join(twice)} stands more than once")
        webhooks = any(kind.carrier != "as2" for kind in self.kinds)
        problems += self._fronts() + self.shared_problems()
        if self.region is not None and self.region.longest_deadline_ms is not None:
            problems.append("region.longest_deadline_ms is for a control machine: here the classes say it")
        for client in self.clients:
            named = {name for name in client.may_send_to if not webhooks or not re.search(r"[*?[]", name)}
            lost = sorted(named - set(partners))
            if lost:
                problems.append(f"client {client.as2_id}: may_send_to names no partner: {', '.join(lost)}")
            lost = sorted({rule.class_name for rule in client.rules} - set(classes))
            if lost:
                problems.append(f"client {client.as2_id}: rules name no class: {', '.join(lost)}")
        if (
            self.identity is not None
            and not self.identity.receipt_url
            and any(partner.receipt == "async" for partner in self.partners)
        ):
            problems.append("identity.receipt_url is needed: a partner sends its receipts asynchronously")
        for cls in self.classes:
            if cls.deadline_ms <= self.sender.answer_margin_ms:
                problems.append(f"class {cls.name}: deadline_ms is within sender.answer_margin_ms")
        if self.sender.remember_ms < 2 * max(max(cls.deadline_ms, cls.window_ms) for cls in self.classes):
            problems.append(
                "sender.remember_ms is under twice the longest deadline or window: an answer "
                "would be forgotten while its client may still ask for it"
            )
        if problems:
            raise ValueError("; ".join(problems))
        return self

    def _fronts(self) -> list[str]:
        problems = []
        if self.identity is None and (self.clients or self.partners):
            problems.append("identity is needed: there are AS2 clients or partners")
        if self.clients and self.sender.listen is None:
            problems.append("sender.listen is needed: there are AS2 clients")
        if not self.clients and self.forward is None:
            problems.append("clients or forward is needed: nobody could hand anything in" + self._hint())
        effects = {cls.name: cls.effect for cls in self.classes}
        for source in self.forward.sources if self.forward is not None else ():
            for rule in source.rules:
                where = f"forward source {source.name}: the rule for {rule.tag}"
                if rule.class_name not in effects:
                    problems.append(f"{where} names no class: {rule.class_name}")
                elif effects[rule.class_name] == "unsafe":
                    problems.append(
                        f"{where} names the unsafe class {rule.class_name}: a source that hears nothing "
                        "sends again, and forward has no word to stop it; use a safe or keyed class"
                    )
        return problems

    def _hint(self) -> str:
        if self.agreed is None:
            return ""
        return f"; a control machine has none of {', '.join(sorted(DELIVERY_FIELDS & self.model_fields_set))}"
