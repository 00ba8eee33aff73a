"""Settings of AS2: the sender's own identity, its clients and its partners."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Annotated, Literal, Self

from pydantic import Field, field_validator, model_validator

from brassweir.config.model.base import As2Name, CipherName, Digest, Strict, Url


class IdentityModel(Strict):
    """The sender's own AS2 name and keys (PEM files, relative to the settings file)."""

    as2_id: As2Name
    key: Path
    certificate: Path
    receipt_url: Url | None = Field(None, description="URL at which partners deliver asynchronous receipts")


class RuleModel(Strict):
    """Messages in whose Subject this pattern is found belong to this class."""

    subject: str
    class_name: str = Field(alias="class")

    @field_validator("subject")
    @classmethod
    def _check_pattern(cls, value: str) -> str:
        try:
            re.compile(value)
        except re.error as error:
            raise ValueError(f"invalid regular expression: {error}") from None
        return value


class ClientModel(Strict):
    """A client that submits messages."""

    as2_id: As2Name
    certificates: tuple[Path, ...] = Field(min_length=1)
    may_send_to: tuple[As2Name, ...] = Field(
        min_length=1, description="partners, and webhook destinations, these also as patterns such as hook-*"
    )
    rules: tuple[RuleModel, ...] = Field(min_length=1)
    receipt_url: Url | None = None
    signed: bool = True
    encrypted: bool = True
    legacy: bool = Field(False, description="SHA-1 and 3DES are accepted from it")
    dated: bool = Field(
        False, description="its Date header is the message's, and the same in repeated submissions"
    )


class PartnerModel(Strict):
    """A partner to which messages are delivered."""

    as2_id: As2Name
    certificates: tuple[Path, ...] = Field(min_length=1)
    sign: Digest | Literal["none"] = "sha256"
    encrypt: CipherName | Literal["none"] = "aes256-cbc"
    compress: Literal["none", "before", "after"] = "none"
    pss: bool = False
    oaep: bool = False
    receipt: Literal["sync", "async"] = "sync"
    signed_receipt: bool = True
    legacy: bool = False
    busy_statuses: tuple[Annotated[int, Field(ge=400, le=599)], ...] = (429,)

    @model_validator(mode="after")
    def _check_consistency(self) -> Self:
        if not self.legacy and (self.sign == "sha1" or self.encrypt == "3des"):
            raise ValueError("sha1 and 3des need legacy: true")
        if self.compress == "before" and self.sign == "none":
            raise ValueError("compress: before means before signing, and sign is none; use after")
        return self
