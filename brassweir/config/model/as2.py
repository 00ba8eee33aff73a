"""AS2: our own identity, clients and partners."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Annotated, Literal, Self

from pydantic import Field, field_validator, model_validator

from brassweir.config.model.base import As2Name, CipherName, Digest, Strict, Url


class IdentityModel(Strict):
    """Our own AS2 name and keys (PEM files, relative to the settings file)."""

    as2_id: As2Name
    key: Path
    certificate: Path
    receipt_url: Url | None = Field(None, description="where partners bring asynchronous receipts")


class RuleModel(Strict):
    """Messages whose Subject this pattern finds are of this class."""

    subject: str
    class_name: str = Field(alias="class")

    @field_validator("subject")
    @classmethod
    def _pattern(cls, value: str) -> str:
        try:
            re.compile(value)
        except re.error as error:
            raise ValueError(f"no regular expression: {error}") from None
        return value


class ClientModel(Strict):
    """One that hands messages in."""

    as2_id: As2Name
    certificates: tuple[Path, ...] = Field(min_length=1)
    may_send_to: tuple[As2Name, ...] = Field(min_length=1, description="webhooks also by pattern: hook-*")
    rules: tuple[RuleModel, ...] = Field(min_length=1)
    receipt_url: Url | None = None
    signed: bool = True
    encrypted: bool = True
    legacy: bool = Field(False, description="SHA-1 and 3DES are taken from it")
    dated: bool = Field(False, description="its Date is the message's own, and the same over repeats")


class PartnerModel(Strict):
    """One that messages are delivered to."""

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
    def _sound(self) -> Self:
        if not self.legacy and (self.sign == "sha1" or self.encrypt == "3des"):
            raise ValueError("sha1 and 3des need legacy: true")
        if self.compress == "before" and self.sign == "none":
            raise ValueError("compress: before needs a signature to come before; use after")
        return self
