"""Settings of message classes and of kinds of destinations."""

from __future__ import annotations

from pathlib import Path
from typing import Literal, Self

from pydantic import Field, model_validator

from brassweir.config.model.base import Ms, MsOrZero, Strict


class ClassModel(Strict):
    """A class of messages. ``effect`` says what delivering one of them twice would do."""

    name: str = Field(pattern=r"^[a-z][a-z0-9_-]{0,39}$")
    aim_ms: Ms
    deadline_ms: Ms
    effect: Literal["safe", "keyed", "unsafe"]
    window_ms: MsOrZero = 0.0
    late_worth: float = Field(0.0, ge=0, le=1)
    group: Literal["all", "zone"] = "all"
    in_order: bool = False

    @model_validator(mode="after")
    def _check_consistency(self) -> Self:
        if self.aim_ms > self.deadline_ms:
            raise ValueError("aim_ms is more than deadline_ms")
        if self.effect == "keyed" and not self.window_ms:
            raise ValueError("a keyed class needs window_ms: for how long partners drop a repeated id")
        return self


class KindModel(Strict):
    """A kind of destination.

    Webhooks are signed with every key in ``secrets`` (files, one key each). At a forward destination the
    sender authenticates with the key in ``shared_key`` (a file), under ``hostname``.
    """

    name: str
    routes: Literal["together", "apart"] = "together"
    carrier: Literal["as2", "webhook", "forward"] = "as2"
    secrets: tuple[Path, ...] = ()
    shared_key: Path | None = None
    hostname: str = Field("", max_length=200, description="the sender's name if not given")
    username: str = Field("", max_length=200)
    password: Path | None = None
    batch: int = Field(1, ge=1, le=1000, description="how many messages may share a call")
    compress: bool = False
    tag: str = Field("brassweir", pattern=r"^[!-~]{1,200}$", description="for documents that have none")

    @model_validator(mode="after")
    def _check_consistency(self) -> Self:
        if self.secrets and self.carrier != "webhook":
            raise ValueError("secrets are for webhooks")
        forward_only = {"shared_key", "hostname", "username", "password", "batch", "compress", "tag"}
        given = self.model_fields_set & forward_only
        if given and self.carrier != "forward":
            raise ValueError(f"{', '.join(sorted(given))} are for forward destinations")
        if bool(self.username) != (self.password is not None):
            raise ValueError("username and password go together")
        if self.username and self.shared_key is None:
            raise ValueError("a username is sent in the handshake, which needs shared_key")
        return self
