"""The settings file of a process that delivers, and the checks between its parts."""

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

ENDPOINTS_IN_LOG = Path("agreed")  # value of ``endpoints`` if the list comes from the agreed log


class Config(CopyConfig):
    """The settings file of a process that delivers."""

    sender: SenderModel
    classes: tuple[ClassModel, ...] = Field(min_length=1)
    kinds: tuple[KindModel, ...] = ()
    identity: IdentityModel | None = None
    clients: tuple[ClientModel, ...] = ()
    forward: ForwardModel | None = None
    partners: tuple[PartnerModel, ...] = ()
    endpoints: Path = Field(
        description="the file of the list; or agreed, if the list comes from the agreed log"
    )

    @property
    def endpoints_in_log(self) -> bool:
        """Whether the endpoint list comes from the agreed log."""
        return self.endpoints == ENDPOINTS_IN_LOG and self.configuration is not None

    @model_validator(mode="after")
    def _check_consistency(self) -> Self:
        problems = []
        classes = [cls.name for cls in self.classes]
        partners = [partner.as2_id for partner in self.partners]
        clients = [client.as2_id for client in self.clients]
        for field, names in (
            ("classes", classes),
            ("partners", partners),
            ("clients", clients),
            ("kinds", [kind.name for kind in self.kinds]),
        ):
            duplicates = sorted({name for name in names if names.count(name) > 1})
            if duplicates:
                problems.append(f"{field}: {', '.join(duplicates)} is listed more than once")
        has_other_destinations = any(kind.carrier != "as2" for kind in self.kinds)
        problems += self._front_problems() + self.shared_problems()
        if self.region is not None and self.region.longest_deadline_ms is not None:
            problems.append("region.longest_deadline_ms is for a control machine: here the classes give it")
        for client in self.clients:
            named = {
                name
                for name in client.may_send_to
                if not has_other_destinations or not re.search(r"[*?[]", name)
            }
            unknown = sorted(named - set(partners))
            if unknown:
                problems.append(f"client {client.as2_id}: may_send_to names no partner: {', '.join(unknown)}")
            unknown = sorted({rule.class_name for rule in client.rules} - set(classes))
            if unknown:
                problems.append(f"client {client.as2_id}: rules name no class: {', '.join(unknown)}")
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

    def _front_problems(self) -> list[str]:
        """Check that messages can be submitted, and the rules of the sources; returns the problems."""
        problems = []
        if self.identity is None and (self.clients or self.partners):
            problems.append("identity is needed: there are AS2 clients or partners")
        if self.clients and self.sender.listen is None:
            problems.append("sender.listen is needed: there are AS2 clients")
        if not self.clients and self.forward is None:
            problems.append("clients or forward is needed: no message could be submitted" + self._hint())
        effects = {cls.name: cls.effect for cls in self.classes}
        for source in self.forward.sources if self.forward is not None else ():
            for rule in source.rules:
                where = f"forward source {source.name}: the rule for {rule.tag}"
                if rule.class_name not in effects:
                    problems.append(f"{where} names no class: {rule.class_name}")
                elif effects[rule.class_name] == "unsafe":
                    problems.append(
                        f"{where} names the unsafe class {rule.class_name}: a source that receives "
                        "no ack sends again, and the protocol cannot prevent that; use a safe or keyed class"
                    )
        return problems

    def _hint(self) -> str:
        """Return what to remove if these are meant to be the settings of a control machine."""
        if self.agreed is None:
            return ""
        return f"; a control machine has none of {', '.join(sorted(DELIVERY_FIELDS & self.model_fields_set))}"
