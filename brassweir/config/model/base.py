"""Types that all parts of the settings share: times, addresses, names, and the base model."""

from __future__ import annotations

import re
from typing import Annotated, Literal

from pydantic import AfterValidator, BaseModel, ConfigDict, Field

Ms = Annotated[float, Field(gt=0, le=1e9, allow_inf_nan=False)]
MsOrZero = Annotated[float, Field(ge=0, le=1e9, allow_inf_nan=False)]
Digest = Literal["sha1", "sha224", "sha256", "sha384", "sha512"]
CipherName = Literal[
    "3des", "aes128-cbc", "aes192-cbc", "aes256-cbc", "aes128-gcm", "aes192-gcm", "aes256-gcm"
]


def _address(value: str) -> str:
    host, colon, port = value.rpartition(":")
    if not colon or not host or not port.isdigit() or int(port) > 65535:
        raise ValueError("an address has the form HOST:PORT")
    return value


def _url(value: str) -> str:
    if not re.fullmatch(r"https?://[^\s/?#@]+(?:[/?][^\s#]*)?|forward://[^\s/?#@]+", value):
        raise ValueError(
            "a URL has the form http://HOST[:PORT]/PATH without user or fragment, or forward://HOST[:PORT]"
        )
    return value


def _name(value: str) -> str:
    if not re.fullmatch(r"[ -~]{1,128}", value) or value != value.strip():
        raise ValueError("an AS2 name has 1 to 128 printable ASCII characters and no space at either end")
    return value


Address = Annotated[str, AfterValidator(_address)]
Url = Annotated[str, AfterValidator(_url)]
As2Name = Annotated[str, AfterValidator(_name)]


class Strict(BaseModel):
    """Base of all models: immutable, and unknown fields are errors."""

    model_config = ConfigDict(extra="forbid", frozen=True)
